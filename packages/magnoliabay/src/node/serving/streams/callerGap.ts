/** States how long callers wait for the next event of a stream. */
import type { Route } from '../types'

/**
 * The longest gap between events for which a stream's caller waits is the largest of three times: this minimum, and these
 * multiples of the route's latency objective and of its maximum event gap.
 */
const MIN_CALLER_GAP_MS = 2000
const CALLER_GAP_LATENCY_OBJECTIVES = 4
const CALLER_GAP_EVENT_GAPS = 8

/** Returns the gap after which a caller abandons a stream of this route, milliseconds. */
export function callerGapMs ({ latencyObjectiveMs, maxEventGapMs }: Pick<Route, 'latencyObjectiveMs' | 'maxEventGapMs'>): number {
  return Math.max(MIN_CALLER_GAP_MS, CALLER_GAP_LATENCY_OBJECTIVES * latencyObjectiveMs, CALLER_GAP_EVENT_GAPS * maxEventGapMs)
}
