import { expect } from 'chai'
import type { Order, OrderOutcome } from 'magnoliabay/backend/protocol'
import { createVirtualClock } from 'magnoliabay/clock/virtual'
import { createWeightStore } from '../../weights'
import { createEngineStandIn } from '..'
import type { EngineOptions, EngineStandIn } from '..'

const ONE_LOAD_MS = 10_000

function setUp (options: Partial<EngineOptions> = {}) {
  const clock = createVirtualClock()
  const weights = createWeightStore({ clock })
  const engine = createEngineStandIn({ id: 'e1', clock, weights, memoryMiB: 10_240, ...options })
  let orders = 0
  const order = (changes: Partial<Order>): Order => {
    orders += 1
    return { orderId: `o${orders}`, fence: 1, action: 'load', model: 'm', memoryMiB: 4096, ...changes }
  }
  const execute = async (changes: Partial<Order>): Promise<OrderOutcome | undefined> => {
    const reply = engine.executeOrder(order(changes))
    await clock.advance(ONE_LOAD_MS)
    return (await reply)?.outcome
  }
  return { clock, weights, engine, order, execute }
}

function loaded (engine: EngineStandIn): readonly string[] {
  return engine.state().models.map(({ model, state }) => `${model} ${state}`)
}

describe('engine orders', () => {
  it('executes an order once, however often its id arrives, and gives the same answer each time', async () => {
    const { clock, weights, engine, order } = setUp()
    const same = order({})
    const replies = [engine.executeOrder(same), engine.executeOrder(same)]
    await clock.advance(ONE_LOAD_MS)
    replies.push(engine.executeOrder(same))
    const reply = { orderId: same.orderId, outcome: 'done' }
    expect(await Promise.all(replies)).to.deep.equal([reply, reply, reply])
    expect(weights.records().length).to.equal(1)
    expect(engine.state().usedMiB).to.equal(4096)
    expect(engine.records().orders.map(record => record.arrivals)).to.deep.equal([3])
  })

  it('loads one replica for two concurrent orders', async () => {
    const { clock, weights, engine, order } = setUp()
    const replies = [engine.executeOrder(order({})), engine.executeOrder(order({}))]
    await clock.advance(ONE_LOAD_MS)
    expect((await Promise.all(replies)).map(reply => reply?.outcome)).to.deep.equal(['done', 'already-done'])
    expect(weights.records().length).to.equal(1)
  })

  const FENCES: ReadonlyArray<{ checksFence: boolean, outcome: OrderOutcome, models: readonly string[] }> = [
    { checksFence: true, outcome: 'stale-fence', models: [] },
    { checksFence: false, outcome: 'done', models: ['m loaded'] }
  ]

  FENCES.forEach(({ checksFence, outcome, models }) => it(`with checksFence ${checksFence}, an order with an old fencing number ends as ${outcome}`, async () => {
    const { engine, execute } = setUp({ checksFence })
    expect(await execute({ action: 'raise-fence', fence: 7 })).to.equal('done')
    expect(await execute({ fence: 6 })).to.equal(outcome)
    expect(loaded(engine)).to.deep.equal(models)
  }))

  // An order is delayed in transit and arrives after a new leader has raised the fence.
  it('checks the fence when a delayed order is executed, not when it was sent', async () => {
    const { clock, engine, order } = setUp()
    engine.faults.set({ orderDelayMs: 1000 })
    const delayed = engine.executeOrder(order({ fence: 1 }))
    engine.faults.set({ orderDelayMs: 0 })
    const raised = engine.executeOrder(order({ action: 'raise-fence', fence: 2 }))
    await clock.advance(ONE_LOAD_MS)
    expect([(await raised)?.outcome, (await delayed)?.outcome]).to.deep.equal(['done', 'stale-fence'])
  })

  it('refuses a load that would overcommit memory, records the attempt, and accepts a load after an unload', async () => {
    const { engine, execute } = setUp()
    await execute({ model: 'a', memoryMiB: 6144 })
    expect(await execute({ model: 'b', memoryMiB: 6144, orderId: 'late' })).to.equal('no-memory')
    expect(engine.records().overcommitAttempts).to.deep.include({
      orderId: 'late', atMs: 1_700_000_010_000, usedMiB: 6144, wantedMiB: 6144
    })
    expect(await execute({ model: 'a', action: 'unload' })).to.equal('done')
    expect(await execute({ model: 'b', memoryMiB: 5120 })).to.equal('done')
    expect(engine.records()).to.deep.include({ usedMiB: 5120, highWaterMiB: 6144 })
  })

  it('uses the sizes of its catalog and refuses all other models', async () => {
    const { engine, execute } = setUp({ catalog: { m: 2048 } })
    expect(await execute({ memoryMiB: 1 })).to.equal('done')
    expect(await execute({ model: 'x' })).to.equal('unknown-model')
    expect(engine.state().usedMiB).to.equal(2048)
  })

  it('frees the adapters of a model that is unloaded', async () => {
    const { engine, execute } = setUp()
    expect(await execute({ action: 'load-adapter', adapter: 'a' })).to.equal('failed')
    await execute({})
    expect(await execute({ action: 'load-adapter', adapter: 'a', memoryMiB: 64 })).to.equal('done')
    expect(engine.state().usedMiB).to.equal(4160)
    await execute({ action: 'unload' })
    expect(engine.state()).to.deep.include({ usedMiB: 0, models: [], adapters: [] })
  })

  // The process dies during a load. The leader gets no answer; the restarted engine has a new incarnation and no
  // models, and the old load must not complete in it.
  it('loses all models and an unfinished load when its process dies, but keeps the fence', async () => {
    const { clock, engine, order, execute } = setUp()
    await execute({ model: 'a', fence: 5 })
    const before = engine.state().incarnation
    const unfinished = engine.executeOrder(order({ model: 'b', fence: 5 }))
    await clock.advance(10)
    expect(loaded(engine)).to.deep.equal(['a loaded', 'b loading'])
    engine.faults.set({ crash: true })
    engine.faults.set({ crash: false })
    await clock.advance(ONE_LOAD_MS)
    expect(await unfinished).to.equal(undefined)
    expect(engine.state()).to.deep.include({ models: [], usedMiB: 0, fence: 5 })
    expect(engine.state().incarnation).to.not.equal(before)
    expect(await execute({ model: 'b', fence: 4 })).to.equal('stale-fence')
  })

  it('reads a checkpoint from the nearest tier that has it', async () => {
    const { weights, engine, execute } = setUp({ checkpoints: { near: 'disk' } })
    await execute({ model: 'near' })
    expect(weights.records().length).to.equal(0)
    await execute({ model: 'far' })
    expect(weights.records().length).to.equal(1)
    expect(engine.state().checkpoints).to.deep.equal([{ model: 'far', tier: 'memory' }, { model: 'near', tier: 'memory' }])
  })
})
