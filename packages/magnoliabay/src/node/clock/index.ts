/**
 * Interface for time and timers, so that tests can run all code under a clock that they advance themselves.
 */
import { runGuarded, runStep } from '../background'

/** Cancels a pending callback. Calling it twice is harmless. */
export type CancelTimer = () => void

export interface Clock {
  /** Wall-clock time in milliseconds since the Unix epoch. May be stepped; never use it to measure a duration. */
  now (): number
  /** Monotonic time in milliseconds from an arbitrary origin. Never steps back. */
  monotonic (): number
  /** Runs `callback` once after `delayMs` milliseconds. */
  schedule (delayMs: number, callback: () => void): CancelTimer
}

/** Longest delay of the runtime's timers; one above it fires at once. */
export const MAX_TIMER_DELAY_MS = 2_147_483_647

/**
 * Runs a callback after a delay of any length: one that a timer of the runtime cannot hold is split over several. Delays come from
 * configurations, servers and callers. The runtime takes one that is too long for 1 ms, so that a request with a timeout of a
 * month would end as it arrives.
 *
 * @param setTimer sets one timer of the runtime
 */
export function scheduleAnyDelay (setTimer: Clock['schedule'], delayMs: number, callback: () => void): CancelTimer {
  // Also true for NaN, for which the runtime fires at once.
  if (!(delayMs > MAX_TIMER_DELAY_MS)) return setTimer(delayMs, callback)
  let cancel = setTimer(MAX_TIMER_DELAY_MS, () => { cancel = scheduleAnyDelay(setTimer, delayMs - MAX_TIMER_DELAY_MS, callback) })
  return () => cancel()
}

/** Creates the clock of the running process; `onTimer` is called whenever a timer fires. */
export function createSystemClock (onTimer: () => void = () => {}): Clock {
  const setTimer: Clock['schedule'] = (delayMs, callback) => {
    const timer = setTimeout(() => {
      onTimer()
      runGuarded('timer', callback)
    }, delayMs)
    return () => clearTimeout(timer)
  }
  return {
    now: () => Date.now(),
    monotonic: () => performance.now(),
    schedule: (delayMs, callback) => scheduleAnyDelay(setTimer, delayMs, callback)
  }
}

/**
 * Resolves after `delayMs` milliseconds, or at once when one of `signals` aborts. Never rejects. It takes several signals,
 * since `AbortSignal.any` on Node.js 20 leaves an entry in each of its sources that stays as long as the source exists.
 */
export function sleep (clock: Clock, delayMs: number, ...signals: ReadonlyArray<AbortSignal | undefined>): Promise<void> {
  return new Promise(resolve => {
    if (signals.some(signal => signal?.aborted)) return resolve()
    const end = (): void => {
      cancel()
      signals.forEach(signal => signal?.removeEventListener('abort', end))
      resolve()
    }
    const cancel = clock.schedule(delayMs, end)
    signals.forEach(signal => signal?.addEventListener('abort', end, { once: true }))
  })
}

/** Timers of the runtime count whole milliseconds, and may fire early by up to this much. */
const MAX_TIMER_EARLY_MS = 1.5

/**
 * Returns the time until the next whole number of periods since the clock's origin, milliseconds. All tasks of one
 * period in a process then run at the same moments and wake the process once; if each had its own phase, most wake-ups
 * of hundreds of idle processes would be due to such tasks. A timer that fired slightly early counts as the one for its
 * period: it would otherwise fire again for the rest of the millisecond, and every repeated task would run twice.
 */
export function delayToNextPeriod (clock: Clock, periodMs: number): number {
  const remainingMs = periodMs - clock.monotonic() % periodMs
  return remainingMs > MAX_TIMER_EARLY_MS ? remainingMs : remainingMs + periodMs
}

/**
 * Like {@link delayToNextPeriod}, but aligned across processes, as far as their wall clocks agree: returns the time
 * until `offsetMs` after a whole number of periods since the Unix epoch. Messages that all processes send then arrive
 * together and wake their receiver once. With different offsets, processes that aggregate messages on the way send after
 * those whose messages they aggregate.
 */
export function delayToNextWallClockPeriod (clock: Clock, periodMs: number, offsetMs = 0): number {
  const remainingMs = periodMs - (clock.now() - offsetMs) % periodMs
  return remainingMs > MAX_TIMER_EARLY_MS ? remainingMs : remainingMs + periodMs
}

/** Runs `task` once every `periodMs` milliseconds, never twice at the same time, until `signal` aborts. Reports its faults. */
export async function repeat (clock: Clock, periodMs: number, signal: AbortSignal, task: () => unknown): Promise<void> {
  while (!signal.aborted) {
    await runStep(task.name || 'repeated-task', task)
    await sleep(clock, delayToNextPeriod(clock, periodMs), signal)
  }
}

/** The result of a `withTimeout` whose time ran out. */
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
