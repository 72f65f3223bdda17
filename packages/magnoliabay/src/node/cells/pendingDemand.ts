/**
 * Pending demand, merged per model over all instances. It expires unless an instance repeats it, so that nothing is
 * loaded for callers that have left.
 */

export interface ModelDemand {
  model: string
  sinceMs: number
  /** Earliest deadline of a waiting request, monotonic milliseconds. */
  deadlineMs: number
  weight: number
  waiting: number
  expiresAtMs: number
  /** Adapters of the model that requests wait for. */
  adapters: Set<string>
  /** No request waits; a use is predicted. */
  isPredicted: boolean
  /** Earliest time of the next attempt, monotonic milliseconds. */
  notBeforeMs: number
}

export interface DemandUpdate {
  model: string
  adapters: readonly string[]
  waiting: number
  patienceMs: number
  weight: number
  isPredicted?: boolean
}

/** Entry instances repeat their demand at shorter intervals. */
const DEMAND_TTL_MS = 3000

export interface PendingDemand {
  add (req: DemandUpdate, nowMs: number): ModelDemand
  remove (model: string): void
  get (model: string): ModelDemand | undefined
  /** Unexpired demand that may be tried now, most urgent first. */
  byUrgency (nowMs: number, expectedMs: (demand: ModelDemand) => number): ModelDemand[]
}

export function createPendingDemand (): PendingDemand {
  const byModel = new Map<string, ModelDemand>()
  const removeExpired = (nowMs: number): void => {
    const expired = [...byModel.values()].filter(demand => demand.expiresAtMs < nowMs)
    expired.forEach(demand => byModel.delete(demand.model))
  }
  return {
    add: (req, nowMs) => {
      removeExpired(nowMs)
      const known = byModel.get(req.model)
      const demand: ModelDemand = {
        model: req.model,
        sinceMs: known?.sinceMs ?? nowMs,
        deadlineMs: Math.min(known?.deadlineMs ?? Infinity, nowMs + req.patienceMs),
        weight: Math.max(known?.weight ?? 0, req.weight),
        waiting: Math.max(known?.waiting ?? 0, req.waiting),
        expiresAtMs: nowMs + DEMAND_TTL_MS,
        adapters: known?.adapters ?? new Set(),
        isPredicted: (known?.isPredicted ?? true) && req.isPredicted === true,
        notBeforeMs: known?.notBeforeMs ?? 0
      }
      if (demand.deadlineMs <= nowMs) demand.deadlineMs = nowMs + req.patienceMs
      req.adapters.forEach(adapter => demand.adapters.add(adapter))
      byModel.set(req.model, demand)
      return demand
    },
    remove: model => { byModel.delete(model) },
    get: model => byModel.get(model),
    byUrgency: (nowMs, expectedMs) => {
      removeExpired(nowMs)
      return [...byModel.values()]
        .filter(demand => demand.notBeforeMs <= nowMs)
        .sort((left, right) => compareUrgency(left, right, nowMs, expectedMs))
    }
  }
}

/**
 * Sorts demand that can still be met in time first, by its deadline, with the time to it divided by the weight; then
 * demand that will be late anyway; then predicted demand. The expected load time counts against a model, divided by the
 * number of waiting requests: otherwise a large model with many requests would be loaded last.
 */
function compareUrgency (left: ModelDemand, right: ModelDemand, nowMs: number, expectedMs: (demand: ModelDemand) => number): number {
  const rank = (demand: ModelDemand): number => demand.isPredicted ? 2 : demand.deadlineMs - nowMs < expectedMs(demand) ? 1 : 0
  const slack = (demand: ModelDemand): number => (demand.deadlineMs - demand.sinceMs) / demand.weight + demand.sinceMs + expectedMs(demand) / Math.max(1, demand.waiting)
  return rank(left) - rank(right) || slack(left) - slack(right)
}
