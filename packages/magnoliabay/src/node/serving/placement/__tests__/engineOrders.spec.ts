import { expect } from 'chai'
import { createVirtualClock } from '../../../clock/virtual'
import type { VirtualClock } from '../../../clock/virtual'
import { createSilentLogger } from '../../../logger'
import { Err, Ok } from '../../../result'
import { configOf, leadingOf, modelSpec, serverOf } from '../../__tests__/fixtures'
import { createServingConfigProvider } from '../../servingConfigProvider'
import type { EngineOrder, OrderOutcome } from '../../engineCalls'
import { createServerList } from '../../serverList'
import type { ServerList } from '../../serverList'
import type { BackendServer, LoadedModel } from '../../types'
import { createEngineOrders } from '../engineOrders'
import type { EngineOrders } from '../engineOrders'

const RESPONSE_MS = 3
const UNLOAD_MS = 60
const LOAD_MS = 1600

/** An engine that accepts one order at a time, if the order carries the number of orders accepted so far. */
interface FakeEngine {
  accepted: EngineOrder[]
  models: LoadedModel[]
  isBusy: boolean
  /** Responses are lost, while orders are still carried out. */
  losesResponses: boolean
  /** Time from the end of an order until the watchers get the entry that was written then, milliseconds. */
  entryDelayMs: number
}

interface Harness {
  clock: VirtualClock
  engine: FakeEngine
  orders: EngineOrders
  servers: ServerList
  fence: { value: number | undefined }
  storeConnectivity: { reachableSinceMs: number }
  /** Delivers the engine's entry to the store's watchers. */
  publishEntry (): void
  /** Requests a report and waits for it. */
  learnState (): Promise<void>
}

const PROCESS = 'e1@1'
const loadedModel = (name: string, adapters: string[] = []): LoadedModel => ({ name, version: 1, adapters })

function createHarness (models: LoadedModel[], adapterCapacity = 2): Harness {
  const clock = createVirtualClock()
  const logger = createSilentLogger()
  const engine: FakeEngine = { accepted: [], models, isBusy: false, losesResponses: false, entryDelayMs: 0 }
  const fence = { value: 7 as number | undefined }
  const storeConnectivity = { reachableSinceMs: -Infinity }
  const specs = new Map(['a', 'b', 'c', 'd'].map(name => [name, modelSpec(name, { adapters: ['a1', 'a2', 'a3'] })]))
  const cfg = createServingConfigProvider({
    decode: () => configOf(1, { services: new Map([['llm', { name: 'llm', coldStart: undefined, connectionLimit: 10, engine: { slots: 8, kvTokens: 0, weightMemoryMb: 210, adapterCapacity, storeLoadsPerSecond: 1, models: specs } }]]) }),
    clock,
    logger
  })
  cfg.applyIfNewer('', 'store')
  const servers = createServerList({ decode: (key, text) => JSON.parse(text) as BackendServer, idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => -60_000, clock, logger })
  const publishModels = (written: readonly LoadedModel[]): void => servers.put({ key: 'e1', value: JSON.stringify(serverOf('e1', { service: 'llm', models: written })) })
  const publishEntry = (): void => publishModels(engine.models)
  const finish = (order: EngineOrder): void => {
    engine.isBusy = false
    engine.models = order.operation === 'load' ? [...engine.models, loadedModel(order.model)] : engine.models.filter(model => model.name !== order.model)
    const written = engine.models
    if (engine.entryDelayMs === 0) publishEntry()
    else clock.schedule(engine.entryDelayMs, () => publishModels(written))
  }
  const changeAdapter = (order: EngineOrder): void => {
    engine.models = engine.models.map(model => model.name !== order.model
      ? model
      : { ...model, adapters: order.operation === 'load' ? [...model.adapters, order.adapter!] : model.adapters.filter(name => name !== order.adapter) })
  }
  const acceptOrder = (order: EngineOrder): OrderOutcome => {
    // An order that is already being carried out is accepted again and not counted again.
    const isSame = engine.isBusy && order.adapter === undefined && engine.accepted.at(-1)?.model === order.model && engine.accepted.at(-1)?.operation === order.operation
    if (isSame) return 'accepted'
    if (engine.isBusy || order.expectedOrders !== engine.accepted.length) return 'conflict'
    engine.accepted.push(order)
    if (order.adapter !== undefined) {
      changeAdapter(order)
      return 'accepted'
    }
    engine.isBusy = true
    clock.schedule(order.operation === 'load' ? LOAD_MS : UNLOAD_MS, () => finish(order))
    return 'accepted'
  }
  const respondLater = <T> (respond: () => T): Promise<T> => new Promise(resolve => clock.schedule(RESPONSE_MS, () => resolve(respond())))
  const orders = createEngineOrders({
    self: 'me',
    leadership: { fencingToken: () => fence.value, firstOrderInMs: () => 0, isLeaseHolder: () => true, leaseHolder: () => 'me', ownClaim: () => leadingOf('me'), knownClaim: () => leadingOf('me'), latestClaimRevision: () => 1, recordClaimFromPeer: () => {}, start: () => {}, stepDown: async () => {}, resign: async () => {} },
    servers,
    cfg,
    engines: {
      fetchReport: () => respondLater(() => engine.losesResponses
        ? Err({ kind: 'unanswered' as const, message: 'no answer in time' })
        : Ok({ bornMs: undefined, isOrderPending: engine.isBusy, acceptedOrders: engine.accepted.length, waiting: 0, running: 0, models: engine.models, loadingAdapters: [], copies: { memory: [], disk: [] } })),
      sendOrder: (_server, order) => respondLater(() => {
        const outcome = acceptOrder(order)
        return engine.losesResponses ? 'unanswered' : outcome
      }),
      onStatement: () => {},
      closeConnections: () => {}
    },
    backoffMs: () => 0,
    storeReachableSinceMs: () => storeConnectivity.reachableSinceMs,
    clock,
    logger,
    onOrderDone: () => {},
    onStoreLoad: () => {}
  })
  publishEntry()
  return {
    clock,
    engine,
    orders,
    servers,
    fence,
    storeConnectivity,
    publishEntry,
    learnState: async () => {
      orders.requestReports()
      await clock.advance(RESPONSE_MS + 1)
    }
  }
}

const usableModels = (harness: Harness): string[] => harness.servers.get('e1')!.models.map(model => model.name)

describe('engine orders', () => {
  it('detects the end of an order by the engine\'s entry', async () => {
    const harness = createHarness([loadedModel('a')])
    await harness.learnState()
    harness.orders.load(PROCESS, 'b', 'disk', LOAD_MS)
    await harness.clock.advance(LOAD_MS + 10)
    expect(harness.orders.tracker.get(PROCESS).pending).to.equal(undefined)
    expect(usableModels(harness)).to.deep.equal(['a', 'b'])
  })

  it('stops routing to a model before the order to unload it is sent', async () => {
    const harness = createHarness([loadedModel('a'), loadedModel('b')])
    await harness.learnState()
    harness.orders.unload(PROCESS, 'a')
    await harness.clock.settle()
    expect(usableModels(harness)).to.deep.equal(['b'])
  })

  /**
   * Guards against an engine that receives more adapters than its capacity and crashes.
   * 1. It has capacity for one more adapter. 2. Two requests for different adapters both choose the engine. 3. The second
   * order is not sent.
   */
  it('uses the last free adapter capacity only once', async () => {
    const harness = createHarness([loadedModel('a', ['a1'])])
    await harness.learnState()
    const both = Promise.all([harness.orders.loadAdapter(PROCESS, 'a', 'a2'), harness.orders.loadAdapter(PROCESS, 'a', 'a3')])
    await harness.clock.advance(100)
    expect(await both).to.deep.equal([true, false])
    expect(harness.engine.accepted).to.have.length(1)
  })

  /**
   * Guards against an engine that receives more adapters than its capacity and crashes.
   * 1. An engine has loaded a model, and writes its entry. 2. Before the entry arrives here, it accepts an adapter: of a model
   * that it had, or of the new one. 3. The entry lacks that adapter, and another one is ordered in its place.
   */
  for (const model of ['a', 'b']) {
    it(`counts an adapter of model ${model} that was accepted before the entry arrived that tells of the end of a load`, async () => {
      const harness = createHarness([loadedModel('a', ['a1'])])
      await harness.learnState()
      harness.engine.entryDelayMs = 500
      harness.orders.load(PROCESS, 'b', 'disk', LOAD_MS)
      await harness.clock.advance(LOAD_MS + 100)
      const accepted = harness.orders.loadAdapter(PROCESS, model, 'a2')
      await harness.clock.advance(1000)
      expect(await accepted).to.equal(true)
      const beyond = harness.orders.loadAdapter(PROCESS, 'a', 'a3')
      await harness.clock.advance(100)
      expect(await beyond).to.equal(false)
      expect(harness.engine.models.flatMap(({ adapters }) => adapters)).to.have.length(2)
    })
  }

  /**
   * Guards against loading a model twice, or into memory that is not free.
   * 1. An order is carried out and its response is lost. 2. Nothing else is ordered until the engine has reported its
   * number of accepted orders. 3. The models that it reports are the ones counted against its memory.
   */
  it('waits for a report after an order that was not answered', async () => {
    const harness = createHarness([loadedModel('a'), loadedModel('b')])
    await harness.learnState()
    harness.engine.losesResponses = true
    harness.orders.load(PROCESS, 'c', 'disk', LOAD_MS)
    await harness.clock.advance(10)
    harness.engine.losesResponses = false
    harness.orders.load(PROCESS, 'd', 'disk', LOAD_MS)
    await harness.clock.advance(10)
    expect(harness.engine.accepted.map(order => order.model)).to.deep.equal(['c'])
    expect(harness.orders.mayTryNextOrder(harness.orders.listEngines()[0]!)).to.equal(false)
    await harness.clock.advance(LOAD_MS + 300)
    await harness.learnState()
    expect(harness.orders.tracker.get(PROCESS)).to.deep.include({ acceptedOrders: 1 })
    expect(harness.orders.tracker.get(PROCESS).models.map(model => model.name)).to.deep.equal(['a', 'b', 'c'])
  })

  it('tries the next load before the end of the unload is reported, and does not count a rejected try', async () => {
    const harness = createHarness([loadedModel('a'), loadedModel('b'), loadedModel('c')])
    await harness.learnState()
    harness.orders.unload(PROCESS, 'a')
    await harness.clock.advance(RESPONSE_MS + 1)
    harness.orders.load(PROCESS, 'd', 'disk', LOAD_MS)
    await harness.clock.advance(RESPONSE_MS + 1)
    expect(harness.engine.accepted).to.have.length(1)
    expect(harness.orders.tracker.get(PROCESS).acceptedOrders).to.equal(1)
    await harness.clock.advance(UNLOAD_MS)
    harness.orders.load(PROCESS, 'd', 'disk', LOAD_MS)
    await harness.clock.advance(RESPONSE_MS + 1)
    expect(harness.engine.accepted.map(order => order.operation)).to.deep.equal(['unload', 'load'])
  })

  /**
   * Guards against an engine that accepts no order for seconds, so that callers waiting for its models are refused.
   * 1. Two plans made at the same moment both order the load for which the engine was reserved. 2. The engine accepts
   * both and counts one. 3. If both were counted here, every later order would carry a number that the engine rejects.
   */
  it('sends an order once if two plans make it at the same moment', async () => {
    const harness = createHarness([loadedModel('a')])
    await harness.learnState()
    harness.orders.load(PROCESS, 'b', 'disk', LOAD_MS)
    expect(harness.orders.mayTryNextOrder(harness.orders.listEngines()[0]!)).to.equal(false)
    harness.orders.load(PROCESS, 'b', 'disk', LOAD_MS)
    await harness.clock.advance(2 * RESPONSE_MS + 1)
    expect(harness.engine.accepted).to.have.length(1)
    expect(harness.orders.tracker.get(PROCESS).acceptedOrders).to.equal(1)
  })

  it('sends no order without a fencing token', async () => {
    const harness = createHarness([loadedModel('a')])
    await harness.learnState()
    harness.fence.value = undefined
    harness.orders.load(PROCESS, 'b', 'disk', LOAD_MS)
    await harness.clock.advance(50)
    expect(harness.engine.accepted).to.have.length(0)
  })

  /**
   * Guards against an engine that is ordered to load more than its memory holds and crashes.
   * 1. The leader is cut off from the store; a peer renews its lease, and it relies on reports. 2. The engine unloads b,
   * loads c, and is ordered to unload a. 3. The store is reachable again and delivers older entries: one without b, c and
   * a could be mistaken for the end of the pending order. 4. By the accounts there would then be memory to load c
   * once more.
   */
  it('ignores entries written while the store was unreachable', async () => {
    const harness = createHarness([loadedModel('a'), loadedModel('b')])
    await harness.learnState()
    harness.orders.unload(PROCESS, 'a')
    await harness.clock.advance(RESPONSE_MS + 1)
    harness.storeConnectivity.reachableSinceMs = harness.clock.monotonic()
    harness.servers.put({ key: 'e1', value: JSON.stringify(serverOf('e1', { service: 'llm', models: [] })) })
    const { tracked } = harness.orders.listEngines()[0]!
    expect(tracked.pending?.model).to.equal('a')
    expect(tracked.models.map(model => model.name)).to.deep.equal(['b'])
  })

  it('detects the end of orders sent after the store is reachable again', async () => {
    const harness = createHarness([loadedModel('a'), loadedModel('b')])
    await harness.learnState()
    harness.storeConnectivity.reachableSinceMs = harness.clock.monotonic()
    await harness.clock.advance(1010)
    harness.orders.unload(PROCESS, 'a')
    await harness.clock.advance(RESPONSE_MS + UNLOAD_MS + 5)
    expect(harness.orders.listEngines()[0]!.tracked.pending).to.equal(undefined)
  })
})
