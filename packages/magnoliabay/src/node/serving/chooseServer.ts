/**
 * Which of several backend servers gets a request. Pattern: many short requests on a few servers of few slots, and
 * streams that share a batch; both slow down with what runs beside them, so the least loaded one is quickest.
 */

export interface Candidate {
  id: string
  /** Requests that all instances have there. */
  load: number
  slots: number
  /** In the failure domain of this instance. */
  isNear: boolean
  /** Failures a second that this instance saw there lately. */
  failureRate: number
  /** Out of reach, or silent though it has requests. */
  isSilent: boolean
  /** It has just started, and bears few requests a second. */
  isCold: boolean
}

/**
 * Bytes between failure domains are paid for, and a hop costs a millisecond or two; a queue costs whole service times.
 * A near server is preferred while it is no busier by this part of its slots.
 */
const NEAR_BONUS = 0.15
/** One failure a second weighs as much as a full server. */
const FAILURE_WEIGHT = 1
const SILENT_PENALTY = 10
/** A cold server is the emptiest of all, and everybody would send to it; it gets what others are too full for, in slots. */
const COLD_PENALTY = 0.5

function cost (candidate: Candidate): number {
  return candidate.load / Math.max(1, candidate.slots) +
    candidate.failureRate * FAILURE_WEIGHT +
    (candidate.isSilent ? SILENT_PENALTY : 0) +
    (candidate.isCold ? COLD_PENALTY : 0) -
    (candidate.isNear ? NEAR_BONUS : 0)
}

/** The best of the candidates; `tieBreak` (0 to 1) spreads equal ones over instances. */
export function chooseServer (candidates: readonly Candidate[], tieBreak: number): Candidate | undefined {
  const costs = candidates.map(cost)
  const least = Math.min(...costs)
  const best = candidates.filter((_, index) => costs[index]! <= least + Number.EPSILON)
  return best[Math.floor(tieBreak * best.length)]
}
