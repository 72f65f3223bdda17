/**
 * Sends orders to engines, one at a time to each, and detects their completion: by the entries that engines write to
 * the store, by reports where entries are late, and by trying the next order where waiting for either would cost time.
 */
import type { Clock } from '../../clock'
import { sleep } from '../../clock'
import type { Logger } from '../../logger'
import { addCount, messageOf } from '../../utils'
import type { ServingConfigProvider } from '../servingConfigProvider'
import type { EngineCalls, EngineOrder, OrderOutcome } from '../engineCalls'
import type { ServerList } from '../serverList'
import { serverProcessId } from '../types'
import type { BackendServer, EngineSpec, LoadedModel, ModelSpec } from '../types'
import { usedAdapterCapacity, createEngineTracker } from './engineTracker'
import type { EngineTracker, TrackedEngine, PendingOrder } from './engineTracker'
import type { LeaderElection } from './leaderElection'
import type { WeightTier } from './plan'

/**
 * Reports lag by some hundred milliseconds, so more frequent ones would show nothing new, and the platform charges for
 * each.
 */
const REPORT_INTERVAL_MS = 250
/** An unload takes less than this if no request is running on the model. */
const EXPECTED_UNLOAD_MS = 100
/** Time after an unload order before the following load is tried; an engine that is still unloading rejects it. */
const FIRST_TRY_DELAY_MS = 150
const TRY_INTERVAL_MS = 100
/** After this time tries are less frequent: running requests are delaying the unload. */
const SLOW_TRIES_AFTER_MS = 900
const SLOW_TRY_INTERVAL_MS = 400
/** Events written while the store was unreachable arrive in pages within this time after it is reachable again. */
const STORE_CATCH_UP_MS = 1000
/** An adapter loads within this time; requests sent earlier are rejected without being run. */
const ADAPTER_LOAD_MS = 20

export interface Engine {
  server: BackendServer
  spec: EngineSpec
  tracked: TrackedEngine
  process: string
}

export interface EngineOrdersOptions {
  self: string
  leadership: LeaderElection
  servers: ServerList
  cfg: ServingConfigProvider
  engines: EngineCalls
  /** Remaining time for which an engine's process wants nothing from this instance, milliseconds. */
  backoffMs: (process: string) => number
  /** Time since which the store has answered every call, monotonic milliseconds. */
  storeReachableSinceMs: () => number
  /**
   * Whether the load after an unload may be tried before the unload is known to be complete.
   *
   * @default always
   */
  mayTryEarly?: () => boolean
  clock: Clock
  logger: Logger
  /** Called when an order has ended, so that the next plan can be made. */
  onOrderDone: (process: string, tookMs: number) => void
  /** Called when a load from the weight store has begun or may have begun. */
  onStoreLoad: (process: string) => void
}

export interface EngineOrders {
  readonly tracker: EngineTracker
  listEngines (): Engine[]
  specOf (model: string): ModelSpec | undefined
  /** Whether an order to the engine is queued or sent and not answered. */
  hasOrderInFlight (process: string): boolean
  /** Whether the next order may be tried: no order is pending, or the pending one is an unload that should end soon. */
  mayTryNextOrder (engine: Engine): boolean
  /** `tier`: the tier from which the engine loads the weights. */
  load (process: string, model: string, tier: WeightTier, expectedMs: number): Promise<void>
  /**
   * `expectedMs`: expected duration, after which a report is requested.
   *
   * @default the duration without running requests
   */
  unload (process: string, model: string, expectedMs?: number): Promise<void>
  loadAdapter (process: string, model: string, adapter: string): Promise<boolean>
  unloadAdapter (process: string, model: string, adapter: string): Promise<boolean>
  /** Whether this instance may order and any order is queued, in flight or pending. */
  hasPendingOrders (): boolean
  /** Requests reports from engines whose number of accepted orders is unknown or whose pending order should be done. */
  requestReports (): void
}

export function createEngineOrders (options: EngineOrdersOptions): EngineOrders {
  const { self, leadership, servers, cfg, engines, clock, logger, mayTryEarly = () => true } = options
  const tracker = createEngineTracker()
  /** Number of orders to each engine that are queued or in flight. */
  const ordersInFlight = new Map<string, number>()
  const reportsInFlight = new Set<string>()
  /** When each engine was last asked; one that answers with no report is not asked again at once. */
  const askedMs = new Map<string, number>()
  const lastTryMs = new Map<string, number>()
  /** Last queued order of each engine: orders to one engine are sent one after the other. */
  const queues = new Map<string, Promise<unknown>>()

  const engineOf = (server: BackendServer, spec: EngineSpec): Engine => {
    const process = serverProcessId(server)
    return { server, spec, tracked: tracker.get(process), process }
  }
  const listEngines = (): Engine[] => [...cfg.current()?.services.values() ?? []].flatMap(service => {
    const spec = service.engine
    return spec === undefined ? [] : servers.usable(service.name).map(server => engineOf(server, spec))
  })
  /** Called for each changed entry, hundreds of times a second, so it does not scan all servers. */
  const findEngine = (process: string): Engine | undefined => {
    const server = servers.findUsableByProcess(process)
    const spec = server === undefined ? undefined : cfg.findService(server.service)?.engine
    return spec === undefined ? undefined : engineOf(server!, spec)
  }
  /** Whether this instance is the leader; others do not track orders. */
  const mayOrder = (): boolean => leadership.fencingToken() !== undefined
  const specOf = (model: string): ModelSpec | undefined =>
    [...cfg.current()?.services.values() ?? []].map(service => service.engine?.models.get(model)).find(spec => spec !== undefined)
  /** Updates the server list, from which followers of the list learn of the change. */
  const publishModels = ({ server }: Engine, models: readonly LoadedModel[]): void => servers.updateModels(server, models)
  const finishOrder = (engine: Engine, pending: PendingOrder, source: string): void => {
    logger.info('order-done', { server: engine.server.id, operation: pending.operation, model: pending.model, source, tookMs: Math.round(clock.monotonic() - pending.sentMs), expectedMs: pending.expectedMs })
    publishModels(engine, tracker.get(engine.process).models)
    options.onOrderDone(engine.process, clock.monotonic() - pending.sentMs)
  }
  const requestReport = async (engine: Engine): Promise<void> => {
    const { server, process } = engine
    if (reportsInFlight.has(process)) return
    reportsInFlight.add(process)
    askedMs.set(process, clock.monotonic())
    const report = await engines.fetchReport(server).finally(() => reportsInFlight.delete(process))
    if (report.err) return logger.debug('engine-report-missing', { server: server.id, reason: report.val.kind, detail: report.val.message })
    if (report.val.bornMs !== undefined && report.val.bornMs !== server.bornMs) return
    const pending = tracker.get(process).pending
    if (!tracker.applyReport(process, report.val, clock.monotonic())) return
    if (pending !== undefined && tracker.get(process).pending === undefined) finishOrder(engine, pending, 'report')
  }
  const isReportDue = ({ tracked, process }: Engine): boolean => {
    const now = clock.monotonic()
    if (options.backoffMs(process) > 0) return false
    if (now - Math.max(tracked.reportedMs, askedMs.get(process) ?? -Infinity) < REPORT_INTERVAL_MS) return false
    if (tracked.acceptedOrders === undefined) return true
    return tracked.pending !== undefined && now - tracked.pending.sentMs >= tracked.pending.expectedMs
  }
  servers.onEntry(server => {
    if (!mayOrder()) return
    const engine = findEngine(serverProcessId(server))
    if (engine === undefined) return
    tracker.recordCopies(engine.process, server.copies)
    const { pending } = engine.tracked
    // After the store was unreachable, entries written meanwhile arrive one after the other. One from before the pending
    // order could be mistaken for its completion, and would lack a model that was loaded since: the next load would then
    // exceed the engine's memory. Completion is taken from reports instead.
    if (pending === undefined || options.storeReachableSinceMs() + STORE_CATCH_UP_MS >= pending.sentMs) return
    const hasModel = server.models.some(loaded => loaded.name === pending.model)
    if (hasModel !== (pending.operation === 'load')) return
    tracker.recordDone(engine.process, server.models)
    finishOrder(engine, pending, 'entry')
  })

  /**
   * Counts an order as in flight from this call on, since two plans made at the same moment would otherwise both send
   * it.
   */
  const enqueue = <T> (process: string, task: (engine: Engine) => Promise<T>, fallback: T): Promise<T> => {
    addCount(ordersInFlight, process, 1)
    const run = async (): Promise<T> => {
      const engine = findEngine(process)
      try {
        return engine === undefined ? fallback : await task(engine)
      } finally {
        addCount(ordersInFlight, process, -1)
      }
    }
    const next = (queues.get(process) ?? Promise.resolve()).then(run)
    queues.set(process, next)
    return next
  }
  const sendOrder = async ({ server, tracked }: Engine, order: Pick<EngineOrder, 'operation' | 'model' | 'adapter'>, tier?: WeightTier): Promise<OrderOutcome> => {
    const fence = leadership.fencingToken()
    if (fence === undefined || tracked.acceptedOrders === undefined) return 'refused'
    const outcome = await engines.sendOrder(server, { ...order, expectedOrders: tracked.acceptedOrders, holder: self, fence })
    logger.info('order-sent', { server: server.id, operation: order.operation, model: order.model, adapter: order.adapter, tier, expectedOrders: tracked.acceptedOrders, fence, outcome })
    return outcome
  }
  const sendAdapterOrder = (process: string, operation: 'load' | 'unload', model: string, adapter: string): Promise<boolean> => enqueue(process, async engine => {
    const isLoaded = engine.tracked.models.some(loaded => loaded.name === model && loaded.adapters.includes(adapter))
    if (isLoaded === (operation === 'load')) return true
    // Two requests may have chosen the same last free capacity; an engine with one adapter too many crashes.
    if (operation === 'load' && usedAdapterCapacity(engine.tracked) >= engine.spec.adapterCapacity) return false
    const outcome = await sendOrder(engine, { operation, model, adapter })
    if (outcome !== 'accepted' && outcome !== 'holds-already') {
      // An engine that is loading a model rejects every other order, and its number of accepted orders stays the same.
      if (engine.tracked.pending === undefined) tracker.forgetAcceptedOrders(process)
      return false
    }
    // The adapter was already loaded; the reply does not say whether the order was counted.
    if (operation === 'load' && outcome === 'holds-already') tracker.forgetAcceptedOrders(process)
    if (operation === 'load') tracker.recordAdapterLoaded(process, model, adapter)
    else tracker.recordAdapterUnloaded(process, model, adapter)
    if (operation === 'load') await sleep(clock, ADAPTER_LOAD_MS)
    publishModels(engine, tracker.get(process).models)
    return true
  }, false)

  return {
    tracker,
    listEngines,
    specOf,
    hasOrderInFlight: process => ordersInFlight.has(process),
    mayTryNextOrder: ({ process, tracked }) => {
      if (tracked.acceptedOrders === undefined || ordersInFlight.has(process) || options.backoffMs(process) > 0) return false
      if (tracked.pending === undefined) return true
      if (tracked.pending.operation === 'load' || !mayTryEarly()) return false
      const sinceMs = clock.monotonic() - tracked.pending.sentMs
      const intervalMs = sinceMs < SLOW_TRIES_AFTER_MS ? TRY_INTERVAL_MS : SLOW_TRY_INTERVAL_MS
      return sinceMs >= FIRST_TRY_DELAY_MS && clock.monotonic() - (lastTryMs.get(process) ?? -Infinity) >= intervalMs
    },
    load: (process, model, tier, expectedMs) => enqueue(process, async engine => {
      // An engine that is already loading the model accepts the order again but counts it once.
      if (engine.tracked.pending?.operation === 'load') return
      lastTryMs.set(process, clock.monotonic())
      const isEarlyTry = engine.tracked.pending !== undefined
      const outcome = await sendOrder(engine, { operation: 'load', model }, tier)
      // An unanswered load may begin as well, so it counts as begun.
      if (tier === 'store' && (outcome === 'accepted' || outcome === 'unanswered')) options.onStoreLoad(process)
      if (outcome === 'accepted') return tracker.recordAccepted(process, { operation: 'load', model, sentMs: clock.monotonic(), expectedMs })
      if (!isEarlyTry || outcome !== 'conflict') tracker.forgetAcceptedOrders(process)
    }, undefined),
    unload: (process, model, expectedMs = EXPECTED_UNLOAD_MS) => enqueue(process, async engine => {
      if (engine.tracked.pending !== undefined) return
      // Routes requests to other engines before the order is sent: the engine would reject those that arrive meanwhile.
      publishModels(engine, engine.tracked.models.filter(loaded => loaded.name !== model))
      const outcome = await sendOrder(engine, { operation: 'unload', model })
      if (outcome === 'accepted') return tracker.recordAccepted(process, { operation: 'unload', model, sentMs: clock.monotonic(), expectedMs })
      tracker.forgetAcceptedOrders(process)
      publishModels(engine, engine.tracked.models)
    }, undefined),
    loadAdapter: (process, model, adapter) => sendAdapterOrder(process, 'load', model, adapter),
    unloadAdapter: (process, model, adapter) => sendAdapterOrder(process, 'unload', model, adapter),
    hasPendingOrders: () => mayOrder() && (ordersInFlight.size > 0 || tracker.hasPending()),
    requestReports: () => {
      const listed = listEngines()
      const processes = new Set(listed.map(engine => engine.process))
      tracker.retainOnly([...processes])
      askedMs.forEach((_, process) => { if (!processes.has(process)) askedMs.delete(process) })
      listed.filter(isReportDue).forEach(engine => {
        requestReport(engine).catch((err: unknown) => logger.error('engine-report-fault', { server: engine.server.id, reason: messageOf(err) }))
      })
    }
  }
}
