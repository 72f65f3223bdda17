/** Predicts when an engine would send the first event of a request. */

export interface StartInput {
  /** Requests in flight at the engine. */
  load: number
  slots: number
  /** Time of a request relative to the mean over all engines. */
  speed: number
  /** Time to the first event at an engine of mean speed with a free slot, milliseconds. */
  firstEventMs: number
  /** Time for which a request occupies a slot at an engine of mean speed, milliseconds. */
  runMs: number
}

/** Returns milliseconds until the first event: the time until a slot is free, and that of the request itself. */
export function predictStart ({ load, slots, speed, firstEventMs, runMs }: StartInput): number {
  const waitingTurns = Math.max(0, load - slots + 1) / Math.max(1, slots)
  return speed * (firstEventMs + waitingTurns * runMs)
}
