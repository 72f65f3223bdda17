/**
 * The instance that gives orders to engines: hears what is wanted, plans what is loaded where, and has it ordered.
 */
import type { Clock } from '../../clock'
import { sleep, delayToNextPeriod } from '../../clock'
import type { Logger } from '../../logger'
import type { Peers } from '../../members'
import { createDecayingAverage } from '../decayingAverage'
import type { DecayingAverage } from '../decayingAverage'
import type { ServingConfigProvider } from '../servingConfigProvider'
import type { EngineCalls } from '../engineCalls'
import type { FleetView } from '../fleetView'
import type { ServerList } from '../serverList'
import type { EngineSpec, ModelSpec } from '../types'
import { chooseAdapterPlace, spareAdapters } from './adapterPlacement'
import type { AdapterHolder } from './adapterPlacement'
import { freeWeightsMb } from './engineStates'
import { createEngineOrders } from './engineOrders'
import type { Engine } from './engineOrders'
import type { LeaderElection } from './leaderElection'
import { placementCall } from './messages'
import type { PlacementReply, PlacementRequest } from './messages'
import { planSteps, tierOf } from './plan'
import type { EnginePlan, ModelNeed, PlanStep, WeightTier } from './plan'
import { createWeightLoadLimiter } from './weightLoadLimiter'

/** How often the plan is made anew, milliseconds; a waiting request and the end of an order make it at once. */
const TICK_MS = 100
/** How often free places are filled with adapters that nobody has asked for, milliseconds. */
const SPARE_PERIOD_MS = 500
/** Two plans are at least so far apart, milliseconds. */
const MIN_STEP_MS = 25
/** How often one who does not lead looks whether it does, milliseconds: each look wakes the process. */
const REST_MS = 250
/** A want that is not repeated counts no more. */
const WANT_KEPT_MS = 1200
/** An engine that was emptied for a model and has not got it by then is free for others. */
const MAX_PROMISE_MS = 15_000
/** A swap of models on one engine, milliseconds: unload and load from disk. */
const SWAP_MS = 2000
/** An engine that says nothing to so many instances holds nothing that anybody can use. */
const UNSOUND_TELLERS = 2
/** A load from the weight store is worth it for a crowd that stays, not for one that has gone before it ends, milliseconds. */
const STEADY_MS = 2000
/** When an adapter that could not be ordered now is worth asking for again, milliseconds. */
const ADAPTER_RETRY_MS = 250

export interface PlacementControllerOptions {
  self: string
  leadership: LeaderElection
  servers: ServerList
  cfg: ServingConfigProvider
  table: FleetView
  engines: EngineCalls
  /** Since when the store has answered every call, monotonic milliseconds. */
  storeReachableSinceMs: () => number
  peers: Peers
  clock: Clock
  logger: Logger
  /** Loads from the weight store are counted in this window, milliseconds. */
  loadWindowMs: number
}

interface Want {
  sinceMs: number
  /** Monotonic milliseconds until which it counts. */
  untilMs: number
}

/** What an engine is being emptied for, or loads. */
interface Promised {
  model: string
  /** Still to be unloaded for it. */
  victims: readonly string[]
  sinceMs: number
}

export interface PlacementController {
  /** Whether the end of an order is awaited. */
  hasPendingOrders (): boolean
  start (signal: AbortSignal): void
  want (req: PlacementRequest): Promise<PlacementReply>
}

export function createPlacementController (options: PlacementControllerOptions): PlacementController {
  const { leadership, cfg, table, peers, clock, logger } = options
  const wants = new Map<string, Want>()
  const lastActiveMs = new Map<string, number>()
  /** Of requests under way for each model. */
  const averages = new Map<string, DecayingAverage>()
  const promised = new Map<string, Promised>()
  const engineSpecs = (): EngineSpec[] => [...cfg.current()?.services.values() ?? []].flatMap(service => service.engine ?? [])
  let known: { version: number, specs: ReadonlyMap<string, ModelSpec> } | undefined
  const specs = (): ReadonlyMap<string, ModelSpec> => {
    if (known?.version !== cfg.version()) known = { version: cfg.version(), specs: new Map(engineSpecs().flatMap(spec => [...spec.models])) }
    return known!.specs
  }
  const storeLoads = createWeightLoadLimiter({
    windowMs: options.loadWindowMs,
    loadsPerSecond: () => Math.min(...engineSpecs().map(spec => spec.storeLoadsPerSecond))
  })
  const orders = createEngineOrders({
    ...options,
    onDone: (process, tookMs) => {
      storeLoads.noteEnded(process, tookMs, storeLoadMs())
      tickSoon()
    },
    onStoreLoad: process => storeLoads.noteBegun(process, clock.monotonic())
  })
  const { book } = orders
  /** What a load from the weight store takes alone, milliseconds; models differ little. */
  const storeLoadMs = (): number => Math.max(1, ...[...specs().values()].slice(0, 1).map(spec => spec.loadMs.store))
  /** What a load takes that begins now, or behind so many others from the weight store, milliseconds. */
  const loadMsOf = (model: string, tier: WeightTier, ahead = 0): number =>
    (orders.specOf(model)?.loadMs[tier] ?? SWAP_MS) * (tier === 'store' ? storeLoads.slowness(ahead) : 1)
  let ledFence: number | undefined
  let isTicking = false
  let isDue = false
  let steppedMs = -Infinity
  let sparedMs = -Infinity

  const load = (engine: Engine, model: string): void => {
    const tier = tierOf(engine.entry, model)
    orders.load(engine.process, model, tier, loadMsOf(model, tier))
  }
  const handlers: Record<PlanStep['kind'], (step: PlanStep, engine: Engine) => void> = {
    load: (step, engine) => {
      promised.set(engine.process, { model: step.model, victims: [], sinceMs: clock.monotonic() })
      load(engine, step.model)
    },
    unload: (step, engine) => {
      if (step.kind === 'unload') promised.set(engine.process, { model: step.inFavourOf, victims: step.alsoUnload, sinceMs: clock.monotonic() })
      orders.unload(engine.process, step.model)
    }
  }
  const carryOut = (step: PlanStep): void => {
    logger.info('placement-step', { step: step.kind, engine: step.engine, model: step.model, why: step.kind === 'load' ? `${step.reason} from ${step.tier}` : `for ${step.inFavourOf}`, waiting: wants.size })
    const engine = orders.all().find(({ process }) => process === step.engine)
    if (engine !== undefined) handlers[step.kind](step, engine)
  }

  const isFree = ({ process, entry }: Engine): boolean =>
    entry.orders !== undefined && entry.pending === undefined && !orders.isSending(process) && !promised.has(process)
  /** Until the engine has done what it was ordered and promised, milliseconds. */
  const busyMs = ({ process, entry }: Engine): number => {
    const now = clock.monotonic()
    const pendingMs = entry.pending === undefined ? 0 : Math.max(100, entry.pending.expectedMs - (now - entry.pending.sentMs))
    const promise = promised.get(process)
    const isLoadAhead = promise !== undefined && entry.pending?.operation !== 'load'
    const loadMs = isLoadAhead ? loadMsOf(promise.model, tierOf(entry, promise.model)) : 0
    return pendingMs + loadMs
  }
  /** What an engine holds or gets, less what it is being emptied of. */
  const modelsOf = ({ process, entry }: Engine): readonly string[] => {
    const promise = promised.get(process)
    const held = entry.models.map(model => model.name).filter(model => promise === undefined || !promise.victims.includes(model))
    const coming = [entry.pending?.operation === 'load' ? entry.pending.model : undefined, promise?.model]
      .filter((model): model is string => model !== undefined && !held.includes(model))
    return [...held, ...new Set(coming)]
  }
  const planOf = (engine: Engine): EnginePlan => {
    const { process, entry, spec, server } = engine
    const models = modelsOf(engine)
    return {
      id: process,
      models,
      freeMb: freeWeightsMb(entry, spec),
      busyMs: isFree(engine) ? 0 : Math.max(1, busyMs(engine)),
      isFetching: storeLoads.isLoading(process),
      // One instance may have lost its own path to the engine; two have not.
      isSound: (entry.orders !== undefined || entry.models.length > 0) && table.silenceReportCount(process) < UNSOUND_TELLERS,
      copies: entry.copies,
      inFlight: new Map(models.map(model => [model, table.inFlight(process, model)])),
      slots: server.slots
    }
  }
  const steadyInFlight = (model: string, inFlight: number): number => {
    const average = averages.get(model) ?? createDecayingAverage(STEADY_MS)
    averages.set(model, average)
    return average.update(inFlight, clock.monotonic())
  }
  const needOf = (model: string): ModelNeed => {
    const now = clock.monotonic()
    const demand = table.demand(model)
    const want = wants.get(model)
    const inFlight = table.inFlightOfModel(model)
    const waiting = Math.max(demand.waiting, want === undefined ? 0 : 1)
    if (inFlight + waiting > 0) lastActiveMs.set(model, now)
    return {
      model,
      rate: demand.rate,
      waiting,
      waitedMs: want === undefined ? 0 : now - want.sinceMs,
      inFlight,
      steadyInFlight: steadyInFlight(model, inFlight),
      idleMs: now - (lastActiveMs.get(model) ?? -Infinity)
    }
  }
  /** Engines that were emptied for a model get it as soon as they take the order. */
  const keepPromise = (engine: Engine): void => {
    const { process, entry, spec } = engine
    const promise = promised.get(process)
    if (promise === undefined) return
    const now = clock.monotonic()
    if (entry.models.some(held => held.name === promise.model) || now - promise.sinceMs > MAX_PROMISE_MS) {
      promised.delete(process)
      return
    }
    if (!orders.mayTry(engine)) return
    const [victim, ...victims] = promise.victims
    if (victim !== undefined) {
      if (entry.pending !== undefined) return
      promised.set(process, { ...promise, victims })
      orders.unload(process, victim)
      return
    }
    const weightsMb = orders.specOf(promise.model)?.weightsMb ?? Infinity
    // What an unload under way frees counts here: the engine turns the load back until it is free.
    const freedMb = entry.pending?.operation === 'unload' ? orders.specOf(entry.pending.model)?.weightsMb ?? 0 : 0
    const isShort = freeWeightsMb(entry, spec) + freedMb < weightsMb
    if (isShort || (tierOf(entry, promise.model) === 'store' && storeLoads.left(now) === 0)) {
      if (entry.pending === undefined) promised.delete(process)
      return
    }
    load(engine, promise.model)
  }
  const begin = (fence: number): void => {
    // Another instance ordered before: everything is asked anew.
    ledFence = fence
    book.clear()
    promised.clear()
    storeLoads.assumeEarlier(clock.monotonic())
    logger.info('orderer-begins', { fence, engines: orders.all().length })
  }
  const step = (): void => {
    const fence = leadership.fencingToken()
    // A pause of the same term changes nothing of what is known: nobody else has ordered meanwhile. One that may order
    // at once may not know yet what there is.
    if (fence === undefined || cfg.current() === undefined || !options.servers.isKnown()) return
    if (ledFence !== fence) begin(fence)
    const now = clock.monotonic()
    wants.forEach((want, model) => { if (now > want.untilMs) wants.delete(model) })
    orders.askReports()
    orders.all().forEach(keepPromise)
    const plans = orders.all().map(planOf)
    const names = new Set([...table.modelsInDemand(), ...wants.keys(), ...plans.flatMap(plan => plan.models)])
    const needs = [...names].filter(model => !model.includes('/')).map(needOf)
    planSteps({ engines: plans, needs, specs: specs(), storeLoads: storeLoads.left(now) }).forEach(carryOut)
    if (now - sparedMs < SPARE_PERIOD_MS) return
    sparedMs = now
    loadSpareAdapters()
  }
  /** Orders that end and models that are asked for come in hundreds a second: a plan serves all of a moment. */
  const tickSoon = (): void => {
    if (isDue) return
    isDue = true
    clock.schedule(Math.max(0, steppedMs + MIN_STEP_MS - clock.monotonic()), () => {
      isDue = false
      tick()
    })
  }
  const tick = (): void => {
    if (isTicking) return
    steppedMs = clock.monotonic()
    isTicking = true
    try {
      step()
    } finally {
      isTicking = false
    }
  }

  const holds = (entry: Engine['entry'], name: string): boolean =>
    entry.models.some(held => held.adapters.some(adapter => `${held.name}/${adapter}` === name))
  const adapterHolder = ({ process, spec, entry }: Engine): AdapterHolder => ({
    id: process,
    load: entry.models.reduce((sum, held) => sum + table.inFlight(process, held.name), 0),
    places: spec.adapterCapacity,
    models: entry.models.map(held => held.name),
    adapters: [
      ...entry.models.flatMap(held => held.adapters.map(adapter => ({
        model: held.name,
        adapter,
        rate: table.demand(`${held.name}/${adapter}`).rate,
        isInUse: table.inFlight(process, `${held.name}/${adapter}`) > 0
      }))),
      ...entry.adaptersOnTheWay.filter(name => !holds(entry, name)).map(name => ({ model: name.split('/')[0]!, adapter: name.split('/')[1] ?? '', rate: Infinity, isInUse: true }))
    ]
  })
  /** Fills free places with adapters that nobody has yet, so that their first request finds them. */
  const loadSpareAdapters = (): void => {
    const free = orders.all().filter(isFree)
    const namesOf = (model: string): readonly string[] => orders.specOf(model)?.adapters ?? []
    spareAdapters(orders.all().map(adapterHolder), free.map(engine => engine.process), namesOf)
      .forEach(({ id, model, adapter }) => { orders.loadAdapter(id, model, adapter) })
  }
  const wantAdapter = async (model: string, adapter: string): Promise<PlacementReply> => {
    const holders = orders.all().filter(engine => engine.entry.models.some(held => held.name === model))
    const open = holders.filter(engine => engine.entry.orders !== undefined && engine.entry.pending === undefined)
    const place = chooseAdapterPlace(open.map(adapterHolder), model, adapter)
    const soonest = Math.min(...holders.map(busyMs))
    if (place === undefined) return { kind: 'coming', inMs: Math.max(ADAPTER_RETRY_MS, Number.isFinite(soonest) ? soonest : SWAP_MS) }
    if (place.evict !== undefined && !await orders.unloadAdapter(place.id, place.evict.model, place.evict.adapter)) return { kind: 'coming', inMs: ADAPTER_RETRY_MS }
    if (!await orders.loadAdapter(place.id, model, adapter)) return { kind: 'coming', inMs: ADAPTER_RETRY_MS }
    const engine = orders.all().find(({ process }) => process === place.id)
    return engine === undefined ? { kind: 'unavailable' } : { kind: 'ready', server: engine.server.id }
  }
  const comingMs = (model: string): number | undefined => {
    const times = orders.all().filter(engine => modelsOf(engine).includes(model)).map(busyMs)
    return times.length === 0 ? undefined : Math.min(...times)
  }
  /** Until a model that nothing is ordered for yet could be there, milliseconds. */
  const queuedMs = (model: string): number => {
    const engines = orders.all()
    const placed = new Set(engines.flatMap(modelsOf))
    const tierFor = (name: string): WeightTier => engines.some(({ entry }) => tierOf(entry, name) !== 'store') ? 'disk' : 'store'
    const queued = [...wants.keys()].filter(name => name !== model && !placed.has(name))
    if (tierFor(model) === 'store') return loadMsOf(model, 'store', queued.filter(name => tierFor(name) === 'store').length)
    return SWAP_MS * (1 + queued.length / Math.max(1, engines.length))
  }
  const wantModel = (req: PlacementRequest, expectedMs = comingMs(req.model) ?? queuedMs(req.model)): PlacementReply => {
    const now = clock.monotonic()
    const before = wants.get(req.model)
    const inMs = Math.round(expectedMs)
    // Whoever is told to come back later must find it then.
    const keptMs = WANT_KEPT_MS + (inMs > req.patienceMs ? inMs : 0)
    wants.set(req.model, { sinceMs: Math.min(before?.sinceMs ?? Infinity, now - req.waitedMs), untilMs: Math.max(before?.untilMs ?? 0, now + keptMs) })
    if (before === undefined) tickSoon()
    return { kind: 'coming', inMs }
  }
  const want = async (req: PlacementRequest): Promise<PlacementReply> => {
    const startsInMs = leadership.firstOrderInMs()
    if (startsInMs === undefined) return { kind: 'unavailable' }
    // Nothing is known of the engines yet: a swap is what most models take, once orders are given again.
    if (startsInMs > 0) return wantModel(req, startsInMs + SWAP_MS)
    const isHeld = orders.all().some(({ entry, process }) => table.silenceReportCount(process) < UNSOUND_TELLERS && entry.models.some(held => held.name === req.model))
    if (req.adapter === undefined || !isHeld) return wantModel(req)
    return await wantAdapter(req.model, req.adapter)
  }
  peers.serve(placementCall, want)

  return {
    want,
    hasPendingOrders: orders.isWaiting,
    start: signal => {
      const loop = async (): Promise<void> => {
        while (!signal.aborted) {
          tick()
          await sleep(clock, leadership.isLeaseHolder() ? TICK_MS : delayToNextPeriod(clock, REST_MS), signal)
        }
      }
      loop()
    }
  }
}
