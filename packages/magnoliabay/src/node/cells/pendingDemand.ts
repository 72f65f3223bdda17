/**
 * What is waited for: all demand for one model, from any number of instances, is one want. It lapses when
 * nobody has repeated it for a while, so that nothing is loaded for callers who have left.
 */

export interface ModelDemand {
  model: string
  sinceMs: number
  /** When the most urgent who waits gives up, monotonic milliseconds. */
  deadlineMs: number
  weight: number
  waiting: number
  expiresAtMs: number
  /** Adapters of the model that are waited for. */
  adapters: Set<string>
  /** Nobody waits: a use is expected. */
  isPredicted: boolean
  /** Not tried again before, monotonic milliseconds. */
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

/** Entry instances repeat their demand more often than this. */
const DEMAND_TTL_MS = 3000

export interface PendingDemand {
  add (req: DemandUpdate, nowMs: number): ModelDemand
  remove (model: string): void
  get (model: string): ModelDemand | undefined
  /** Those that stand, most urgent first. */
  byUrgency (nowMs: number, expectedMs: (want: ModelDemand) => number): ModelDemand[]
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
 * Those who can still be served in time come first, by the time that they have left to begin, shortened by
 * their weight; then those who will be late anyway; then what nobody waits for yet. A long load counts against
 * a want, but the less the more wait for it: else the large model that everybody calls is loaded last.
 */
function compareUrgency (left: ModelDemand, right: ModelDemand, nowMs: number, expectedMs: (demand: ModelDemand) => number): number {
  const rank = (demand: ModelDemand): number => demand.isPredicted ? 2 : demand.deadlineMs - nowMs < expectedMs(demand) ? 1 : 0
  const slack = (demand: ModelDemand): number => (demand.deadlineMs - demand.sinceMs) / demand.weight + demand.sinceMs + expectedMs(demand) / Math.max(1, demand.waiting)
  return rank(left) - rank(right) || slack(left) - slack(right)
}
