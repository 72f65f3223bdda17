/**
 * Runs jobs that share a limited number of full-speed slots: with more jobs than slots, all are proportionally slower.
 */
import type { CancelTimer, Clock } from 'magnoliabay/clock/index'

export interface SharedRateOptions {
  clock: Clock
  slots: number
  /** Current factor by which all jobs are slower; read whenever a job starts or ends. @default always 1 */
  slowdown?: () => number
}

export interface SharedRate {
  /** Resolves to true after `workMs` of work at full speed, or early to false when `signal` aborts. */
  run (workMs: number, signal?: AbortSignal): Promise<boolean>
  inFlight (): number
  /** Applies a changed slowdown at once. */
  refresh (): void
}

interface Job {
  /** Value of the progress counter at which the job is complete. */
  endProgressMs: number
  settle: (completed: boolean) => void
}

/** Tolerance for rounding errors of the progress counter, milliseconds of work. */
const PROGRESS_TOLERANCE_MS = 1e-6

export function createSharedRate (options: SharedRateOptions): SharedRate {
  const { clock, slots } = options
  const slowdown = options.slowdown ?? (() => 1)
  const jobs = new Set<Job>()
  let progressMs = 0
  let speed = 1
  let progressAtMs = clock.monotonic()
  let cancelTimer: CancelTimer = () => {}

  const refresh = (): void => {
    const nowMs = clock.monotonic()
    progressMs += (nowMs - progressAtMs) * speed
    progressAtMs = nowMs
    for (const job of [...jobs].filter(job => job.endProgressMs <= progressMs + PROGRESS_TOLERANCE_MS)) {
      jobs.delete(job)
      job.settle(true)
    }
    speed = Math.min(1, slots / Math.max(1, jobs.size)) / slowdown()
    cancelTimer()
    if (jobs.size === 0) return
    const next = Math.min(...[...jobs].map(job => job.endProgressMs))
    cancelTimer = clock.schedule(Math.ceil((next - progressMs) / speed), refresh)
  }

  return {
    refresh,
    inFlight: () => jobs.size,
    run: (workMs, signal) => new Promise(resolve => {
      refresh()
      const abort = (): void => {
        jobs.delete(job)
        refresh()
        resolve(false)
      }
      const settle = (completed: boolean): void => {
        signal?.removeEventListener('abort', abort)
        resolve(completed)
      }
      const job: Job = { endProgressMs: progressMs + workMs, settle }
      if (signal?.aborted) return resolve(false)
      signal?.addEventListener('abort', abort, { once: true })
      jobs.add(job)
      refresh()
    })
  }
}
