/**
 * The instance that gives orders to engines: plans what is loaded where, sends one order at a time to each engine,
 * follows it to its end, and tells the others what engines hold.
 */
import type { Clock } from '../../clock'
import { sleep } from '../../clock'
import type { Logger } from '../../logger'
import type { Peers } from '../../members'
import type { ConfigInForce } from '../configInForce'
import type { EngineCalls, EngineOrder, OrderOutcome } from '../engineCalls'
import type { FleetTable } from '../fleetTable'
import type { Servers } from '../servers'
import { processOf } from '../types'
import type { BackendServer, EngineSpec, LoadedModel, ModelSpec } from '../types'
import { chooseAdapterPlace } from './adapters'
import { createEngineBook, freeWeightsMb } from './engineBook'
import type { EngineEntry } from './engineBook'
import type { Leadership } from './leadership'
import { holdingsNotice, wantCall } from './messages'
import type { WantReply, WantRequest } from './messages'
import { planSteps, tierOf } from './plan'
import type { EnginePlan, ModelNeed, PlanStep } from './plan'
import { createStoreLoads } from './storeLoads'

/** How often the plan is made anew, milliseconds; a waiting request makes it at once. */
const TICK_MS = 150
/** Reports lag by some hundred milliseconds and are paid for; asking more often tells nothing new. */
const REPORT_PERIOD_MS = 200
/** A want that is not repeated counts no more. */
const WANT_KEPT_MS = 1200
/** An unload without runs takes about this long; one that waits for runs is found done by reports. */
const UNLOAD_MS = 450
/** An order that is not done after so many times its expected time is looked at anew. */
const MAX_PROMISE_MS = 15_000
/** An adapter loads within this time; requests sent before are turned back, not run. */
const ADAPTER_READY_MS = 20
/** What one more waiting model costs the next, milliseconds: a swap, shared by the engines that can make one. */
const SWAP_MS = 2600

export interface OrdererOptions {
  self: string
  leadership: Leadership
  servers: Servers
  cfg: ConfigInForce
  table: FleetTable
  engines: EngineCalls
  peers: Peers
  clock: Clock
  logger: Logger
  loadCeiling: { windowMs: number, factor: number }
}

interface Want {
  sinceMs: number
  lastMs: number
}

interface Engine {
  server: BackendServer
  spec: EngineSpec
  entry: EngineEntry
}

export interface Orderer {
  start (signal: AbortSignal): void
  want (req: WantRequest): Promise<WantReply>
}

export function createOrderer (options: OrdererOptions): Orderer {
  const { self, leadership, servers, cfg, table, engines, peers, clock, logger } = options
  const book = createEngineBook()
  const wants = new Map<string, Want>()
  const lastActiveMs = new Map<string, number>()
  /** The model that an engine is being emptied for. */
  const promised = new Map<string, { model: string, sinceMs: number }>()
  /** Engines with an order on its way. */
  const sending = new Set<string>()
  const asking = new Set<string>()
  /** Orders to one engine go one after the other. */
  const queues = new Map<string, Promise<unknown>>()
  const engineSpecs = (): EngineSpec[] => [...cfg.current()?.services.values() ?? []].flatMap(service => service.engine ?? [])
  const storeLoads = createStoreLoads({
    windowMs: options.loadCeiling.windowMs,
    loadsPerSecond: () => Math.min(...engineSpecs().map(spec => spec.storeLoadsPerSecond))
  })
  let ledFence: number | undefined

  const all = (): Engine[] => [...cfg.current()?.services.values() ?? []].flatMap(service => {
    const spec = service.engine
    if (spec === undefined) return []
    return servers.usable(service.name).map(server => ({ server, spec, entry: book.entry(processOf(server)) }))
  })
  const specOf = (model: string): ModelSpec | undefined => engineSpecs().map(spec => spec.models.get(model)).find(spec => spec !== undefined)

  const tell = ({ server, entry }: Engine): void => {
    const models: readonly LoadedModel[] = entry.models
    servers.noteModels(server, models)
    peers.notifyAll(holdingsNotice, { server: server.id, bornMs: server.bornMs, models })
  }
  const askReport = async ({ server }: Engine): Promise<void> => {
    const process = processOf(server)
    if (asking.has(process)) return
    asking.add(process)
    const report = await engines.report(server)
    asking.delete(process)
    if (report.err) return logger.debug('engine-report-missing', { server: server.id, reason: report.val })
    if (report.val.bornMs !== undefined && report.val.bornMs !== server.bornMs) return
    const before = book.entry(process).pending
    if (!book.takeReport(process, report.val, clock.monotonic())) return
    const entry = book.entry(process)
    if (before !== undefined && entry.pending === undefined) {
      logger.info('order-done', { server: server.id, operation: before.operation, model: before.model, tookMs: Math.round(clock.monotonic() - before.sentMs), expectedMs: before.expectedMs })
      if (before.operation === 'load') promised.delete(process)
      tell({ server, spec: engineSpecs()[0]!, entry })
    }
  }
  const isDue = ({ entry }: Engine): boolean => {
    const now = clock.monotonic()
    if (now - entry.reportedMs < REPORT_PERIOD_MS) return false
    if (entry.orders === undefined) return true
    return entry.pending !== undefined && now - entry.pending.sentMs >= entry.pending.expectedMs
  }

  const serially = <T> (process: string, task: () => Promise<T>): Promise<T> => {
    const next = (queues.get(process) ?? Promise.resolve()).then(task)
    queues.set(process, next.catch(() => {}))
    return next
  }
  const send = async ({ server, entry }: Engine, order: Pick<EngineOrder, 'operation' | 'model' | 'adapter'>): Promise<OrderOutcome> => {
    const fence = leadership.fence()
    if (fence === undefined || entry.orders === undefined) return 'refused'
    const outcome = await engines.order(server, { ...order, expectedOrders: entry.orders, holder: self, fence })
    logger.info('order-sent', { server: server.id, operation: order.operation, model: order.model, adapter: order.adapter, expectedOrders: entry.orders, fence, outcome })
    return outcome
  }
  const handlers: Record<PlanStep['kind'], (step: PlanStep, engine: Engine) => Promise<void>> = {
    load: async (step, engine) => {
      const { server } = engine
      const process = processOf(server)
      const tier = tierOf({ copies: engine.entry.copies }, step.model)
      const expectedMs = specOf(step.model)?.loadMs[tier] ?? 0
      if (tier === 'store') storeLoads.noteBegun(clock.monotonic())
      promised.set(process, { model: step.model, sinceMs: clock.monotonic() })
      const outcome = await send(engine, { operation: 'load', model: step.model })
      if (outcome === 'accepted') return book.noteAccepted(process, { operation: 'load', model: step.model, sentMs: clock.monotonic(), expectedMs, fromStore: tier === 'store' })
      book.doubt(process)
    },
    unload: async (step, engine) => {
      const { server } = engine
      const process = processOf(server)
      if (step.kind === 'unload') promised.set(process, { model: step.inFavourOf, sinceMs: clock.monotonic() })
      // Requests go elsewhere from now on: those that come in meanwhile would be turned back.
      tell({ ...engine, entry: { ...engine.entry, models: engine.entry.models.filter(held => held.name !== step.model) } })
      const outcome = await send(engine, { operation: 'unload', model: step.model })
      if (outcome === 'accepted') return book.noteAccepted(process, { operation: 'unload', model: step.model, sentMs: clock.monotonic(), expectedMs: UNLOAD_MS, fromStore: false })
      book.doubt(process)
    }
  }
  const carryOut = async (step: PlanStep): Promise<void> => {
    const engine = all().find(({ server }) => processOf(server) === step.engine)
    if (engine === undefined || sending.has(step.engine)) return
    sending.add(step.engine)
    await serially(step.engine, async () => {
      const current = book.entry(step.engine)
      if (current.pending === undefined) await handlers[step.kind](step, { ...engine, entry: current })
    })
    sending.delete(step.engine)
  }

  const planOf = ({ server, spec, entry }: Engine): EnginePlan => {
    const process = processOf(server)
    const models = entry.models.map(held => held.name)
    const coming = [entry.pending?.operation === 'load' ? entry.pending.model : undefined, promised.get(process)?.model]
      .filter((model): model is string => model !== undefined && !models.includes(model))
    const isFree = entry.orders !== undefined && entry.pending === undefined && !sending.has(process) && !promised.has(process)
    return {
      id: process,
      models: [...models, ...new Set(coming)],
      freeMb: freeWeightsMb(entry, spec),
      busyMs: isFree ? 0 : Math.max(1, (entry.pending?.expectedMs ?? 0) - (clock.monotonic() - (entry.pending?.sentMs ?? 0))),
      isSound: true,
      copies: entry.copies,
      inFlight: new Map(models.map(model => [model, table.inFlight(process, model)])),
      slots: server.slots
    }
  }
  const needOf = (model: string, plans: readonly EnginePlan[]): ModelNeed => {
    const now = clock.monotonic()
    const demand = table.demand(model)
    const want = wants.get(model)
    const inFlight = plans.reduce((sum, plan) => sum + (plan.inFlight.get(model) ?? 0), 0)
    const waiting = Math.max(demand.waiting, want === undefined ? 0 : 1)
    if (inFlight + waiting > 0) lastActiveMs.set(model, now)
    return {
      model,
      rate: demand.rate,
      waiting,
      waitedMs: want === undefined ? 0 : now - want.sinceMs,
      inFlight,
      idleMs: now - (lastActiveMs.get(model) ?? -Infinity)
    }
  }
  /** Engines that were emptied for a model and are free again get it. */
  const keepPromises = (): PlanStep[] => all().flatMap(engine => {
    const process = processOf(engine.server)
    const promise = promised.get(process)
    const { entry, spec } = engine
    if (promise === undefined) return []
    const isOver = entry.models.some(held => held.name === promise.model) || clock.monotonic() - promise.sinceMs > MAX_PROMISE_MS
    if (isOver) {
      promised.delete(process)
      return []
    }
    if (entry.orders === undefined || entry.pending !== undefined || sending.has(process)) return []
    const weightsMb = specOf(promise.model)?.weightsMb ?? Infinity
    const tier = tierOf({ copies: entry.copies }, promise.model)
    if (freeWeightsMb(entry, spec) < weightsMb || (tier === 'store' && storeLoads.left(clock.monotonic()) === 0)) {
      promised.delete(process)
      return []
    }
    return [{ kind: 'load', engine: process, model: promise.model, tier, reason: 'waiting' } satisfies PlanStep]
  })
  const tick = (): void => {
    const fence = leadership.fence()
    if (fence === undefined) {
      ledFence = undefined
      return
    }
    if (ledFence !== fence) {
      // Another instance ordered before: everything is asked anew.
      ledFence = fence
      book.clear()
      promised.clear()
      storeLoads.assumeEarlier(clock.monotonic())
      logger.info('orderer-begins', { fence, engines: all().length })
    }
    const now = clock.monotonic()
    wants.forEach((want, model) => { if (now - want.lastMs > WANT_KEPT_MS) wants.delete(model) })
    const known = all()
    book.keep(known.map(({ server }) => processOf(server)))
    known.filter(isDue).forEach(engine => { askReport(engine) })
    keepPromises().forEach(step => { carryOut(step) })
    const plans = all().map(planOf)
    const names = new Set([...table.models(), ...wants.keys(), ...plans.flatMap(plan => plan.models)])
    const needs = [...names].filter(model => !model.includes('/')).map(model => needOf(model, plans))
    const specs = new Map(engineSpecs().flatMap(spec => [...spec.models]))
    planSteps({ engines: plans, needs, specs, storeLoads: storeLoads.left(now) }).forEach(step => {
      logger.info('placement-step', { step: step.kind, engine: step.engine, model: step.model, why: step.kind === 'load' ? `${step.reason} from ${step.tier}` : `for ${step.inFavourOf}`, waiting: wants.size })
      carryOut(step)
    })
  }
  const isComing = (model: string): number | undefined => {
    const now = clock.monotonic()
    const times = all().flatMap(({ server, entry }) => {
      const process = processOf(server)
      const { pending } = entry
      const loadMs = specOf(model)?.loadMs[tierOf({ copies: entry.copies }, model)] ?? SWAP_MS
      if (pending?.operation === 'load' && pending.model === model) return [Math.max(100, pending.expectedMs - (now - pending.sentMs))]
      if (promised.get(process)?.model !== model) return []
      const unloadMs = pending === undefined ? 0 : Math.max(100, pending.expectedMs - (now - pending.sentMs))
      return [unloadMs + loadMs]
    })
    return times.length === 0 ? undefined : Math.min(...times)
  }
  const queuedMs = (): number => {
    const known = all()
    const queued = [...wants.keys()].filter(model => isComing(model) === undefined).length
    return SWAP_MS * (1 + queued / Math.max(1, known.length))
  }
  const wantModel = (req: WantRequest): WantReply => {
    const now = clock.monotonic()
    const before = wants.get(req.model)
    wants.set(req.model, { sinceMs: Math.min(before?.sinceMs ?? Infinity, now - req.waitedMs), lastMs: now })
    if (before === undefined) tick()
    return { kind: 'coming', inMs: Math.round(isComing(req.model) ?? queuedMs()) }
  }
  const wantAdapter = async (model: string, adapter: string): Promise<WantReply> => {
    const holders = all().filter(({ entry }) => entry.orders !== undefined && entry.models.some(held => held.name === model))
    const place = chooseAdapterPlace(holders.map(({ server, spec, entry }) => ({
      id: processOf(server),
      load: table.inFlight(processOf(server), model),
      places: spec.adapterCapacity,
      adapters: entry.models.flatMap(held => held.adapters.map(name => ({
        model: held.name,
        adapter: name,
        rate: table.demand(`${held.name}/${name}`).rate,
        isInUse: table.inFlight(processOf(server), `${held.name}/${name}`) > 0
      })))
    })), model, adapter)
    const chosen = holders.find(({ server }) => processOf(server) === place?.id)
    if (place === undefined || chosen === undefined) return { kind: 'unavailable' }
    const process = processOf(chosen.server)
    return await serially(process, async () => {
      const hasIt = (): boolean => book.entry(process).models.some(held => held.name === model && held.adapters.includes(adapter))
      if (hasIt()) return { kind: 'ready', server: chosen.server.id }
      if (place.evict !== undefined) {
        const outcome = await send({ ...chosen, entry: book.entry(process) }, { operation: 'unload', ...place.evict })
        if (outcome !== 'accepted' && outcome !== 'holds-already') {
          book.doubt(process)
          return { kind: 'coming', inMs: REPORT_PERIOD_MS }
        }
        book.noteAdapterUnloaded(process, place.evict.model, place.evict.adapter)
      }
      const outcome = await send({ ...chosen, entry: book.entry(process) }, { operation: 'load', model, adapter })
      if (outcome !== 'accepted' && outcome !== 'holds-already') {
        book.doubt(process)
        return { kind: 'coming', inMs: REPORT_PERIOD_MS }
      }
      book.noteAdapterLoaded(process, model, adapter)
      await sleep(clock, ADAPTER_READY_MS)
      tell({ ...chosen, entry: book.entry(process) })
      return { kind: 'ready', server: chosen.server.id }
    })
  }
  const want = async (req: WantRequest): Promise<WantReply> => {
    if (leadership.fence() === undefined) return { kind: 'unavailable' }
    const isHeld = all().some(({ entry }) => entry.models.some(held => held.name === req.model))
    if (req.adapter === undefined || !isHeld) return wantModel(req)
    return await wantAdapter(req.model, req.adapter)
  }
  peers.serve(wantCall, want)

  return {
    want,
    start: signal => {
      const loop = async (): Promise<void> => {
        while (!signal.aborted) {
          tick()
          await sleep(clock, TICK_MS, signal)
        }
      }
      loop()
    }
  }
}
