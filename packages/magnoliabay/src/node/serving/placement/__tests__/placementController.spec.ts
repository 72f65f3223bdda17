import { expect } from 'chai'
import { createVirtualClock } from '../../../clock/virtual'
import type { VirtualClock } from '../../../clock/virtual'
import { createSilentLogger } from '../../../logger'
import type { LogFields, Logger } from '../../../logger'
import { createMemoryNetwork } from '../../../members/memoryNetwork'
import { Ok } from '../../../result'
import { configOf, leadingOf, memberRecord, modelSpec, reportOf, serverOf } from '../../__tests__/fixtures'
import { createServingConfigProvider } from '../../servingConfigProvider'
import type { EngineOrder } from '../../engineCalls'
import { createFleetView } from '../../fleetView'
import { createServerList } from '../../serverList'
import type { BackendServer, LoadedModel } from '../../types'
import type { PlacementRequest } from '../messages'
import { createPlacementController } from '../placementController'
import type { PlacementController } from '../placementController'

const RESPONSE_MS = 3
const UNLOAD_MS = 60
const LOAD_MS = 800

interface Harness {
  clock: VirtualClock
  controller: PlacementController
  /** Orders that engines have accepted. */
  accepted: Array<EngineOrder & { engine: string }>
  events: string[]
  leadership: { fence: number | undefined, startsInMs: number | undefined }
  /** Provides the configuration and the engine's entry. */
  provideState (): void
}

interface EngineState {
  isBusy: boolean
  orderCount: number
  models: LoadedModel[]
}

const SMALL_MODELS = ['s1', 's2', 's3']
const loaded = (names: readonly string[]): LoadedModel[] => names.map(name => ({ name, version: 1, adapters: [] }))

/** Engines with 200 MB for weights, filled with models of 65 MB, and a model of 73 MB that is not loaded. `versions`: their software, by id. */
function createHarness (versions: Readonly<Record<string, string>> = { e1: 'v1' }): Harness {
  const clock = createVirtualClock()
  const events: string[] = []
  const silent = createSilentLogger()
  const logger: Logger = { ...silent, info: (event: string, _fields?: LogFields) => { events.push(event) } }
  const accepted: Harness['accepted'] = []
  const states = new Map<string, EngineState>(Object.keys(versions).map(id => [id, { isBusy: false, orderCount: 0, models: loaded(SMALL_MODELS) }]))
  const specs = new Map([...SMALL_MODELS.map(name => modelSpec(name, { weightsMb: 65 })), modelSpec('large', { weightsMb: 73 })].map(spec => [spec.name, spec]))
  const cfg = createServingConfigProvider({
    decode: () => configOf(1, { services: new Map([['llm', { name: 'llm', coldStart: undefined, connectionLimit: 10, engine: { slots: 24, kvTokens: 0, weightMemoryMb: 200, adapterCapacity: 8, storeLoadsPerSecond: 4, models: specs } }]]) }),
    clock,
    logger: silent
  })
  const servers = createServerList({ decode: (_key, text) => JSON.parse(text) as BackendServer, idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => -60_000, clock, logger: silent })
  const copies = { memory: [], disk: ['large', 's1', 's2', 's3'] }
  const publishEntry = (id: string): void => servers.put({ key: id, value: JSON.stringify(serverOf(id, { service: 'llm', address: `${id}:1`, softwareVersion: versions[id], models: states.get(id)!.models, copies, slots: 24 })) })
  const finish = (id: string, order: EngineOrder): void => {
    const state = states.get(id)!
    state.isBusy = false
    state.models = order.operation === 'load' ? [...state.models, ...loaded([order.model])] : state.models.filter(({ name }) => name !== order.model)
    publishEntry(id)
  }
  const peers = createMemoryNetwork({ clock }).join(memberRecord('me'))
  const leadership: Harness['leadership'] = { fence: 7, startsInMs: 0 }
  const table = createFleetView({
    peers,
    clock,
    isLinked: () => true,
    leader: () => 'me',
    own: () => reportOf(),
    spendingWithDownstream: () => [],
    leading: () => leadingOf('me'),
    latestClaim: () => 0,
    beforeSummary: () => {},
    summary: () => ({ configVersion: 1, storeAgeMs: 0, storeSteadyMs: 60_000, spent: [], limits: [], evacuation: { domains: [], revision: 0 }, listDigest: '', membersDigest: '' }),
    onReport: () => {},
    onSummary: () => {}
  })
  const controller = createPlacementController({
    self: 'me',
    leadership: { fencingToken: () => leadership.fence, firstOrderInMs: () => leadership.startsInMs, isLeaseHolder: () => true, leaseHolder: () => 'me', ownClaim: () => leadingOf('me'), knownClaim: () => leadingOf('me'), latestClaimRevision: () => 1, recordClaimFromPeer: () => {}, start: () => {}, stepDown: async () => {}, resign: async () => {} },
    servers,
    cfg,
    table,
    engines: {
      fetchReport: async ({ id }) => {
        const { isBusy, orderCount, models } = states.get(id)!
        return Ok({ bornMs: undefined, isOrderPending: isBusy, acceptedOrders: orderCount, waiting: 0, running: 0, models, loadingAdapters: [], copies })
      },
      sendOrder: ({ id }, order) => new Promise(resolve => clock.schedule(RESPONSE_MS, () => {
        const state = states.get(id)!
        if (state.isBusy || order.expectedOrders !== state.orderCount) return resolve('conflict')
        accepted.push({ ...order, engine: id })
        state.orderCount += 1
        state.isBusy = true
        clock.schedule(order.operation === 'load' ? LOAD_MS : UNLOAD_MS, () => finish(id, order))
        resolve('accepted')
      })),
      onStatement: () => {},
      closeConnections: () => {}
    },
    limitOf: () => undefined,
    backoffMs: () => 0,
    storeReachableSinceMs: () => -Infinity,
    peers,
    clock,
    logger,
    loadWindowMs: 5000
  })
  controller.start(new AbortController().signal)
  return {
    clock,
    controller,
    accepted,
    events,
    leadership,
    provideState: () => {
      cfg.applyIfNewer('', 'store')
      servers.snapshot([])
      states.forEach((_state, id) => publishEntry(id))
    }
  }
}

const requestForLarge = { model: 'large', adapter: undefined, waitedMs: 0, patienceMs: 9000 }

describe('placement controller', () => {
  /**
   * Guards against a process that crashes at each start.
   * 1. All processes were killed; this machine was the last to order and may order at once. 2. It has no configuration
   * yet, so the rate of the weight store is unbounded. 3. It begins only once it has the configuration and the servers.
   */
  it('begins once it has configuration and servers, even if it may order earlier', async () => {
    const harness = createHarness()
    await harness.clock.advance(300)
    expect(harness.events).to.not.include('orderer-begins')
    harness.provideState()
    await harness.clock.advance(300)
    expect(harness.events).to.include('orderer-begins')
  })

  it('unloads two models one after the other for one that needs the memory of both', async () => {
    const harness = createHarness()
    harness.provideState()
    await harness.clock.advance(300)
    await harness.controller.requestModel(requestForLarge)
    for (let turn = 0; turn < 20; turn += 1) {
      await harness.clock.advance(100)
      await harness.controller.requestModel({ ...requestForLarge, waitedMs: turn * 100 })
    }
    expect(harness.accepted.map(order => order.operation)).to.deep.equal(['unload', 'unload', 'load'])
    expect(harness.accepted.at(-1)!.model).to.equal('large')
  })

  /**
   * Guards against refusing callers of a rare model during a handover, though most could wait for its end.
   * 1. Another machine was the last to order: this one holds the lease and has to wait. 2. It returns the remaining wait
   * plus the duration of a swap, so that callers wait if they can and otherwise retry then.
   */
  it('returns the expected time of a model while it waits to give its first order', async () => {
    const harness = createHarness()
    harness.provideState()
    Object.assign(harness.leadership, { fence: undefined, startsInMs: 1500 })
    const reply = await harness.controller.requestModel(requestForLarge)
    expect(reply.kind).to.equal('coming')
    expect(reply).to.have.property('inMs').that.is.within(1500, 4000)
  })

  it('returns unavailable if it is not the leader', async () => {
    const harness = createHarness()
    Object.assign(harness.leadership, { fence: undefined, startsInMs: undefined })
    expect(await harness.controller.requestModel(requestForLarge)).to.deep.equal({ kind: 'unavailable' })
  })

  /**
   * Guards against streams that wait in vain for their model: it counts as loaded, at engines of another software version,
   * and streams of both versions wait for it at a time.
   */
  it('loads a model at each software version of which streams wait for it, one after the other', async () => {
    const harness = createHarness({ e1: 'v1', e2: 'v1', e3: 'v1.1' })
    harness.provideState()
    await harness.clock.advance(300)
    for (let turn = 0; turn < 60; turn += 1) {
      await harness.controller.requestModel({ ...requestForLarge, softwareVersion: 'v1', waitedMs: turn * 100 })
      await harness.controller.requestModel({ ...requestForLarge, softwareVersion: 'v1.1', waitedMs: turn * 100 })
      await harness.clock.advance(100)
    }
    const loadedAt = harness.accepted.filter(({ operation, model }) => operation === 'load' && model === 'large').map(({ engine }) => engine)
    expect(loadedAt).to.have.length(2)
    expect(loadedAt).to.include('e3')
  })

  /** Guards against a stream that is refused at once, though its model could be loaded in time: models that are waited for at other versions do not delay it. */
  it('expects the model of a stream that was broken off before those of new requests', async () => {
    const expectedMs = async (req: Partial<PlacementRequest>): Promise<number> => {
      const harness = createHarness({ e1: 'v1', e2: 'v1.1' })
      harness.provideState()
      await harness.clock.advance(300)
      for (let other = 0; other < 20; other += 1) await harness.controller.requestModel({ ...requestForLarge, model: `other${other}` })
      const reply = await harness.controller.requestModel({ ...requestForLarge, model: 'rare', ...req })
      return reply.kind === 'coming' ? reply.inMs : Infinity
    }
    expect(await expectedMs({ softwareVersion: 'v1' })).to.be.lessThan(await expectedMs({}))
  })

  it('returns a time that no caller waits for where no engine has the software version of a stream', async () => {
    const harness = createHarness({ e1: 'v1' })
    harness.provideState()
    await harness.clock.advance(300)
    const reply = await harness.controller.requestModel({ ...requestForLarge, softwareVersion: 'v1.1' })
    expect(reply).to.have.property('inMs').that.is.greaterThan(requestForLarge.patienceMs)
  })

  /** Guards against a caller that waits for an engine that takes no more, while there is no other. */
  it('returns a time that no caller waits for while the only engine takes no requests', async () => {
    const harness = createHarness()
    harness.provideState()
    await harness.clock.advance(300)
    const reply = await harness.controller.requestModel({ ...requestForLarge, model: 's1', unavailable: ['e1@1'] })
    expect(reply).to.have.property('inMs').that.is.greaterThan(requestForLarge.patienceMs)
  })
})
