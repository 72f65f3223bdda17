import { expect } from 'chai'
import type { Cells, DemandReply, LocalDemand, ReplicaEntry } from '../../cells'
import { createReplicaRegistry } from '../../cells/replicaRegistry'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createReplicaRouter } from '..'
import type { ReplicaRequest, ReplicaRouter } from '..'
import { chooseReplica } from '../replicaSelection'

const replicaAt = (engine: string, failureDomain = 'a', adapters: string[] = []): ReplicaEntry =>
  ({ engine, address: engine, failureDomain, model: 'm', version: '1', adapters })

interface Harness {
  clock: VirtualClock
  routing: ReplicaRouter
  demands: LocalDemand[]
  leaving: Set<string>
  /** Times for which engines take no requests, by address. */
  refusedMs: Map<string, number>
  /** Addresses of engines that have said so, though they are listed as live. */
  saysItLeaves: Set<string>
  loads: Map<string, number>
  show (replicas: readonly ReplicaEntry[]): void
}

function setUp (): Harness {
  const clock = createVirtualClock()
  const replicas = createReplicaRegistry()
  const demands: LocalDemand[] = []
  const leaving = new Set<string>()
  const refusedMs = new Map<string, number>()
  const saysItLeaves = new Set<string>()
  const loads = new Map<string, number>()
  let version = 0
  const queued: DemandReply = { status: 'queued', reason: 'waits for its turn' }
  const cells: Cells = {
    replicas,
    requestReplica: async req => {
      demands.push(req)
      return queued
    },
    recordUse: () => {},
    leaderOf: () => undefined,
    localLeaders: () => [],
    loadOf: engine => loads.get(engine) ?? 0,
    start: () => {},
    resign: async () => {}
  }
  const routing = createReplicaRouter({
    cells,
    clock,
    isLeaving: address => saysItLeaves.has(address),
    refusedForMs: address => refusedMs.get(address) ?? 0,
    cfg: { adapter: name => name === 'ad' ? { name, model: 'm', memoryMiB: 100 } : undefined, team: () => undefined },
    directory: {
      engine: id => ({ id, role: 'engine', address: id, failureDomain: 'a', region: 'r', status: leaving.has(id) ? 'leaving' : 'live' })
    }
  })
  const show = (shown: readonly ReplicaEntry[]): void => {
    version += 1
    replicas.applyTable({ cell: 'cell-0', fence: 1, version, replicas: shown })
  }
  return { clock, routing, demands, leaving, refusedMs, saysItLeaves, loads, show }
}

const request = (clock: VirtualClock, changes: Partial<ReplicaRequest> = {}): ReplicaRequest => ({
  modelOrAdapter: 'm', deadlineMs: clock.monotonic() + 10_000, excludedEngines: new Set(), signal: new AbortController().signal, ...changes
})

const acquireEngine = async (routing: ReplicaRouter, req: ReplicaRequest): Promise<string> => {
  const route = await routing.acquireReplica(req)
  return route.ok ? route.val.replica.engine : route.val.code
}

describe('replicas whose engines take no requests for the moment', () => {
  it('are left out while others take them', async () => {
    const { clock, routing, refusedMs, show } = setUp()
    show([replicaAt('e1'), replicaAt('e2')])
    refusedMs.set('e1', 800)
    expect(await Promise.all(Array.from({ length: 5 }, () => acquireEngine(routing, request(clock))))).to.deep.equal(Array(5).fill('e2'))
  })

  /** Guards against callers that wait for their deadline at an engine that takes none, with nothing being loaded. */
  it('have requests refused at once, with the time at which the first takes some again', async () => {
    const { clock, routing, demands, refusedMs, show } = setUp()
    show([replicaAt('e1'), replicaAt('e2')])
    refusedMs.set('e1', 800).set('e2', 500)
    const route = await routing.acquireReplica(request(clock))
    expect(route.err && route.val).to.deep.include({ code: 'overloaded', notRun: true, retryAfterSeconds: 0.5 })
    expect(demands).to.have.length(0)
  })
})

describe('replicas whose engines have said that they leave', () => {
  it('are left out, and one elsewhere is demanded', async () => {
    const { clock, routing, demands, saysItLeaves, show } = setUp()
    show([replicaAt('e1'), replicaAt('e2')])
    saysItLeaves.add('e1')
    expect(await acquireEngine(routing, request(clock))).to.equal('e2')
    saysItLeaves.add('e2')
    const waiting = acquireEngine(routing, request(clock, { deadlineMs: clock.monotonic() + 1000 }))
    await clock.advance(1100)
    expect(await waiting).to.equal('deadline_exceeded')
    expect(demands).to.have.length.greaterThan(0)
  })
})

describe('waiting for a replica', () => {
  it('sends the demand of all waiting requests together once a second, and stops with the last of them', async () => {
    const { clock, routing, demands, show } = setUp()
    const waiting = Array.from({ length: 50 }, () => acquireEngine(routing, request(clock)))
    await clock.advance(3500)
    expect(demands.length).to.be.within(4, 5)
    expect(demands.at(-1)!.waiting).to.equal(50)
    show([replicaAt('e1')])
    expect(new Set(await Promise.all(waiting))).to.deep.equal(new Set(['e1']))
    const countBefore = demands.length
    await clock.advance(5000)
    expect(demands.length).to.equal(countBefore)
  })

  /*
   * No replica is ever loaded. Each request is refused at its own deadline, with the cell leader's reason, and never
   * before.
   */
  it('refuses each request at its deadline with the reason', async () => {
    const { clock, routing } = setUp()
    const refusals: string[] = []
    const wait = async (patienceMs: number): Promise<void> => {
      const route = await routing.acquireReplica(request(clock, { deadlineMs: clock.monotonic() + patienceMs }))
      refusals.push(route.err ? `${clock.monotonic()} ${route.val.notRun} ${route.val.message}` : 'served')
    }
    const all = Promise.all([wait(3000), wait(1000)])
    await clock.advance(5000)
    await all
    expect(refusals).to.deep.equal([1000, 3000].map(atMs => `${atMs} true No replica of m became ready in time: waits for its turn.`))
  })

  it('ends the wait of a caller that has disconnected', async () => {
    const { clock, routing, demands } = setUp()
    const disconnect = new AbortController()
    const waiting = acquireEngine(routing, request(clock, { signal: disconnect.signal }))
    await clock.advance(100)
    disconnect.abort()
    expect(await waiting).to.equal('deadline_exceeded')
    const countBefore = demands.length
    await clock.advance(5000)
    expect(demands.length).to.equal(countBefore)
  })

  it('demands an adapter with its model, and takes no replica without it', async () => {
    const { clock, routing, demands, show } = setUp()
    show([replicaAt('e1')])
    const waiting = acquireEngine(routing, request(clock, { modelOrAdapter: 'ad' }))
    await clock.advance(100)
    expect(demands[0]).to.deep.include({ model: 'm', adapters: ['ad'] })
    show([replicaAt('e1'), replicaAt('e2', 'a', ['ad'])])
    expect(await waiting).to.equal('e2')
  })
})

describe('choosing a replica', () => {
  /*
   * A member that is cut off holds an old table, which still lists a leaving engine. The platform's list, which it
   * reads itself, excludes the engine after the lag of that list.
   */
  it('sends nothing to a leaving engine that an old table still lists', async () => {
    const { clock, routing, leaving, show } = setUp()
    show([replicaAt('e1'), replicaAt('e2')])
    leaving.add('e1')
    const chosen = await Promise.all(Array.from({ length: 10 }, () => acquireEngine(routing, request(clock))))
    expect(new Set(chosen)).to.deep.equal(new Set(['e2']))
  })

  /*
   * The only engine with the model fails during a request. The retry excludes it, and waits. The cell leader loads the
   * model again at the same engine: the request is served then, and not refused at its deadline beside a loaded
   * replica.
   */
  it('uses an engine that failed the request once its replica was lost and loaded again, and not before', async () => {
    const { clock, routing, show } = setUp()
    show([replicaAt('e1')])
    let chosen: string | undefined
    const waiting = acquireEngine(routing, request(clock, { excludedEngines: new Set(['e1']) })).then(engine => { chosen = engine })
    await clock.advance(2000)
    show([replicaAt('e1')])
    await clock.advance(2000)
    expect(chosen).to.equal(undefined)
    show([])
    show([replicaAt('e1')])
    await clock.settle()
    expect(chosen).to.equal('e1')
    await waiting
  })

  it('counts its own requests while the reported load lags', async () => {
    const { clock, routing, show } = setUp()
    show([replicaAt('e1'), replicaAt('e2')])
    const chosen = await Promise.all(Array.from({ length: 10 }, () => acquireEngine(routing, request(clock))))
    expect(chosen.filter(engine => engine === 'e1').length).to.equal(5)
  })

  const three = ['e1', 'e2', 'e3'].map((engine, index) => replicaAt(engine, ['a', 'b', 'c'][index]))
  const choose = (loads: Record<string, number>, prefix?: string, avoidDomains: string[] = []): string =>
    chooseReplica({ replicas: three, prefix, loadOf: engine => loads[engine] ?? 0, avoidDomains: new Set(avoidDomains) })!.engine

  it('sends one prefix to one replica, and many prefixes to all replicas', () => {
    const home = choose({}, 'p1')
    expect(Array.from({ length: 5 }, () => choose({}, 'p1'))).to.deep.equal(Array.from({ length: 5 }, () => home))
    expect(new Set(Array.from({ length: 30 }, (_, index) => choose({}, `p${index}`))).size).to.equal(3)
  })

  it('sends a prefix to another replica when its own is much busier than the others', () => {
    const home = choose({}, 'p1')
    expect(choose({ e1: 5, e2: 5, e3: 5 }, 'p1')).to.equal(home)
    expect(choose({ e1: 5, e2: 5, e3: 5, [home]: 30 }, 'p1')).not.to.equal(home)
  })

  it('avoids the failure domain that failed the request, unless there is no other', () => {
    expect(['e2', 'e3']).to.include(choose({}, undefined, ['a']))
    expect(choose({ e1: 0, e2: 1, e3: 1 }, undefined, ['a', 'b', 'c'])).to.equal('e1')
  })
})
