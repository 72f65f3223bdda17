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
}

/**
 * Bytes between failure domains are paid for, and a hop costs a millisecond or two; a queue costs whole service times.
 * A near server is preferred while it is no busier by this part of its slots.
 */
const NEAR_BONUS = 0.15
/** One failure a second weighs as much as a full server. */
const FAILURE_WEIGHT = 1
const SILENT_WEIGHT = 10

/** So few instances decide by the same sums that the requests of one period do not all go to one server. */
const EXACT_INSTANCES = 16
const SAMPLE = 2

/**
 * The candidates that this choice looks at. Sums of what others have are some hundred milliseconds old: with a hundred
 * instances all requests of that time would go to the server that had least, and their streams would stall together.
 * The better of two drawn at random keeps the longest queue short without newer sums.
 */
export function sampleCandidates<T> (candidates: readonly T[], instances: number, random: () => number): readonly T[] {
  if (instances <= EXACT_INSTANCES || candidates.length <= SAMPLE) return candidates
  const first = Math.floor(random() * candidates.length)
  const step = 1 + Math.floor(random() * (candidates.length - 1))
  return [candidates[first]!, candidates[(first + step) % candidates.length]!]
}

function cost (candidate: Candidate): number {
  return candidate.load / Math.max(1, candidate.slots) +
    candidate.failureRate * FAILURE_WEIGHT +
    (candidate.isSilent ? SILENT_WEIGHT : 0) -
    (candidate.isNear ? NEAR_BONUS : 0)
}

/** The best of the candidates; `tieBreak` (0 to 1) spreads equal ones over instances. */
export function chooseServer (candidates: readonly Candidate[], tieBreak: number): Candidate | undefined {
  const costs = candidates.map(cost)
  const least = Math.min(...costs)
  const best = candidates.filter((_, index) => costs[index]! <= least + Number.EPSILON)
  return best[Math.floor(tieBreak * best.length)]
}
