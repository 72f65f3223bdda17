import { expect } from 'chai'
import { modelSpec } from '../../__tests__/fixtures'
import { planSteps } from '../plan'
import type { EngineSnapshot, ModelNeed, PlacementPlanInput } from '../plan'

const MODELS = ['busy', 'rare1', 'rare2', 'rare3', 'rare4', 'rare5', 'rare6']
const specs = new Map(MODELS.map(name => [name, modelSpec(name)]))

function engine (id: string, models: readonly string[], changes: Partial<EngineSnapshot> = {}): EngineSnapshot {
  return { id, models, freeMb: 210 - 70 * models.length, busyMs: 0, isLoadingFromStore: false, isResponding: true, copies: { memory: [], disk: MODELS }, spareRequestsPerSecond: Infinity, inFlight: new Map(), slots: 64, ...changes }
}

function need (model: string, changes: Partial<ModelNeed> = {}): ModelNeed {
  return { model, rate: 0, waiting: 0, waitedMs: 0, inFlight: 0, averageInFlight: changes.inFlight ?? 0, idleMs: 60_000, unusableOn: new Set(), ...changes }
}

function plan (input: Partial<PlacementPlanInput>): ReturnType<typeof planSteps> {
  return planSteps({ engines: [], needs: [], specs, allowedStoreLoads: 2, ...input })
}

describe('placement plan', () => {
  it('loads a requested model on an engine with free memory', () => {
    const engines = [engine('full', ['busy', 'rare1', 'rare2']), engine('roomy', ['busy'])]
    expect(plan({ engines, needs: [need('rare3', { waiting: 1 })] })).to.deep.equal([
      { kind: 'load', engine: 'roomy', model: 'rare3', tier: 'disk', reason: 'waiting' }
    ])
  })

  it('prefers a copy in memory to one on disk, and either to the weight store', () => {
    const tiers = { memory: { memory: ['rare3'], disk: [] }, disk: { memory: [], disk: ['rare3'] }, store: { memory: [], disk: [] } }
    const engines = Object.entries(tiers).map(([id, copies]) => engine(id, [], { copies }))
    const chosen = (left: EngineSnapshot[]): string | undefined => plan({ engines: left, needs: [need('rare3', { waiting: 1 })] })[0]?.engine
    expect(chosen(engines)).to.equal('memory')
    expect(chosen(engines.filter(each => each.id !== 'memory'))).to.equal('disk')
    expect(chosen(engines.filter(each => each.id === 'store'))).to.equal('store')
  })

  it('waits for an engine with a copy on disk rather than load from the store at once', () => {
    const engines = [engine('swapping', ['busy'], { busyMs: 1200 }), engine('elsewhere', [], { copies: { memory: [], disk: [] } })]
    expect(plan({ engines, needs: [need('rare3', { waiting: 1 })] })).to.deep.equal([])
  })

  /** Guards against a load that serves nobody: the streams that wait need another software version. */
  it('loads no model on an engine that could not take the requests that wait', () => {
    const engines = [engine('other', []), engine('wanted', ['busy'])]
    expect(plan({ engines, needs: [need('rare3', { waiting: 1, unusableOn: new Set(['other']) })] })).to.deep.equal([
      { kind: 'load', engine: 'wanted', model: 'rare3', tier: 'disk', reason: 'waiting' }
    ])
  })

  /** Guards against streams that are lost after a restart of all instances, since new requests for rare models come before them. */
  it('loads the model of a stream that was broken off, at an engine of its version, before those of new requests', () => {
    const engines = [engine('other', []), engine('wanted', [])]
    const needs = [need('rare1', { waiting: 1, waitedMs: 4000, rate: 0.4 }), need('rare2', { waiting: 1, waitedMs: 5000 }), need('rare3', { waiting: 1, awaitsVersion: true, unusableOn: new Set(['other']) })]
    expect(plan({ engines, needs })[0]).to.include({ kind: 'load', engine: 'wanted', model: 'rare3' })
  })

  it('begins no more loads from the store than allowed', () => {
    const engines = [engine('e', [], { copies: { memory: [], disk: [] } })]
    expect(plan({ engines, needs: [need('rare3', { waiting: 1 })], allowedStoreLoads: 0 })).to.deep.equal([])
  })

  it('unloads a model that is not requested before the last replica of a busy model and before one with running requests', () => {
    const engines = [engine('e', ['busy', 'rare1', 'rare2'], { inFlight: new Map([['rare1', 1]]) })]
    const needs = [need('busy', { rate: 6, inFlight: 9, idleMs: 0 }), need('rare1', { rate: 0.1, inFlight: 1, idleMs: 0 }), need('rare2', { rate: 0.02 }), need('rare3', { waiting: 1 })]
    expect(plan({ engines, needs })).to.deep.equal([{ kind: 'unload', engine: 'e', model: 'rare2', inFavourOf: 'rare3', alsoUnload: [] }])
  })

  /**
   * Guards against a large model that waits for an engine with another large one while all others are full of small ones.
   * 1. Each engine has three models of 65 MB and 5 MB free. 2. A model of 73 MB is requested: unloading one is not enough.
   */
  it('unloads two models for a larger one if one alone does not free enough memory', () => {
    const large = new Map([...specs, ['large', modelSpec('large', { weightsMb: 73 })]])
    const small = ['rare1', 'rare2', 'rare4']
    small.forEach(name => large.set(name, modelSpec(name, { weightsMb: 65 })))
    const full = engine('full', small, { freeMb: 5, copies: { memory: [], disk: ['large'] } })
    const needs = [need('large', { waiting: 1 }), need('rare1', { rate: 0.4, idleMs: 4000 }), need('rare2', { rate: 0.1 }), need('rare4')]
    expect(plan({ engines: [full], needs, specs: large })).to.deep.equal([
      { kind: 'unload', engine: 'full', model: 'rare2', inFavourOf: 'large', alsoUnload: ['rare4'] }
    ])
  })

  it('never unloads a model that is itself waited for', () => {
    const engines = [engine('e', ['rare1', 'rare2', 'rare4'])]
    const needs = ['rare1', 'rare2', 'rare4', 'rare3'].map(model => need(model, { waiting: 1 }))
    expect(plan({ engines, needs })).to.deep.equal([])
  })

  it('serves the longest wait first, with one step per engine', () => {
    const engines = [engine('e', ['busy'])]
    const needs = [need('rare1', { waiting: 1, waitedMs: 100 }), need('rare2', { waiting: 1, waitedMs: 900 })]
    expect(plan({ engines, needs }).map(step => step.model)).to.deep.equal(['rare2'])
  })

  /**
   * Guards against refusing hundreds of callers of a busy model whose only engine has ended.
   * 1. Several rare models are waited for, some for long. 2. Callers of the busy model are refused at once and retry, so
   * none waits long for it. 3. It is loaded first nevertheless, since more callers arrive every second.
   */
  it('loads a busy model without replicas before rare ones that have waited longer', () => {
    const engines = [engine('e', ['rare4'])]
    const needs = [need('rare1', { waiting: 1, waitedMs: 5000 }), need('busy', { rate: 4, waiting: 0 })]
    expect(plan({ engines, needs }).map(step => step.model)).to.deep.equal(['busy'])
  })

  it('keeps a second replica of a model with many requests', () => {
    const engines = [engine('one', ['busy']), engine('two', ['rare1'])]
    expect(plan({ engines, needs: [need('busy', { rate: 4, inFlight: 5, idleMs: 0 })] })).to.deep.equal([
      { kind: 'load', engine: 'two', model: 'busy', tier: 'disk', reason: 'more-replicas' }
    ])
  })

  it('orders nothing for a model that is being loaded', () => {
    const engines = [engine('loading', ['rare3'], { busyMs: 900 }), engine('idle', [])]
    expect(plan({ engines, needs: [need('rare3', { waiting: 4 })] })).to.deep.equal([])
  })

  it('adds a replica of a model whose streams take too many slots of its engine', () => {
    const engines = [engine('crowded', ['busy'], { inFlight: new Map([['busy', 25]]) }), engine('idle', ['rare1', 'rare2', 'rare4'])]
    const needs = [need('busy', { rate: 8, inFlight: 25, idleMs: 0 })]
    expect(plan({ engines, needs })).to.deep.equal([{ kind: 'unload', engine: 'idle', model: 'rare1', inFavourOf: 'busy', alsoUnload: [] }])
  })

  /**
   * Guards against a model that became busy and whose streams are mostly late, all day.
   * 1. Demand moves to a model of which one engine has a copy. 2. Twenty-five streams run on that engine and should take a
   * third of its slots. 3. No other disk has the weights. A load takes 6 s, and the demand lasts longer.
   */
  describe('for a model that became busy, with no copy on any other disk', () => {
    const elsewhere = { copies: { memory: [], disk: [] } }
    const crowd = need('busy', { rate: 20, inFlight: 25, idleMs: 0 })
    const crowded = engine('crowded', ['busy'], { inFlight: new Map([['busy', 25]]) })

    it('adds a replica from the weight store', () => {
      expect(plan({ engines: [crowded, engine('idle', [], elsewhere)], needs: [crowd] })).to.deep.equal([
        { kind: 'load', engine: 'idle', model: 'busy', tier: 'store', reason: 'more-replicas' }
      ])
    })

    it('adds none while half of the engines are busy', () => {
      const engines = [crowded, engine('swapping', [], { ...elsewhere, busyMs: 900 }), engine('swapping too', [], { ...elsewhere, busyMs: 900 }), engine('idle', [], elsewhere)]
      expect(plan({ engines, needs: [crowd] })).to.deep.equal([])
    })

    it('adds none for streams that have only just started', () => {
      expect(plan({ engines: [crowded, engine('idle', [], elsewhere)], needs: [{ ...crowd, averageInFlight: 6 }] })).to.deep.equal([])
    })

    it('adds none merely to guard against the loss of its engine', () => {
      const calm = need('busy', { rate: 4, inFlight: 5, idleMs: 0 })
      expect(plan({ engines: [crowded, engine('idle', [], elsewhere)], needs: [calm] })).to.deep.equal([])
    })

    it('adds one before serving models that few wait for, once most of its streams wait for each other', () => {
      const swamped = need('busy', { rate: 20, inFlight: 60, idleMs: 0 })
      const needs = [swamped, need('rare3', { waiting: 1, waitedMs: 3000 })]
      expect(plan({ engines: [{ ...crowded, freeMb: 0 }, engine('idle', [], elsewhere)], needs, allowedStoreLoads: 1 }).map(step => step.model)).to.deep.equal(['busy'])
    })

    it('adds one at a time in a small fleet, so that other engines can load from their disks', () => {
      const engines = [crowded, engine('fetching', [], { ...elsewhere, isLoadingFromStore: true, busyMs: 4000 }), engine('idle', [], elsewhere)]
      expect(plan({ engines, needs: [crowd] })).to.deep.equal([])
    })
  })

  /**
   * Guards against rejecting eighty streams of a busy model for the sake of one caller.
   * 1. More models wait than there are engines. 2. Each takes one, until only the engine of the busy model is left.
   * 3. It unloads the busy model, and all its requests are rejected until it is loaded again.
   */
  it('does not unload the last replica of a busy model for one waiting request', () => {
    const engines = [engine('e', ['busy'], { freeMb: 0, inFlight: new Map([['busy', 9]]) })]
    const needs = [need('busy', { rate: 20, inFlight: 9, idleMs: 0 }), need('rare1', { waiting: 1, waitedMs: 4000 })]
    expect(plan({ engines, needs })).to.deep.equal([])
  })

  it('unloads a rarely requested model for one waiting request', () => {
    const engines = [engine('e', ['rare2'], { freeMb: 0 })]
    const needs = [need('rare2', { rate: 0.5, idleMs: 3000 }), need('rare1', { waiting: 1 })]
    expect(plan({ engines, needs })).to.deep.equal([{ kind: 'unload', engine: 'e', model: 'rare2', inFavourOf: 'rare1', alsoUnload: [] }])
  })
})

describe('placement plan with engines that state a rate limit', () => {
  const limited = engine('limited', ['busy', 'rare1'], { spareRequestsPerSecond: 0 })

  it('loads a model elsewhere before its callers are refused, if its engine cannot take its requests', () => {
    const engines = [limited, engine('free', ['rare2'])]
    expect(plan({ engines, needs: [need('busy', { rate: 4, inFlight: 2, unusableOn: new Set(['limited']) })] })).to.deep.equal([
      { kind: 'load', engine: 'free', model: 'busy', tier: 'disk', reason: 'waiting' }
    ])
  })

  it('loads nothing that is requested more often than the limit allows', () => {
    const engines = [engine('limited', [], { spareRequestsPerSecond: 0.5 }), engine('busyEngine', ['rare1'], { busyMs: 100 })]
    expect(plan({ engines, needs: [need('busy', { rate: 4, waiting: 1 })] })).to.deep.equal([])
    expect(plan({ engines, needs: [need('rare2', { rate: 0.1, waiting: 1 })] })).to.have.length(1)
  })

  it('unloads a replica that does not count in favour of a model that waits', () => {
    const engines = [engine('limited', ['busy', 'rare1', 'rare2'], { spareRequestsPerSecond: 1 }), engine('other', ['busy', 'rare4', 'rare5'], { busyMs: 5000 })]
    const busy = need('busy', { rate: 4, inFlight: 2, idleMs: 0, unusableOn: new Set(['limited']) })
    const kept = ['rare1', 'rare2'].map(model => need(model, { rate: 0.1, waiting: 1 }))
    expect(plan({ engines, needs: [busy, need('rare3', { rate: 0.1, waiting: 1 }), ...kept] })).to.deep.equal([
      { kind: 'unload', engine: 'limited', model: 'busy', inFavourOf: 'rare3', alsoUnload: [] }
    ])
  })
})
