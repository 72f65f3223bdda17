/**
 * Counts by cause how often a process wakes up. Each iteration of the event loop takes most of a millisecond on a small
 * machine, whatever it does, so in a fleet of hundreds the number of iterations determines the cost of an idle instance.
 */
import { performance } from 'node:perf_hooks'
import { addCount } from './utils'

/** `peer` is followed by the kind of frame or message; `caller` is a request, `server` bytes of a response. */
export type WakeupCause = 'timer' | 'caller' | 'server' | `peer ${string}`

export interface WakeupCounter {
  note (cause: WakeupCause): void
  /** Returns the counts since the start of the process. */
  counts (): ReadonlyMap<string, number>
}

export function createWakeupCounter (): WakeupCounter {
  const counts = new Map<string, number>()
  return {
    note: cause => addCount(counts, cause, 1),
    counts: () => counts
  }
}

/** Returns the iterations of the event loop since the start of the process; 0 if the runtime does not count them. */
export function eventLoopIterations (): number {
  return (performance.nodeTiming as { uvMetricsInfo?: { loopCount: number } }).uvMetricsInfo?.loopCount ?? 0
}
