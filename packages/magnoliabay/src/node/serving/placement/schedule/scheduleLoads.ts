/**
 * Schedules engine time for models that requests wait for. One load serves all requests that wait for its model. Models
 * that can be ready within a latency objective go first, by the earliest objective; late ones follow, and precede new ones
 * once they are late by `LATE_DELAY_MS`, so that none starves.
 */
import type { ModelSpec } from '../../types'
import type { ModelNeed, PlanStep } from '../plan'
import { createEngineTimelines } from './engineTimeline'
import type { LoadDemand, ScheduledEngine, Swap, SwapOption } from './engineTimeline'
import type { WaitingGroup } from './waitingGroups'

export interface ScheduleNeed extends ModelNeed {
  /** Waiting requests, the earliest latency objective first. */
  groups: readonly WaitingGroup[]
}

export interface LoadScheduleInput {
  engines: readonly ScheduledEngine[]
  needs: readonly ScheduleNeed[]
  specs: ReadonlyMap<string, ModelSpec>
  /** Loads from the weight store that may begin now. */
  allowedStoreLoads: number
  /** Factor by which a load from the weight store takes longer, because of those that run. */
  storeSlowdown: number
  /** Mean duration of a request, milliseconds. */
  runMs: number
}

export interface ScheduleSummary {
  /** Models that are scheduled because requests wait for them. */
  waitingModels: number
  /** Those of them that will be ready within a latency objective. */
  inTimeModels: number
  lateModels: number
  bookedMs: number
}

export interface LoadSchedule {
  /** Swaps of each engine, in order. */
  swaps: ReadonlyMap<string, readonly Swap[]>
  /** Time until each waiting model is ready, milliseconds. */
  readyInMs: ReadonlyMap<string, number>
  /** Steps to take now, at most one per engine. */
  steps: readonly PlanStep[]
  summary: ScheduleSummary
  /** Returns when a model that is not in the schedule could be ready behind all others, milliseconds. */
  estimateReadyMs (model: string): number | undefined
}

/** Time from a model being ready until the first event of a request that waited for it, milliseconds. */
const FIRST_EVENT_MS = 250
/**
 * Latency objectives within the same interval count as equal, milliseconds; the load with more requests for its time goes
 * first. Strictly by objective, each model would be loaded when its first request is about to be late, for few requests.
 */
const OBJECTIVE_INTERVAL_MS = 1000
/**
 * Time by which a late request precedes those whose latency objective ends then, milliseconds: longer than a burst of some
 * seconds and its backlog. With 3 s, late requests took engine time from those that could still be in time.
 */
const LATE_DELAY_MS = 14_000
/** Time in which requests that arrive count as served by a load, milliseconds: about the duration of a swap. */
const ARRIVAL_WINDOW_MS = 2500
/** Expected wait for a model that was unloaded, milliseconds: a swap on an engine that is free soon. */
const MODEL_RELOAD_MS = 2000
/** Part of an engine's slots that a model's streams may take before the model counts as loaded. */
const REPLICA_LOAD_RATIO = 0.3

/** A model to be loaded. */
interface Job {
  need: ScheduleNeed
  demand: LoadDemand
  reason: 'waiting' | 'more-replicas'
  /** Order in the schedule, milliseconds: time of the latency objective, later for late requests. */
  keyMs: number
  requestsPerMs: number
}

const canMeet = ({ inTimeMs, giveUpMs }: WaitingGroup, readyMs: number): boolean => Math.min(inTimeMs - FIRST_EVENT_MS, giveUpMs) >= readyMs

/** Returns the earliest latency objective that a model ready in `readyMs` meets. */
const objectiveMet = (groups: readonly WaitingGroup[], readyMs: number): WaitingGroup | undefined => groups.find(group => canMeet(group, readyMs))

const bySchedule = (left: Job, right: Job): number =>
  Math.floor(left.keyMs / OBJECTIVE_INTERVAL_MS) - Math.floor(right.keyMs / OBJECTIVE_INTERVAL_MS) ||
  right.requestsPerMs - left.requestsPerMs || right.need.waitedMs - left.need.waitedMs

const countOf = (groups: readonly WaitingGroup[]): number => groups.reduce((sum, { count }) => sum + count, 0)

/** Returns for each model the engines that have it or will, and whose replica counts. */
function replicasByModel (input: LoadScheduleInput, needs: ReadonlyMap<string, ScheduleNeed>): Map<string, ScheduledEngine[]> {
  const replicas = new Map<string, ScheduledEngine[]>()
  input.engines.filter(engine => engine.isResponding).forEach(engine => engine.models
    .filter(model => !(needs.get(model)?.unusableOn.has(engine.id) ?? false))
    .forEach(model => {
      const engines = replicas.get(model)
      if (engines === undefined) replicas.set(model, [engine])
      else engines.push(engine)
    }))
  return replicas
}

/**
 * Returns the loss by unloading a replica, in milliseconds of waiting: without another, requests that arrive soon wait for
 * the model to be loaded again; otherwise the others take its load.
 */
function lossMsOf (need: ScheduleNeed | undefined, replicas: number, slots: number): number {
  if (need === undefined) return 0
  const aloneMs = need.rate * ARRIVAL_WINDOW_MS / 1000 * MODEL_RELOAD_MS
  if (replicas <= 1) return aloneMs
  const loadElsewhere = need.inFlight / (replicas - 1) / (slots * REPLICA_LOAD_RATIO)
  return loadElsewhere > 1 ? aloneMs : loadElsewhere * MODEL_RELOAD_MS
}

export function scheduleLoads (input: LoadScheduleInput): LoadSchedule {
  const needs = new Map(input.needs.map(need => [need.model, need]))
  const replicas = replicasByModel(input, needs)
  const replicaCount = new Map([...replicas].map(([model, engines]) => [model, engines.length]))
  const timelines = createEngineTimelines({ ...input, lossMsOf: (model, engine) => lossMsOf(needs.get(model), replicaCount.get(model) ?? 0, engine.slots) })
  const readyInMs = new Map<string, number>()
  const steps: PlanStep[] = []
  let inTimeModels = 0
  let lateModels = 0

  const demandOf = (need: ScheduleNeed, count: number): LoadDemand =>
    ({ model: need.model, rate: need.rate, served: count + Math.floor(need.rate * ARRIVAL_WINDOW_MS / 1000), waitedMs: need.waitedMs, unusableOn: need.unusableOn })
  const jobOf = (need: ScheduleNeed, reason: Job['reason'], count: number, keyMs: number): Job => {
    const demand = demandOf(need, count)
    return { need, reason, demand, keyMs, requestsPerMs: demand.served / timelines.shortestLoadMs(need.model) }
  }
  const lateKeyMs = (need: ScheduleNeed): number => (need.groups[0]?.inTimeMs ?? 0) + LATE_DELAY_MS
  const waitingJobOf = (need: ScheduleNeed): Job => {
    const objective = objectiveMet(need.groups, timelines.shortestLoadMs(need.model))
    return jobOf(need, 'waiting', countOf(need.groups), Math.min(objective?.inTimeMs ?? Infinity, lateKeyMs(need)))
  }
  /** A model whose engines have as many requests as slots gets another replica first: its callers would be rejected. */
  const fullJobOf = (need: ScheduleNeed): Job[] => {
    const slots = replicas.get(need.model)!.reduce((sum, engine) => sum + engine.slots, 0)
    return need.inFlight < slots ? [] : [jobOf(need, 'more-replicas', need.inFlight - slots + 1, 0)]
  }
  const book = (job: Job, swap: SwapOption): void => {
    timelines.book(swap)
    swap.modelsToUnload.forEach(model => replicaCount.set(model, Math.max(0, (replicaCount.get(model) ?? 0) - 1)))
    replicaCount.set(swap.model, (replicaCount.get(swap.model) ?? 0) + 1)
    if (job.reason === 'waiting') {
      readyInMs.set(swap.model, swap.readyMs)
      if (objectiveMet(job.need.groups, swap.readyMs) === undefined) lateModels += 1
      else inTimeModels += 1
    }
    const isFirst = timelines.swaps().get(swap.engine)!.length === 1
    if (isFirst && swap.startMs <= 0 && isIdle(swap.engine)) steps.push(stepOf(swap, job.reason))
  }
  const idleEngines = new Set(input.engines.filter(engine => engine.busyMs === 0).map(engine => engine.id))
  const isIdle = (engine: string): boolean => idleEngines.has(engine)
  /** Books a job, or returns it with a later key if it can no longer meet the objective by which it was ordered. */
  const bookOrDefer = (job: Job): Job[] => {
    const swap = timelines.findSwap(job.demand)
    if (swap === undefined) return []
    const laterKeyMs = lateKeyMs(job.need)
    const isLate = job.reason === 'waiting' && objectiveMet(job.need.groups, swap.readyMs) === undefined
    if (isLate && job.keyMs < laterKeyMs) return [{ ...job, keyMs: laterKeyMs }]
    book(job, swap)
    return []
  }

  const isWaiting = (need: ScheduleNeed): boolean => need.groups.length > 0 && (replicaCount.get(need.model) ?? 0) === 0
  input.needs.filter(need => replicas.has(need.model)).forEach(need => readyInMs.set(need.model, Math.min(...replicas.get(need.model)!.map(engine => engine.busyMs))))
  const jobs = [
    ...input.needs.filter(need => replicas.has(need.model)).flatMap(fullJobOf),
    ...input.needs.filter(need => isWaiting(need) && input.specs.has(need.model)).map(waitingJobOf)
  ]
  const deferred = jobs.sort(bySchedule).flatMap(bookOrDefer)
  deferred.sort(bySchedule).forEach(bookOrDefer)
  return {
    swaps: timelines.swaps(),
    readyInMs,
    steps,
    summary: { waitingModels: inTimeModels + lateModels, inTimeModels, lateModels, bookedMs: Math.round(timelines.bookedMs()) },
    estimateReadyMs: model => timelines.findSwap({ model, rate: needs.get(model)?.rate ?? 0, served: 1, waitedMs: 0 })?.readyMs
  }
}

function stepOf ({ engine, model, modelsToUnload, tier }: Swap, reason: 'waiting' | 'more-replicas'): PlanStep {
  const [firstModel, ...alsoUnload] = modelsToUnload
  if (firstModel !== undefined) return { kind: 'unload', engine, model: firstModel, inFavourOf: model, alsoUnload }
  return { kind: 'load', engine, model, tier, reason }
}
