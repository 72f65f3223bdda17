/**
 * A clock that moves only when told to, for tests and for benches in virtual time.
 * `@sinonjs/fake-timers` keeps the timers; this file only narrows it to {@link Clock}.
 */
import { createClock } from '@sinonjs/fake-timers'
import type { Clock } from '.'

export interface VirtualClock extends Clock {
  /** Moves time on by `ms`, running what falls due, and lets promises settle in between. */
  advance (ms: number): Promise<void>
  /** Runs the next timer that is due, however far away it is. */
  next (): Promise<void>
  /** Lets pending promises settle without moving time. */
  settle (): Promise<void>
  /** Steps the wall clock without moving the monotonic one. */
  stepWallClock (ms: number): void
}

/** Starts at `startMs` (Unix epoch, milliseconds). */
export function createVirtualClock (startMs = 1_700_000_000_000): VirtualClock {
  const timers = createClock(startMs)
  let wallOffsetMs = 0
  return {
    now: () => timers.now + wallOffsetMs,
    monotonic: () => timers.now - startMs,
    schedule: (delayMs, callback) => {
      const timer = timers.setTimeout(callback, Math.max(0, delayMs))
      return () => timers.clearTimeout(timer)
    },
    advance: async ms => { await timers.tickAsync(ms) },
    next: async () => { await timers.nextAsync() },
    settle: async () => { await timers.tickAsync(0) },
    stepWallClock: ms => { wallOffsetMs += ms }
  }
}
