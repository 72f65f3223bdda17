import { expect } from 'chai'
import { callAt, checkInvariants } from './support/invariants'
import { advance, createCellsHarness } from './support/harness'
import type { CellsHarness } from './support/harness'

const GIB = 1024
const loadedOn = (harness: CellsHarness, model: string): string[] =>
  harness.engines.filter(engine => !engine.isDown() && engine.state().models.some(held => held.model === model)).map(engine => engine.id)

describe('cells', () => {
  it('loads a model once for a burst at every instance', async () => {
    const harness = createCellsHarness({ instances: 8, engines: 9, fleet: { model: [{ name: 'm', memoryMiB: 8 * GIB }] } })
    await advance(harness, 8000)
    const callers = harness.instances().flatMap(instance => Array.from({ length: 10 }, () => callAt(harness, instance.id, 'm', 10_000)))
    await advance(harness, 5000, () => checkInvariants(harness, { m: 1 }))
    expect(callers.every(caller => caller.outcome === 'served')).to.equal(true)
    expect(harness.weights.records().length).to.equal(1)
    harness.close()
  })

  it('unloads an idle model, and loads it again on demand', async () => {
    const harness = createCellsHarness({ fleet: { coldStartWorth: 10, model: [{ name: 'm', memoryMiB: 8 * GIB }] } })
    await advance(harness, 8000)
    for (const round of [1, 2]) {
      const caller = callAt(harness, 'entry-1', 'm', 10_000)
      await advance(harness, 5000)
      expect(caller.outcome, `round ${round}`).to.equal('served')
      await advance(harness, 60_000, () => {}, 500)
      expect(loadedOn(harness, 'm')).to.deep.equal([])
    }
    harness.close()
  })

  /*
   * Requests wait for more models than fit into memory. Each is served in turn: models without waiting requests or
   * recent use are evicted, and no more than needed.
   */
  it('evicts idle models for requests that wait', async () => {
    const models = Array.from({ length: 6 }, (_, index) => `m${index}`)
    const harness = createCellsHarness({ engines: 1, engine: { memoryMiB: 20 * GIB }, fleet: { model: models.map(name => ({ name, memoryMiB: 8 * GIB })) } })
    await advance(harness, 8000)
    const callers = models.map(model => callAt(harness, 'entry-2', model, 90_000))
    await advance(harness, 60_000, () => checkInvariants(harness, {}))
    expect(callers.map(caller => caller.outcome)).to.deep.equal(models.map(() => 'served'))
    expect(harness.weights.records().length).to.equal(6)
    harness.close()
  })

  it('loads an adapter on an engine with its model, and unloads it when idle', async () => {
    const harness = createCellsHarness({ fleet: { model: [{ name: 'm', memoryMiB: 8 * GIB }], adapter: [{ name: 'ad', model: 'm', memoryMiB: 128 }] } })
    await advance(harness, 8000)
    const caller = callAt(harness, 'entry-1', 'ad', 10_000)
    await advance(harness, 6000, () => checkInvariants(harness, { m: 1 }))
    expect(caller.outcome).to.equal('served')
    expect(harness.engines.flatMap(engine => engine.state().adapters.map(held => held.adapter))).to.deep.equal(['ad'])
    await advance(harness, 130_000, () => {}, 500)
    expect(harness.engines.flatMap(engine => engine.state().adapters)).to.deep.equal([])
    harness.close()
  })

  it('loads at most thirty adapters at once', async () => {
    const adapters = Array.from({ length: 100 }, (_, index) => ({ name: `ad-${index}`, model: 'm', memoryMiB: 64 }))
    const harness = createCellsHarness({ fleet: { model: [{ name: 'm', memoryMiB: 8 * GIB }], adapter: adapters } })
    await advance(harness, 8000)
    const first = callAt(harness, 'entry-1', 'm', 10_000)
    await advance(harness, 4000)
    expect(first.outcome).to.equal('served')
    const callers = adapters.map(({ name }) => callAt(harness, 'entry-1', name, 10_000))
    let most = 0
    for (let step = 0; step < 400; step += 1) {
      await harness.clock.advance(1)
      most = Math.max(most, harness.engines.flatMap(engine => engine.state().adapters.filter(held => held.state === 'loading')).length)
    }
    expect(callers.every(caller => caller.outcome === 'served')).to.equal(true)
    expect(most).to.be.within(1, 30)
    harness.close()
  })

  /*
   * Two cells, with a quota of one replica each. The leader of the first one is killed while the store is down, so no
   * other member can claim its cell: the second cell serves the model.
   */
  it('sends demand to another cell when the first has no leader', async () => {
    const harness = createCellsHarness({ instances: 6, engines: 6, fleet: { cells: 2, model: [{ name: 'm', memoryMiB: 8 * GIB, maxReplicas: 2 }] } })
    await advance(harness, 15_000)
    const leaders = harness.instances().filter(instance => instance.cells.localLeaders().length > 0)
    const first = callAt(harness, 'entry-1', 'm', 10_000)
    await advance(harness, 4000, () => checkInvariants(harness, { m: 2 }))
    expect(first.outcome).to.equal('served')
    const [engine] = loadedOn(harness, 'm')
    const leaderInstance = leaders.find(instance => instance.cells.localLeaders().some(leader => leader.accounts().some(account => account.engine === engine)))!
    harness.store.set({ down: 'refused' })
    leaderInstance.kill()
    harness.reclaim(engine!)
    await advance(harness, 5000)
    const caller = callAt(harness, harness.instances()[0]!.id, 'm', 20_000)
    await advance(harness, 21_000, () => checkInvariants(harness, { m: 2 }))
    expect(caller.outcome).to.equal('served')
    harness.close()
  })

  /*
   * The engine with the only replica crashes, and the list still shows it as live. That replica counts against the
   * quota, since its memory may still be in use; the quota allows a second one, which serves the waiting requests.
   */
  it('loads a model on another engine when its engine is unreachable, though still listed as live', async () => {
    const harness = createCellsHarness({ instances: 4, fleet: { model: [{ name: 'm', memoryMiB: 8 * GIB, maxReplicas: 2 }] } })
    await advance(harness, 8000)
    callAt(harness, 'entry-1', 'm', 10_000)
    await advance(harness, 5000)
    const [engine] = loadedOn(harness, 'm')
    harness.engines.find(candidate => candidate.id === engine)!.faults.set({ crash: true })
    await advance(harness, 3000)
    const caller = callAt(harness, 'entry-2', 'm', 10_000)
    await advance(harness, 10_000, () => checkInvariants(harness, { m: 2 }))
    expect(caller.outcome).to.equal('served')
    harness.close()
  })

  /* An engine reports that it is leaving before the list does. */
  it('removes a leaving engine from every table within three seconds', async () => {
    const harness = createCellsHarness({ instances: 4, fleet: { model: [{ name: 'm', memoryMiB: 8 * GIB }] } })
    await advance(harness, 8000)
    callAt(harness, 'entry-1', 'm', 10_000)
    await advance(harness, 5000)
    const [engine] = loadedOn(harness, 'm')
    harness.engines.find(candidate => candidate.id === engine)!.startDraining()
    await advance(harness, 3000)
    harness.instances().forEach(instance => expect(instance.cells.replicas.replicasOf('m')).to.deep.equal([]))
    harness.close()
  })

  /*
   * A member misses the notice that a model was unloaded, and sends a request to the engine, which refuses it as not
   * run. The member's next usage report shows the leader that its table is outdated.
   */
  it('sends the current table to a member that uses an outdated one', async () => {
    const harness = createCellsHarness({ instances: 4, fleet: { model: [{ name: 'm', memoryMiB: 8 * GIB }] } })
    await advance(harness, 8000)
    callAt(harness, 'entry-1', 'm', 10_000)
    await advance(harness, 5000)
    const other = harness.instances().find(instance => instance !== harness.leader())!
    harness.network.setDeliveryPolicy(message => message.kind === 'cells.table' && message.to === other.id ? [] : [1])
    harness.engines.find(engine => engine.id === loadedOn(harness, 'm')[0])!.startDraining()
    await advance(harness, 3000)
    expect(other.cells.replicas.replicasOf('m').length).to.equal(1)
    harness.network.setDeliveryPolicy(() => [1])
    callAt(harness, other.id, 'm', 1000)
    await advance(harness, 2000)
    expect(other.cells.replicas.replicasOf('m')).to.deep.equal([])
    harness.close()
  })

  /*
   * The leader is killed and its engines ignore fences, so the next leader may not take them over before there is proof
   * that it has terminated. The tables of the next leader still contain the replicas that are loaded there.
   */
  it('continues to serve loaded models during a change of leader', async () => {
    const harness = createCellsHarness({ instances: 4, engine: { checksFence: false }, fleet: { model: [{ name: 'm', memoryMiB: 8 * GIB }] } })
    await advance(harness, 8000)
    callAt(harness, 'entry-1', 'm', 10_000)
    await advance(harness, 5000)
    harness.leader()!.kill()
    for (let second = 0; second < 50; second += 1) {
      const callers = harness.instances().map(instance => callAt(harness, instance.id, 'm', 500))
      await advance(harness, 1000, () => checkInvariants(harness, { m: 2 }))
      expect(callers.map(caller => caller.outcome), `second ${second}`).to.deep.equal(callers.map(() => 'served'))
    }
    expect(harness.leader()).not.to.equal(undefined)
    harness.close()
  })
})
