/**
 * What wakes a process, counted by cause. Each turn of the event loop costs a small machine most of a millisecond,
 * whatever it does, so in a fleet of hundreds the number of turns decides what an idle instance costs.
 */
import { performance } from 'node:perf_hooks'
import { addCount } from './utils'

/** `peer` with the kind of frame or message, `caller` a request, `server` bytes of an answer. */
export type WakeupCause = 'timer' | 'caller' | 'server' | `peer ${string}`

export interface WakeupCounter {
  note (cause: WakeupCause): void
  /** Since the start of the process. */
  counts (): ReadonlyMap<string, number>
}

export function createWakeupCounter (): WakeupCounter {
  const counts = new Map<string, number>()
  return {
    note: cause => addCount(counts, cause, 1),
    counts: () => counts
  }
}

/** Turns of the event loop since the start of the process; 0 where the runtime does not count them. */
export function eventLoopIterations (): number {
  return (performance.nodeTiming as { uvMetricsInfo?: { loopCount: number } }).uvMetricsInfo?.loopCount ?? 0
}
