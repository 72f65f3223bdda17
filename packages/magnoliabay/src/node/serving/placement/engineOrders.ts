/**
 * Orders to engines, sent one at a time to each and followed to their end: by the entries that engines write when
 * they are done, by reports where entries are late, and by trying the next order where both would cost time.
 */
import type { Clock } from '../../clock'
import { sleep } from '../../clock'
import type { Logger } from '../../logger'
import { addCount } from '../../utils'
import type { ServingConfigProvider } from '../servingConfigProvider'
import type { EngineCalls, EngineOrder, OrderOutcome } from '../engineCalls'
import type { ServerList } from '../serverList'
import { serverProcessId } from '../types'
import type { BackendServer, EngineSpec, LoadedModel, ModelSpec } from '../types'
import { adapterPlacesTaken, createEngineBook } from './engineStates'
import type { EngineBook, EngineEntry, PendingOrder } from './engineStates'
import type { LeaderElection } from './leaderElection'
import type { WeightTier } from './plan'

/** Reports lag by some hundred milliseconds and are paid for; asking more often tells nothing new. */
const REPORT_PERIOD_MS = 250
/** An unload without runs takes less than this. */
const UNLOAD_MS = 100
/** From then on the load that an engine was emptied for is tried: an engine that is not done turns it back. */
const FIRST_TRY_MS = 150
const TRY_PERIOD_MS = 100
/** Tries beyond this are slower: runs under way hold the unload up. */
const QUICK_TRIES_MS = 900
const SLOW_TRY_PERIOD_MS = 400
/** What was written while the store was out of reach comes within this time of its return, page by page, milliseconds. */
const CATCH_UP_MS = 1000
/** An adapter loads within this time; requests sent before are turned back, not run. */
const ADAPTER_READY_MS = 20

export interface Engine {
  server: BackendServer
  spec: EngineSpec
  entry: EngineEntry
  process: string
}

export interface EngineOrdersOptions {
  self: string
  leadership: LeaderElection
  servers: ServerList
  cfg: ServingConfigProvider
  engines: EngineCalls
  /** Since when the store has answered every call, monotonic milliseconds. */
  storeReachableSinceMs: () => number
  clock: Clock
  logger: Logger
  /** An order has come to its end: there may be something to do. */
  onDone: (process: string, tookMs: number) => void
  /** A load from the weight store has begun, or may have. */
  onStoreLoad: (process: string) => void
}

export interface EngineOrders {
  readonly book: EngineBook
  all (): Engine[]
  specOf (model: string): ModelSpec | undefined
  /** Whether an order is on its way to the engine. */
  isSending (process: string): boolean
  /** Whether the next order may be tried: nothing is under way, or an unload that should be done soon. */
  mayTry (engine: Engine): boolean
  /** `tier`: where the engine has the weights. */
  load (process: string, model: string, tier: WeightTier, expectedMs: number): Promise<void>
  unload (process: string, model: string): Promise<void>
  loadAdapter (process: string, model: string, adapter: string): Promise<boolean>
  unloadAdapter (process: string, model: string, adapter: string): Promise<boolean>
  /** Whether an order is under way whose end is awaited. */
  isWaiting (): boolean
  /** Asks engines whose state is not known, or whose order should be done. */
  askReports (): void
}

export function createEngineOrders (options: EngineOrdersOptions): EngineOrders {
  const { self, leadership, servers, cfg, engines, clock, logger } = options
  const book = createEngineBook()
  /** Orders on their way to each engine, those included that wait for one before them. */
  const sending = new Map<string, number>()
  const asking = new Set<string>()
  const triedMs = new Map<string, number>()
  /** Orders to one engine go one after the other. */
  const queues = new Map<string, Promise<unknown>>()

  const engineOf = (server: BackendServer, spec: EngineSpec): Engine => {
    const process = serverProcessId(server)
    return { server, spec, entry: book.entry(process), process }
  }
  const all = (): Engine[] => [...cfg.current()?.services.values() ?? []].flatMap(service => {
    const spec = service.engine
    return spec === undefined ? [] : servers.usable(service.name).map(server => engineOf(server, spec))
  })
  /** Asked for with each entry that changes, hundreds of times a second. */
  const find = (process: string): Engine | undefined => {
    const server = servers.findUsableByProcess(process)
    const spec = server === undefined ? undefined : cfg.findService(server.service)?.engine
    return spec === undefined ? undefined : engineOf(server!, spec)
  }
  /** Nothing is to be followed while another instance gives orders. */
  const isOrdering = (): boolean => leadership.fencingToken() !== undefined
  const specOf = (model: string): ModelSpec | undefined =>
    [...cfg.current()?.services.values() ?? []].map(service => service.engine?.models.get(model)).find(spec => spec !== undefined)
  /** Those who follow this instance's list of servers learn it from there. */
  const tell = ({ server }: Engine, models: readonly LoadedModel[]): void => servers.updateModels(server, models)
  const done = (engine: Engine, before: PendingOrder, source: string): void => {
    logger.info('order-done', { server: engine.server.id, operation: before.operation, model: before.model, source, tookMs: Math.round(clock.monotonic() - before.sentMs), expectedMs: before.expectedMs })
    tell(engine, book.entry(engine.process).models)
    options.onDone(engine.process, clock.monotonic() - before.sentMs)
  }
  const askReport = async (engine: Engine): Promise<void> => {
    const { server, process } = engine
    if (asking.has(process)) return
    asking.add(process)
    const report = await engines.fetchReport(server)
    asking.delete(process)
    if (report.err) return logger.debug('engine-report-missing', { server: server.id, reason: report.val })
    if (report.val.bornMs !== undefined && report.val.bornMs !== server.bornMs) return
    const before = book.entry(process).pending
    if (!book.takeReport(process, report.val, clock.monotonic())) return
    if (before !== undefined && book.entry(process).pending === undefined) done(engine, before, 'report')
  }
  const isDue = ({ entry }: Engine): boolean => {
    const now = clock.monotonic()
    if (now - entry.reportedMs < REPORT_PERIOD_MS) return false
    if (entry.orders === undefined) return true
    return entry.pending !== undefined && now - entry.pending.sentMs >= entry.pending.expectedMs
  }
  servers.onEntry(server => {
    if (!isOrdering()) return
    const engine = find(serverProcessId(server))
    if (engine === undefined) return
    book.noteCopies(engine.process, server.copies)
    const { pending } = engine.entry
    // After a leader was cut off from the store, entries come that were written meanwhile, one after the other. One from
    // before the order under way would pass for its end, and what it lists for what the engine holds: a model that has
    // been loaded since would be missing, and the next load be one too many. Reports tell instead.
    if (pending === undefined || options.storeReachableSinceMs() + CATCH_UP_MS >= pending.sentMs) return
    const holds = server.models.some(held => held.name === pending.model)
    if (holds !== (pending.operation === 'load')) return
    book.noteDone(engine.process, server.models)
    done(engine, pending, 'entry')
  })

  /** An order counts as on its way from this call on: two plans of one moment would else both send it. */
  const serially = <T> (process: string, task: (engine: Engine) => Promise<T>, otherwise: T): Promise<T> => {
    addCount(sending, process, 1)
    const run = async (): Promise<T> => {
      const engine = find(process)
      try {
        return engine === undefined ? otherwise : await task(engine)
      } finally {
        addCount(sending, process, -1)
      }
    }
    const next = (queues.get(process) ?? Promise.resolve()).then(run)
    queues.set(process, next)
    return next
  }
  const send = async ({ server, entry }: Engine, order: Pick<EngineOrder, 'operation' | 'model' | 'adapter'>, tier?: WeightTier): Promise<OrderOutcome> => {
    const fence = leadership.fencingToken()
    if (fence === undefined || entry.orders === undefined) return 'refused'
    const outcome = await engines.sendOrder(server, { ...order, expectedOrders: entry.orders, holder: self, fence })
    logger.info('order-sent', { server: server.id, operation: order.operation, model: order.model, adapter: order.adapter, tier, expectedOrders: entry.orders, fence, outcome })
    return outcome
  }
  const sendAdapter = (process: string, operation: 'load' | 'unload', model: string, adapter: string): Promise<boolean> => serially(process, async engine => {
    const hasIt = engine.entry.models.some(held => held.name === model && held.adapters.includes(adapter))
    if (hasIt === (operation === 'load')) return true
    // Two requests may have chosen the same last place: an engine with one adapter too many crashes.
    if (operation === 'load' && adapterPlacesTaken(engine.entry) >= engine.spec.adapterCapacity) return false
    const outcome = await send(engine, { operation, model, adapter })
    if (outcome !== 'accepted' && outcome !== 'holds-already') {
      // While a model is being loaded an engine turns back every other order; the count stands.
      if (engine.entry.pending === undefined) book.doubt(process)
      return false
    }
    // It was there before; whether the order was counted is not said.
    if (operation === 'load' && outcome === 'holds-already') book.doubt(process)
    if (operation === 'load') book.noteAdapterLoaded(process, model, adapter)
    else book.noteAdapterUnloaded(process, model, adapter)
    if (operation === 'load') await sleep(clock, ADAPTER_READY_MS)
    tell(engine, book.entry(process).models)
    return true
  }, false)

  return {
    book,
    all,
    specOf,
    isSending: process => sending.has(process),
    mayTry: ({ process, entry }) => {
      if (entry.orders === undefined || sending.has(process)) return false
      if (entry.pending === undefined) return true
      if (entry.pending.operation === 'load') return false
      const sinceMs = clock.monotonic() - entry.pending.sentMs
      const periodMs = sinceMs < QUICK_TRIES_MS ? TRY_PERIOD_MS : SLOW_TRY_PERIOD_MS
      return sinceMs >= FIRST_TRY_MS && clock.monotonic() - (triedMs.get(process) ?? -Infinity) >= periodMs
    },
    load: (process, model, tier, expectedMs) => serially(process, async engine => {
      // An engine that loads the model already accepts the order once more, and counts it once.
      if (engine.entry.pending?.operation === 'load') return
      triedMs.set(process, clock.monotonic())
      const isTry = engine.entry.pending !== undefined
      const outcome = await send(engine, { operation: 'load', model }, tier)
      // One that nobody answered may begin as well: it counts as begun.
      if (tier === 'store' && (outcome === 'accepted' || outcome === 'unanswered')) options.onStoreLoad(process)
      if (outcome === 'accepted') return book.noteAccepted(process, { operation: 'load', model, sentMs: clock.monotonic(), expectedMs })
      if (!isTry || outcome !== 'conflict') book.doubt(process)
    }, undefined),
    unload: (process, model) => serially(process, async engine => {
      if (engine.entry.pending !== undefined) return
      // Requests go elsewhere from now on: those that come in meanwhile would be turned back.
      tell(engine, engine.entry.models.filter(held => held.name !== model))
      const outcome = await send(engine, { operation: 'unload', model })
      if (outcome === 'accepted') return book.noteAccepted(process, { operation: 'unload', model, sentMs: clock.monotonic(), expectedMs: UNLOAD_MS })
      book.doubt(process)
      tell(engine, engine.entry.models)
    }, undefined),
    loadAdapter: (process, model, adapter) => sendAdapter(process, 'load', model, adapter),
    unloadAdapter: (process, model, adapter) => sendAdapter(process, 'unload', model, adapter),
    isWaiting: () => isOrdering() && (sending.size > 0 || book.isAnyPending()),
    askReports: () => {
      const known = all()
      book.keep(known.map(engine => engine.process))
      known.filter(isDue).forEach(engine => { askReport(engine) })
    }
  }
}
