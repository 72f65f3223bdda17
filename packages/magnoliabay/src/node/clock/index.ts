/**
 * Time as an interface, so that every decision can be tested under a clock that the test moves.
 */

/** Cancels a pending callback. Calling it twice is harmless. */
export type CancelTimer = () => void

export interface Clock {
  /** Wall-clock time in milliseconds since the Unix epoch. May step; never use it to measure a span. */
  now (): number
  /** Monotonic time in milliseconds from an arbitrary origin. Never steps back. */
  monotonic (): number
  /** Runs `callback` once after `delayMs` milliseconds. */
  schedule (delayMs: number, callback: () => void): CancelTimer
}

/** The clock of the running process; `onTimer` is called with each timer that falls due. */
export function createSystemClock (onTimer: () => void = () => {}): Clock {
  return {
    now: () => Date.now(),
    monotonic: () => performance.now(),
    schedule: (delayMs, callback) => {
      const timer = setTimeout(() => {
        onTimer()
        callback()
      }, delayMs)
      return () => clearTimeout(timer)
    }
  }
}

/** Resolves after `delayMs` milliseconds, or at once when `signal` aborts. Never rejects. */
export function sleep (clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) return resolve()
    const onAbort = (): void => {
      cancel()
      resolve()
    }
    const cancel = clock.schedule(delayMs, () => {
      signal?.removeEventListener('abort', onAbort)
      resolve()
    })
    signal?.addEventListener('abort', onAbort, { once: true })
  })
}

/** Timers of the runtime count whole milliseconds, and may fire by so much too early. */
const TIMER_EARLY_MS = 1.5

/**
 * Time until the next whole number of periods since the clock's origin, milliseconds. What a process does at the same
 * pace then falls due at the same moments, and wakes it once: with a phase for each, hundreds of processes that have
 * nothing to do wake for little else. A timer that fired a little early has done its period: it would else fire again
 * for the rest of the millisecond, and everything that is repeated would be done twice.
 */
export function delayToNextPeriod (clock: Clock, periodMs: number): number {
  const leftMs = periodMs - clock.monotonic() % periodMs
  return leftMs > TIMER_EARLY_MS ? leftMs : leftMs + periodMs
}

/**
 * The same for all processes together, as far as their times of day agree: time until the next whole number of periods
 * of the day, and `offsetMs` after it. Messages that all send then arrive together and wake whoever hears them once; and
 * what is added up on the way to one of them can be sent in the order in which it is needed.
 */
export function delayToNextWallClockPeriod (clock: Clock, periodMs: number, offsetMs = 0): number {
  const leftMs = periodMs - (clock.now() - offsetMs) % periodMs
  return leftMs > TIMER_EARLY_MS ? leftMs : leftMs + periodMs
}

/** Runs `task` once in each `periodMs` milliseconds, never two at once, until `signal` aborts. */
export async function repeat (clock: Clock, periodMs: number, signal: AbortSignal, task: () => unknown): Promise<void> {
  while (!signal.aborted) {
    await task()
    await sleep(clock, delayToNextPeriod(clock, periodMs), signal)
  }
}

/** Marks a `withDeadline` that ran out. */
export const TIMED_OUT = Symbol('timed out')

/** Resolves to what `promise` resolves to, or to `TIMED_OUT` after `delayMs` milliseconds. */
export function withTimeout<T> (clock: Clock, delayMs: number, promise: Promise<T>): Promise<T | typeof TIMED_OUT> {
  return new Promise((resolve, reject) => {
    const cancel = clock.schedule(delayMs, () => resolve(TIMED_OUT))
    promise.then(
      value => {
        cancel()
        resolve(value)
      },
      (err: unknown) => {
        cancel()
        reject(err)
      }
    )
  })
}
