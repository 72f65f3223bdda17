/**
 * Chooses the backend server for a request. The workload is many short requests on a few servers with few slots, and
 * streams that share a batch. Both slow down with concurrent requests, so the least loaded server is the fastest.
 */

export interface Candidate {
  id: string
  /** Requests in flight there, of all instances. */
  load: number
  slots: number
  /** Whether it is in the failure domain of this instance. */
  isNear: boolean
  /** Recent failures a second that this instance observed there. */
  failureRate: number
  /** Unreachable, or not responding though it has requests. */
  isSilent: boolean
  /** Recently started, and able to take only a few requests a second. */
  isCold: boolean
}

/**
 * Traffic between failure domains is billed, and a hop takes a millisecond or two; a queue costs whole service times.
 * A near server is preferred while its load exceeds that of others by no more than this fraction of its slots.
 */
const NEAR_BONUS = 0.15
/** One failure a second counts as much as a full server. */
const FAILURE_WEIGHT = 1
const SILENT_PENALTY = 10
/**
 * A cold server has the least load, so all instances would send to it. It gets requests only when the load of others
 * exceeds its own by this fraction of their slots.
 */
const COLD_PENALTY = 0.5

/** Returns the load of a server plus requests that count for its recent failures and a recent start. */
export function loadWithPenalties ({ load, slots, failureRate, isCold }: Candidate): number {
  return load + Math.max(1, slots) * (failureRate * FAILURE_WEIGHT + (isCold ? COLD_PENALTY : 0))
}

function cost (candidate: Candidate): number {
  return candidate.load / Math.max(1, candidate.slots) +
    candidate.failureRate * FAILURE_WEIGHT +
    (candidate.isSilent ? SILENT_PENALTY : 0) +
    (candidate.isCold ? COLD_PENALTY : 0) -
    (candidate.isNear ? NEAR_BONUS : 0)
}

/** Returns the candidate of least cost; `tieBreak` (from 0 to below 1) selects one of several with equal cost. */
export function chooseServer (candidates: readonly Candidate[], tieBreak: number): Candidate | undefined {
  const costs = candidates.map(cost)
  const lowestCost = Math.min(...costs)
  const best = candidates.filter((_, index) => costs[index]! <= lowestCost + Number.EPSILON)
  return best[Math.floor(tieBreak * best.length)]
}
