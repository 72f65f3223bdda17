/**
 * Runs on the leader: takes placement requests, plans which models are loaded on which engines, and sends the orders.
 */
import { inBackground, runStep } from '../../background'
import type { Clock } from '../../clock'
import { sleep, delayToNextPeriod } from '../../clock'
import type { Logger } from '../../logger'
import type { Peers } from '../../members'
import { addCount } from '../../utils'
import { createDecayingAverage } from '../decayingAverage'
import type { DecayingAverage } from '../decayingAverage'
import type { ServingConfigProvider } from '../servingConfigProvider'
import type { EngineCalls } from '../engineCalls'
import type { FleetView } from '../fleetView'
import type { ServerList } from '../serverList'
import type { EngineSpec, ModelSpec } from '../types'
import { createAdapterOrders } from './adapterOrders'
import { freeWeightsMb } from './engineTracker'
import { createEngineOrders } from './engineOrders'
import { createEngineReservations } from './engineReservations'
import { assessLimitedEngine } from './limitedEngines'
import type { LimitedEngineUse } from './limitedEngines'
import type { Engine } from './engineOrders'
import type { LeaderElection } from './leaderElection'
import { placementCall } from './messages'
import type { PlacementReply, PlacementRequest } from './messages'
import { MODEL_SWAP_MS, planSteps, tierOf } from './plan'
import type { EngineSnapshot, ModelNeed, PlanStep, WeightTier } from './plan'
import { isScheduleFeasible } from './schedule/feasibility'
import { createLoadScheduler } from './schedule/loadScheduler'
import type { SchedulableEngine } from './schedule/loadScheduler'
import type { ReservationObserver } from './schedule/waitingRequests'
import { createWeightLoadLimiter } from './weightLoadLimiter'

/** Interval between plans, milliseconds; a new placement request or the end of an order triggers a plan earlier. */
const PLAN_INTERVAL_MS = 100
/** Interval at which free adapter capacity is filled with adapters that were not requested, milliseconds. */
const ADAPTER_PRELOAD_INTERVAL_MS = 500
/** Shortest time between two plans, milliseconds. */
const MIN_PLAN_INTERVAL_MS = 25
/** A plan with a schedule takes at most one part in this many of the time, whatever the number of engines and models. */
const PLAN_COST_FACTOR = 4
/**
 * Interval at which an instance that is not the leader checks whether it is, milliseconds; each check wakes the
 * process.
 */
const LEASE_CHECK_INTERVAL_MS = 250
/** Time after which a placement request that is not repeated is dropped, milliseconds. */
const REQUEST_TTL_MS = 1200
/** Number of instances that must report an engine as silent before its models count as unavailable. */
const MIN_SILENCE_REPORTS = 2
/**
 * Averaging time of requests in flight, milliseconds: a load from the weight store pays off only for demand that
 * outlasts it.
 */
const IN_FLIGHT_AVERAGE_MS = 2000
/** Stated to requests whose engines take none while there is no other engine, milliseconds: longer than any of them waits. */
const NO_OTHER_ENGINE_MS = 60_000

const NO_PROCESSES: ReadonlySet<string> = new Set()
const NO_ENGINES: readonly string[] = []
const NO_LIMITED_ENGINES: ReadonlyMap<string, LimitedEngineUse> = new Map()

export interface PlacementControllerOptions {
  self: string
  leadership: LeaderElection
  servers: ServerList
  cfg: ServingConfigProvider
  table: FleetView
  engines: EngineCalls
  /** Requests a second that an engine's process takes, if it states a limit. */
  limitOf: (process: string) => number | undefined
  /** Remaining time for which an engine's process wants nothing from this instance, milliseconds. */
  backoffMs: (process: string) => number
  /** Time since which the store has answered every call, monotonic milliseconds. */
  storeReachableSinceMs: () => number
  peers: Peers
  clock: Clock
  logger: Logger
  /** Window in which loads from the weight store are counted, milliseconds. */
  loadWindowMs: number
  /**
   * Decides for each service of engines whether their time is scheduled.
   *
   * @default isScheduleFeasible
   */
  isFeasible?: (spec: EngineSpec, engineCount: number) => boolean
  /** @default counts nothing */
  reservations?: ReservationObserver
}

interface OpenRequest {
  /** Software versions of which streams that wait for the model need an engine, with their expiry, monotonic milliseconds. */
  softwareVersions: ReadonlyMap<string, number>
  /** Processes of engines that have the model and take no requests for it now. */
  unavailable: ReadonlySet<string>
  sinceMs: number
  /** Expiry time, monotonic milliseconds. */
  untilMs: number
}

export interface PlacementController {
  /** Whether this instance may order and any order is queued, in flight or pending. */
  hasPendingOrders (): boolean
  start (signal: AbortSignal): void
  /** `sender`: id of the instance that sent the request, `self` by default. */
  requestModel (req: PlacementRequest, sender?: string): Promise<PlacementReply>
}

export function createPlacementController (options: PlacementControllerOptions): PlacementController {
  const { leadership, cfg, table: fleetView, peers, clock, logger, isFeasible = isScheduleFeasible } = options
  const openRequests = new Map<string, OpenRequest>()
  const lastActiveMs = new Map<string, number>()
  /** Average requests in flight for each model. */
  const inFlightAverages = new Map<string, DecayingAverage>()
  const engineSpecs = (): EngineSpec[] => [...cfg.current()?.services.values() ?? []].flatMap(service => service.engine ?? [])
  let specCache: { version: number, specs: ReadonlyMap<string, ModelSpec> } | undefined
  const specs = (): ReadonlyMap<string, ModelSpec> => {
    if (specCache?.version !== cfg.version()) specCache = { version: cfg.version(), specs: new Map(engineSpecs().flatMap(spec => [...spec.models])) }
    return specCache!.specs
  }
  const storeLoads = createWeightLoadLimiter({
    windowMs: options.loadWindowMs,
    loadsPerSecond: () => lowestStoreLoads(engineSpecs())
  })
  const scheduler = createLoadScheduler({ clock, logger, reservations: options.reservations })
  const isScheduleFeasibleForAll = (): boolean => {
    const services = [...cfg.current()?.services.values() ?? []].filter(service => service.engine !== undefined)
    return services.length > 0 && services.every(({ name, engine }) => isFeasible(engine!, options.servers.usable(name).length))
  }
  let feasibility = { isFeasible: false, untilMs: -Infinity }
  /**
   * Whether engine time is scheduled: where it is feasible for all services of engines. Asked for each engine in each
   * plan, so the result is kept for one interval of plans.
   */
  const usesSchedule = (): boolean => {
    const now = clock.monotonic()
    if (now >= feasibility.untilMs) feasibility = { isFeasible: isScheduleFeasibleForAll(), untilMs: now + PLAN_INTERVAL_MS }
    return feasibility.isFeasible
  }
  const orders = createEngineOrders({
    ...options,
    mayTryEarly: () => !usesSchedule(),
    onOrderDone: (process, tookMs) => {
      storeLoads.recordEnd(process, tookMs, storeLoadMs())
      schedulePlan()
    },
    onStoreLoad: process => storeLoads.recordStart(process, clock.monotonic())
  })
  const { tracker } = orders
  /** Duration of a load from the weight store without contention, milliseconds; models differ little. */
  const storeLoadMs = (): number => Math.max(1, ...[...specs().values()].slice(0, 1).map(spec => spec.loadMs.store))
  /** Expected duration of a load that begins now, or behind `loadsAhead` others from the weight store, milliseconds. */
  const expectedLoadMs = (model: string, tier: WeightTier, loadsAhead = 0): number =>
    (orders.specOf(model)?.loadMs[tier] ?? MODEL_SWAP_MS) * (tier === 'store' ? storeLoads.slowdownFactor(loadsAhead) : 1)
  let lastFence: number | undefined
  let isPlanning = false
  let isPlanScheduled = false
  let lastPlanMs = -Infinity
  let lastPlanTookMs = 0
  let lastPreloadMs = -Infinity

  const load = (engine: Engine, model: string): void => {
    const tier = tierOf(engine.tracked, model)
    inBackground('load', orders.load(engine.process, model, tier, expectedLoadMs(model, tier)))
  }
  const unload = ({ process }: Engine, model: string): void => {
    inBackground('unload', orders.unload(process, model, usesSchedule() ? scheduler.expectedUnloadMs(fleetView.inFlight(process, model)) : undefined))
  }
  const reservations = createEngineReservations({ orders, storeLoads, load, unload, clock, logger })
  const stepHandlers: Record<PlanStep['kind'], (step: PlanStep, engine: Engine) => void> = {
    load: (step, engine) => {
      reservations.reserve(engine.process, step.model, [])
      load(engine, step.model)
    },
    unload: (step, engine) => {
      if (step.kind === 'unload') reservations.reserve(engine.process, step.inFavourOf, step.alsoUnload)
      unload(engine, step.model)
    }
  }
  const executeStep = (step: PlanStep): void => {
    logger.info('placement-step', { step: step.kind, engine: step.engine, model: step.model, why: step.kind === 'load' ? `${step.reason} from ${step.tier}` : `for ${step.inFavourOf}`, waiting: openRequests.size, ...(usesSchedule() ? scheduler.logFieldsOf(step.kind === 'load' ? step.model : step.inFavourOf) : {}) })
    const engine = orders.listEngines().find(({ process }) => process === step.engine)
    if (engine !== undefined) stepHandlers[step.kind](step, engine)
  }

  const isIdle = ({ process, tracked }: Engine): boolean =>
    tracked.acceptedOrders !== undefined && options.backoffMs(process) === 0 && tracked.pending === undefined && !orders.hasOrderInFlight(process) && reservations.of(process) === undefined
  /** Time until the engine has finished its pending order and its reservation, milliseconds. */
  const remainingMs = ({ process, tracked }: Engine): number => {
    const now = clock.monotonic()
    const pendingMs = tracked.pending === undefined ? 0 : Math.max(100, tracked.pending.expectedMs - (now - tracked.pending.sentMs))
    const reservation = reservations.of(process)
    const isLoadAhead = reservation !== undefined && tracked.pending?.operation !== 'load'
    const loadMs = isLoadAhead ? expectedLoadMs(reservation.model, tierOf(tracked, reservation.model)) : 0
    return options.backoffMs(process) + pendingMs + loadMs
  }
  const adapterOrders = createAdapterOrders({ orders, fleetView, isIdle, remainingMs, backoffMs: options.backoffMs })
  /** Models that an engine has or will load, without those that it is to unload. */
  const plannedModels = ({ process, tracked }: Engine): readonly string[] => {
    const reservation = reservations.of(process)
    const loaded = tracked.models.map(model => model.name).filter(model => reservation === undefined || !reservation.modelsToUnload.includes(model))
    const coming = [tracked.pending?.operation === 'load' ? tracked.pending.model : undefined, reservation?.model]
      .filter((model): model is string => model !== undefined && !loaded.includes(model))
    return [...loaded, ...new Set(coming)]
  }
  const rateAt = (replicas: ReadonlyMap<string, number>) => (model: string): number => fleetView.demand(model).rate / Math.max(1, replicas.get(model) ?? 1)
  /** Returns the use of each engine that states a limit, by process. */
  const assessLimitedEngines = (engines: readonly Engine[]): ReadonlyMap<string, LimitedEngineUse> => {
    const limited = engines.filter(({ process }) => options.limitOf(process) !== undefined)
    if (limited.length === 0) return NO_LIMITED_ENGINES
    const replicas = new Map<string, number>()
    engines.flatMap(plannedModels).forEach(model => addCount(replicas, model, 1))
    return new Map(limited.map(engine => [engine.process, assessLimitedEngine({ requestsPerSecond: options.limitOf(engine.process)!, models: plannedModels(engine) }, rateAt(replicas))]))
  }
  const snapshotOf = (engine: Engine, use: LimitedEngineUse | undefined): EngineSnapshot => {
    const { process, tracked, spec, server } = engine
    const models = plannedModels(engine)
    return {
      id: process,
      models,
      freeMb: freeWeightsMb(tracked, spec),
      busyMs: isIdle(engine) ? 0 : Math.max(1, remainingMs(engine)),
      isLoadingFromStore: storeLoads.isLoading(process),
      // A single instance may have lost its own path to the engine, so reports from two are needed.
      isResponding: (tracked.acceptedOrders !== undefined || tracked.models.length > 0) && fleetView.silenceReportCount(process) < MIN_SILENCE_REPORTS,
      copies: tracked.copies,
      spareRequestsPerSecond: use?.spareRequestsPerSecond ?? Infinity,
      inFlight: new Map(models.map(model => [model, fleetView.inFlight(process, model)])),
      slots: server.slots
    }
  }
  const averageInFlightOf = (model: string, inFlight: number): number => {
    const average = inFlightAverages.get(model) ?? createDecayingAverage(IN_FLIGHT_AVERAGE_MS)
    inFlightAverages.set(model, average)
    return average.update(inFlight, clock.monotonic())
  }
  const hasVersion = ({ server }: Engine, softwareVersion: string | undefined): boolean => softwareVersion === undefined || server.softwareVersion === softwareVersion
  /**
   * Engines of other software versions than the first one of which streams wait for the model and no engine has it. The next
   * version follows once that one is served: engines of all versions at once would leave none to place the model on.
   */
  const otherVersionsOf = (model: string): readonly string[] => {
    const wanted = openRequests.get(model)?.softwareVersions
    if (wanted === undefined || wanted.size === 0) return NO_ENGINES
    const engines = orders.listEngines()
    const unserved = [...wanted.keys()].find(version => !engines.some(engine => hasVersion(engine, version) && plannedModels(engine).includes(model)))
    return unserved === undefined ? NO_ENGINES : engines.filter(engine => !hasVersion(engine, unserved)).map(({ process }) => process)
  }
  /** Engines whose replica of the model does not count: it states a limit that the model exceeds, takes none from an instance that has requests for it, or has another software version than the streams that wait. */
  const unusableEnginesOf = (model: string, limitedEngines: ReadonlyMap<string, LimitedEngineUse>): ReadonlySet<string> => {
    const otherVersions = otherVersionsOf(model)
    const declared = openRequests.get(model)?.unavailable ?? NO_PROCESSES
    const unavailable = otherVersions.length === 0 ? declared : new Set([...declared, ...otherVersions])
    // The plan needs this for hundreds of models, some dozen times a second.
    if (limitedEngines.size === 0) return unavailable
    const beyondLimit = [...limitedEngines].filter(([, use]) => use.modelsBeyondLimit.includes(model)).map(([process]) => process)
    return new Set([...beyondLimit, ...unavailable])
  }
  const needOf = (model: string, limitedEngines: ReadonlyMap<string, LimitedEngineUse>): ModelNeed => {
    const now = clock.monotonic()
    const demand = fleetView.demand(model)
    const openRequest = openRequests.get(model)
    const inFlight = fleetView.inFlightOfModel(model)
    const waiting = Math.max(demand.waiting, openRequest === undefined ? 0 : 1)
    if (inFlight + waiting > 0) lastActiveMs.set(model, now)
    return {
      model,
      rate: demand.rate,
      waiting,
      waitedMs: openRequest === undefined ? 0 : now - openRequest.sinceMs,
      inFlight,
      averageInFlight: averageInFlightOf(model, inFlight),
      idleMs: now - (lastActiveMs.get(model) ?? -Infinity),
      unusableOn: unusableEnginesOf(model, limitedEngines),
      awaitsVersion: otherVersionsOf(model).length > 0
    }
  }
  const schedulableOf = (engine: Engine, snapshot: EngineSnapshot): SchedulableEngine => {
    const { process, tracked, spec } = engine
    const loaded = tracked.models.map(({ name }) => name)
    const sizeOf = (model: string): number => spec.models.get(model)?.weightsMb ?? 0
    const mbOf = (models: readonly string[]): number => models.reduce((sum, model) => sum + sizeOf(model), 0)
    const pendingMb = tracked.pending !== undefined && !loaded.includes(tracked.pending.model) ? sizeOf(tracked.pending.model) : 0
    return {
      ...snapshot,
      loaded,
      freeAfterOrdersMb: snapshot.freeMb + mbOf(loaded) + pendingMb - mbOf(snapshot.models),
      isOutcomeUnknown: reservations.isOutcomeUnknown(process)
    }
  }
  const planScheduled = (engines: readonly Engine[], snapshots: readonly EngineSnapshot[], needs: readonly ModelNeed[]): readonly PlanStep[] => scheduler.plan({
    engines: engines.map((engine, index) => schedulableOf(engine, snapshots[index]!)),
    needs,
    specs: specs(),
    allowedStoreLoads: storeLoads.remaining(clock.monotonic()),
    storeSlowdown: storeLoads.slowdownFactor(0)
  })
  const beginTerm = (fence: number): void => {
    // Another instance may have given orders before, so the state of all engines is requested again.
    lastFence = fence
    tracker.clear()
    reservations.clear()
    scheduler.forgetEngines()
    storeLoads.assumeEarlierLoads(clock.monotonic())
    logger.info('orderer-begins', { fence, engines: orders.listEngines().length })
  }
  const runPlan = (): void => {
    const fence = leadership.fencingToken()
    // After a pause within the same term the known state is still valid, since no other instance has given orders
    // meanwhile. An instance that may order at once may not have the configuration and the servers yet.
    if (fence === undefined || cfg.current() === undefined || !options.servers.isKnown()) return
    if (lastFence !== fence) beginTerm(fence)
    const now = clock.monotonic()
    openRequests.forEach((openRequest, model) => { if (now > openRequest.untilMs) openRequests.delete(model) })
    orders.requestReports()
    orders.listEngines().forEach(reservations.continue)
    const engines = orders.listEngines()
    const isScheduled = usesSchedule()
    if (isScheduled) engines.forEach(reservations.trackOutcome)
    const limitedEngines = assessLimitedEngines(engines)
    const snapshots = engines.map(engine => snapshotOf(engine, limitedEngines.get(engine.process)))
    const names = new Set([...fleetView.modelsInDemand(), ...openRequests.keys(), ...scheduler.awaitedModels(), ...snapshots.flatMap(snapshot => snapshot.models)])
    const needs = [...names].filter(model => !model.includes('/')).map(model => needOf(model, limitedEngines))
    const steps = isScheduled ? planScheduled(engines, snapshots, needs) : planSteps({ engines: snapshots, needs, specs: specs(), allowedStoreLoads: storeLoads.remaining(now) })
    steps.forEach(executeStep)
    if (now - lastPreloadMs < ADAPTER_PRELOAD_INTERVAL_MS) return
    lastPreloadMs = now
    adapterOrders.preload()
  }
  const minPlanIntervalMs = (): number => usesSchedule() ? Math.max(MIN_PLAN_INTERVAL_MS, lastPlanTookMs * PLAN_COST_FACTOR) : MIN_PLAN_INTERVAL_MS
  /** Ended orders and placement requests arrive at hundreds a second, so those of one short interval share a plan. */
  const schedulePlan = (): void => {
    if (isPlanScheduled) return
    isPlanScheduled = true
    clock.schedule(Math.max(0, lastPlanMs + minPlanIntervalMs() - clock.monotonic()), () => {
      isPlanScheduled = false
      plan()
    })
  }
  const plan = (): void => {
    if (isPlanning) return
    lastPlanMs = clock.monotonic()
    isPlanning = true
    try {
      runPlan()
    } finally {
      isPlanning = false
      lastPlanTookMs = clock.monotonic() - lastPlanMs
    }
  }

  const remainingLoadMs = ({ model, unavailable = [], softwareVersion }: PlacementRequest): number | undefined => {
    const remainingTimes = orders.listEngines().filter(engine => !unavailable.includes(engine.process) && hasVersion(engine, softwareVersion) && plannedModels(engine).includes(model)).map(remainingMs)
    return remainingTimes.length === 0 ? undefined : Math.min(...remainingTimes)
  }
  /** Estimates the time until a model for which nothing is ordered yet could be loaded, milliseconds. */
  const estimateQueuedLoadMs = ({ model, softwareVersion }: PlacementRequest): number => {
    const engines = orders.listEngines().filter(engine => hasVersion(engine, softwareVersion))
    const hasOtherVersions = engines.length < orders.listEngines().length
    const plannedOrLoaded = new Set(engines.flatMap(plannedModels))
    const tierFor = (name: string): WeightTier => engines.some(({ tracked }) => tierOf(tracked, name) !== 'store') ? 'disk' : 'store'
    // Streams that wait for engines of their version come before other requests.
    const isBefore = (name: string): boolean => !hasOtherVersions || openRequests.get(name)?.softwareVersions.has(softwareVersion!) === true
    const queued = [...openRequests.keys()].filter(name => name !== model && !plannedOrLoaded.has(name) && isBefore(name))
    if (tierFor(model) === 'store') return expectedLoadMs(model, 'store', queued.filter(name => tierFor(name) === 'store').length)
    return MODEL_SWAP_MS * (1 + queued.length / Math.max(1, engines.length))
  }
  const scheduledLoadMs = (model: string): number | undefined => usesSchedule() ? scheduler.readyInMs(model) : undefined
  const recordWaiting = ({ model, patienceMs, waiting }: PlacementRequest, sender: string, expectedInMs: number): void => {
    if (!usesSchedule()) return
    // An instance of an older version does not state its latency objectives.
    scheduler.record({ model, sender, groups: waiting ?? [{ inTimeMs: patienceMs, giveUpMs: patienceMs, count: 1 }] })
    if (expectedInMs > patienceMs) scheduler.reserve(model, expectedInMs)
  }
  const requestLoad = (req: PlacementRequest, sender: string, expectedMs = remainingLoadMs(req) ?? scheduledLoadMs(req.model) ?? estimateQueuedLoadMs(req)): PlacementReply => {
    const now = clock.monotonic()
    const previous = openRequests.get(req.model)
    const expectedInMs = Math.round(expectedMs)
    recordWaiting(req, sender, expectedInMs)
    // A caller that is refused must find the model loaded when it retries.
    const ttlMs = REQUEST_TTL_MS + (expectedInMs > req.patienceMs ? expectedInMs : 0)
    const softwareVersions = new Map([...previous?.softwareVersions ?? []].filter(([, untilMs]) => untilMs > now))
    if (req.softwareVersion !== undefined) softwareVersions.set(req.softwareVersion, now + ttlMs)
    openRequests.set(req.model, { softwareVersions, unavailable: new Set([...previous?.unavailable ?? [], ...req.unavailable ?? []]), sinceMs: Math.min(previous?.sinceMs ?? Infinity, now - req.waitedMs), untilMs: Math.max(previous?.untilMs ?? 0, now + ttlMs) })
    if (previous === undefined || softwareVersions.size > previous.softwareVersions.size) schedulePlan()
    return { kind: 'coming', inMs: expectedInMs }
  }
  const requestModel = async (req: PlacementRequest, sender = options.self): Promise<PlacementReply> => {
    const startsInMs = leadership.firstOrderInMs()
    if (startsInMs === undefined) return { kind: 'unavailable' }
    // The state of the engines is not known yet; most models take a swap once orders are given again.
    if (startsInMs > 0) return requestLoad(req, sender, startsInMs + MODEL_SWAP_MS)
    const unavailable = new Set([...req.unavailable ?? [], ...orders.listEngines().filter(engine => !hasVersion(engine, req.softwareVersion)).map(({ process }) => process)])
    if (unavailable.size > 0 && orders.listEngines().every(({ process }) => unavailable.has(process))) return { kind: 'coming', inMs: NO_OTHER_ENGINE_MS }
    const isModelLoaded = orders.listEngines().some(({ tracked, process }) => !unavailable.has(process) && fleetView.silenceReportCount(process) < MIN_SILENCE_REPORTS && tracked.models.some(loaded => loaded.name === req.model))
    if (req.adapter === undefined || !isModelLoaded) return requestLoad(req, sender)
    return await adapterOrders.request(req.model, req.adapter, unavailable)
  }
  peers.serve(placementCall, (req, from) => requestModel(req, from.id))

  return {
    requestModel,
    hasPendingOrders: orders.hasPendingOrders,
    start: signal => {
      const loop = async (): Promise<void> => {
        while (!signal.aborted) {
          await runStep('plan', plan)
          await sleep(clock, leadership.isLeaseHolder() ? Math.max(PLAN_INTERVAL_MS, minPlanIntervalMs()) : delayToNextPeriod(clock, LEASE_CHECK_INTERVAL_MS), signal)
        }
      }
      inBackground('placement', loop())
    }
  }
}

/** Loads that the weight store allows a second; none without a service of engines, whose minimum would be infinite. */
function lowestStoreLoads (specs: readonly EngineSpec[]): number {
  return specs.length === 0 ? 0 : Math.min(...specs.map(spec => spec.storeLoadsPerSecond))
}
