/**
 * Jobs that share a limited number of full-speed slots: with more jobs than slots, all run proportionally slower.
 */
import type { CancelTimer, Clock } from 'magnoliabay/clock/index'

export interface SharedRateOptions {
  clock: Clock
  slots: number
  /** Factor by which everything is slower now; read whenever jobs come or go. @default always 1 */
  slowdown?: () => number
}

export interface SharedRate {
  /** Resolves after `workMs` of work at full speed, or early with false when `signal` aborts. */
  run (workMs: number, signal?: AbortSignal): Promise<boolean>
  inFlight (): number
  /** Takes a changed slowdown into account at once. */
  refresh (): void
}

interface Job {
  /** Progress counter at which the job is done. */
  doneAt: number
  settle: (completed: boolean) => void
}

/** Progress lost to rounding, milliseconds of work. */
const TOLERANCE_MS = 1e-6

export function createSharedRate (options: SharedRateOptions): SharedRate {
  const { clock, slots } = options
  const slowdown = options.slowdown ?? (() => 1)
  const jobs = new Set<Job>()
  let progress = 0
  let speed = 1
  let sinceMs = clock.monotonic()
  let cancelTimer: CancelTimer = () => {}

  const refresh = (): void => {
    const nowMs = clock.monotonic()
    progress += (nowMs - sinceMs) * speed
    sinceMs = nowMs
    for (const job of [...jobs].filter(job => job.doneAt <= progress + TOLERANCE_MS)) {
      jobs.delete(job)
      job.settle(true)
    }
    speed = Math.min(1, slots / Math.max(1, jobs.size)) / slowdown()
    cancelTimer()
    if (jobs.size === 0) return
    const next = Math.min(...[...jobs].map(job => job.doneAt))
    cancelTimer = clock.schedule(Math.ceil((next - progress) / speed), refresh)
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
      const job: Job = { doneAt: progress + workMs, settle }
      if (signal?.aborted) return resolve(false)
      signal?.addEventListener('abort', abort, { once: true })
      jobs.add(job)
      refresh()
    })
  }
}
