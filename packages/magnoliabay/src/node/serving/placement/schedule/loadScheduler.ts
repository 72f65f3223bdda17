/**
 * Holds the leader's load schedule between plans: the waiting requests, the models that stay for them, and the times that
 * callers are told.
 */
import type { Clock } from '../../../clock'
import type { Logger } from '../../../logger'
import { planSteps } from '../plan'
import type { EngineSnapshot, ModelNeed, PlacementPlanInput, PlanStep } from '../plan'
import { UNLOAD_MS } from './engineTimeline'
import type { ScheduledEngine } from './engineTimeline'
import { ARRIVAL_MS, createFreshModels } from './freshModels'
import { scheduleLoads } from './scheduleLoads'
import type { LoadSchedule, ScheduleNeed, ScheduleSummary } from './scheduleLoads'
import type { WaitingGroup } from './waitingGroups'
import { createWaitingRequests } from './waitingRequests'
import type { ReservationObserver } from './waitingRequests'

/** Shortest time between two summaries of the schedule in the log, milliseconds. */
const SUMMARY_INTERVAL_MS = 2000
/** Models with fewer requests per second count as rare; their requests decide how long an unload waits. */
const MAX_RARE_REQUESTS_PER_SECOND = 1.5
/** Assumed mean duration of a request until some have been observed, and its bounds, milliseconds. */
const DEFAULT_RUN_MS = 3500
const MIN_RUN_MS = 500
const MAX_RUN_MS = 10_000
/** Rate of all rare models together from which the mean duration of a request is derived, requests per second. */
const MIN_OBSERVED_RATE = 1

const NO_OBSERVER: ReservationObserver = { onMade: () => {}, onEnded: () => {} }

/** An engine with what its orders leave. */
export interface SchedulableEngine extends EngineSnapshot {
  /** Models that it has loaded; the others of `models` are still to be loaded. */
  loaded: readonly string[]
  /** Free memory after its orders. */
  freeAfterOrdersMb: number
  /** Whether the outcome of its last order is unknown: it gets no load until that is known. */
  isOutcomeUnknown: boolean
}

export interface SchedulerPlanInput extends Omit<PlacementPlanInput, 'engines'> {
  engines: readonly SchedulableEngine[]
  /** Factor by which a load from the weight store takes longer, because of those that run. */
  storeSlowdown: number
}

/** What an instance reported with a placement request. */
export interface WaitingReport {
  model: string
  sender: string
  groups: readonly WaitingGroup[]
}

export interface LoadSchedulerOptions {
  clock: Clock
  logger: Logger
  /** @default counts nothing */
  reservations?: ReservationObserver
}

export interface LoadScheduler {
  record (report: WaitingReport): void
  /** Keeps the model in the schedule for a caller that is rejected and told to return in `inMs`. */
  reserve (model: string, inMs: number): void
  /** Plans the steps to take now. */
  plan (input: SchedulerPlanInput): readonly PlanStep[]
  /** Returns the time until the model is ready by the last plan, milliseconds. */
  readyInMs (model: string): number | undefined
  /** Expected duration of an unload with this many running requests, milliseconds. */
  expectedUnloadMs (runningRequests: number): number
  /** Models with waiting requests or reservations. */
  awaitedModels (): readonly string[]
  /** Fields of a step's log line. */
  logFieldsOf (model: string): { waiters: number, inTime: number, readyInMs: number | undefined }
  /** Drops what was known of engines, at the begin of a term; waiting requests stay. */
  forgetEngines (): void
}

/** Returns the mean duration of a request to a rare model, by the ratio of requests in flight to arrivals. */
function meanRunMs (needs: readonly ModelNeed[]): number {
  const rare = needs.filter(({ rate }) => rate > 0 && rate < MAX_RARE_REQUESTS_PER_SECOND)
  const rate = rare.reduce((sum, need) => sum + need.rate, 0)
  if (rate < MIN_OBSERVED_RATE) return DEFAULT_RUN_MS
  const inFlight = rare.reduce((sum, need) => sum + need.inFlight, 0)
  return Math.min(MAX_RUN_MS, Math.max(MIN_RUN_MS, inFlight / rate * 1000))
}

export function createLoadScheduler ({ clock, logger, reservations = NO_OBSERVER }: LoadSchedulerOptions): LoadScheduler {
  const waiting = createWaitingRequests(reservations)
  const fresh = createFreshModels()
  let schedule: LoadSchedule | undefined
  let plannedMs = 0
  let runMs = DEFAULT_RUN_MS
  let summarizedMs = -Infinity

  const heldMsOf = ({ id, models, loaded, busyMs, inFlight }: SchedulableEngine, nowMs: number): ReadonlyMap<string, number> => {
    const heldMs = (model: string): number => loaded.includes(model)
      ? Math.max(waiting.reservedMs(model, nowMs), fresh.heldMs(id, model, inFlight.get(model) ?? 0, runMs, nowMs))
      : busyMs + ARRIVAL_MS
    return new Map(models.map(model => [model, heldMs(model)] as const).filter(([, ms]) => ms > 0))
  }
  const scheduledOf = (engine: SchedulableEngine, nowMs: number): ScheduledEngine =>
    ({ ...engine, freeMb: engine.freeAfterOrdersMb, busyMs: engine.isOutcomeUnknown ? Infinity : engine.busyMs, heldMs: heldMsOf(engine, nowMs) })
  const trackEngines = (engines: readonly SchedulableEngine[], nowMs: number): void => {
    const loaded = new Set(engines.flatMap(engine => engine.loaded))
    const awaited = new Set(waiting.models())
    waiting.expire(nowMs, model => loaded.has(model))
    fresh.retainOnly(new Set(engines.map(engine => engine.id)))
    engines.forEach(engine => fresh.update(engine.id, engine.loaded, model => awaited.has(model), nowMs))
  }
  /** Plans more replicas and adapters' models as without a schedule, on engines that the schedule leaves free. */
  const planReplicas = (input: SchedulerPlanInput, engines: readonly ScheduledEngine[], loads: LoadSchedule): PlanStep[] => {
    const held = new Set(engines.flatMap(engine => [...engine.heldMs.keys()]))
    const bookedUntilMs = (id: string): number => loads.swaps.get(id)?.at(-1)?.readyMs ?? 0
    return planSteps({
      ...input,
      engines: input.engines.map((engine, index) => ({ ...engine, busyMs: Math.max(engines[index]!.busyMs, bookedUntilMs(engine.id)) })),
      needs: input.needs.map(need => held.has(need.model) ? { ...need, waiting: Math.max(1, need.waiting) } : need),
      allowedStoreLoads: input.allowedStoreLoads - loads.steps.filter(step => step.kind === 'load' && step.tier === 'store').length,
      loadsWaiting: false
    })
  }
  const logSummary = ({ waitingModels, inTimeModels, lateModels, bookedMs }: ScheduleSummary, nowMs: number): void => {
    if (waitingModels === 0 || nowMs - summarizedMs < SUMMARY_INTERVAL_MS) return
    summarizedMs = nowMs
    logger.info('schedule-summary', { waiting: waitingModels, inTime: inTimeModels, late: lateModels, reservedMs: bookedMs, runMs: Math.round(runMs) })
  }

  return {
    record: ({ model, sender, groups }) => waiting.record(model, sender, groups, clock.monotonic()),
    reserve: (model, inMs) => waiting.reserve(model, inMs, clock.monotonic()),
    plan: input => {
      const nowMs = clock.monotonic()
      trackEngines(input.engines, nowMs)
      runMs = meanRunMs(input.needs)
      const engines = input.engines.map(engine => scheduledOf(engine, nowMs))
      const needs = input.needs.map((need): ScheduleNeed => ({ ...need, groups: waiting.groupsOf(need.model, nowMs) }))
      schedule = scheduleLoads({ ...input, engines, needs, runMs })
      plannedMs = nowMs
      logSummary(schedule.summary, nowMs)
      return [...schedule.steps, ...planReplicas(input, engines, schedule)]
    },
    readyInMs: model => {
      const readyMs = schedule?.readyInMs.get(model) ?? schedule?.estimateReadyMs(model)
      return readyMs === undefined || !Number.isFinite(readyMs) ? undefined : Math.max(0, readyMs - (clock.monotonic() - plannedMs))
    },
    expectedUnloadMs: runningRequests => UNLOAD_MS + (runningRequests > 0 ? runMs : 0),
    awaitedModels: waiting.models,
    logFieldsOf: model => {
      const groups = waiting.groupsOf(model, clock.monotonic())
      const readyMs = schedule?.readyInMs.get(model)
      const countOf = (counted: readonly WaitingGroup[]): number => counted.reduce((sum, { count }) => sum + count, 0)
      return { waiters: countOf(groups), inTime: countOf(groups.filter(group => group.inTimeMs >= (readyMs ?? 0))), readyInMs: readyMs === undefined ? undefined : Math.round(readyMs) }
    },
    forgetEngines: () => {
      fresh.clear()
      schedule = undefined
    }
  }
}
