/**
 * A clock that advances only on request, for tests and for benchmarks in virtual time.
 * The timers are those of `@sinonjs/fake-timers`; this file adapts them to {@link Clock}.
 */
import { createClock } from '@sinonjs/fake-timers'
import { scheduleAnyDelay } from '.'
import type { Clock } from '.'

export interface VirtualClock extends Clock {
  /** Advances time by `ms`, runs the timers that fall due, and lets promises settle in between. */
  advance (ms: number): Promise<void>
  /** Advances time to the next timer and runs it. */
  next (): Promise<void>
  /** Lets pending promises settle without advancing time. */
  settle (): Promise<void>
  /** Steps the wall clock without moving the monotonic one. */
  stepWallClock (ms: number): void
}

/** Creates a clock whose wall clock starts at `startMs` (Unix epoch, milliseconds). */
export function createVirtualClock (startMs = 1_700_000_000_000): VirtualClock {
  const timers = createClock(startMs)
  let wallClockOffsetMs = 0
  const setTimer: Clock['schedule'] = (delayMs, callback) => {
    const timer = timers.setTimeout(callback, Math.max(0, delayMs))
    return () => timers.clearTimeout(timer)
  }
  return {
    now: () => timers.now + wallClockOffsetMs,
    monotonic: () => timers.now - startMs,
    schedule: (delayMs, callback) => scheduleAnyDelay(setTimer, delayMs, callback),
    advance: async ms => { await timers.tickAsync(ms) },
    next: async () => { await timers.nextAsync() },
    settle: async () => { await timers.tickAsync(0) },
    stepWallClock: ms => { wallClockOffsetMs += ms }
  }
}
