/** Limits loads by concurrency and by rate: a cell's share of weight store loads, and of adapter loads in flight. */
import type { Clock } from '../clock'

export interface LoadLimiterOptions {
  clock: Clock
  /** Current limit of concurrent loads. */
  maxConcurrent: () => number
  /** Current limit of loads started per second. No limit when absent. */
  startsPerSecond?: () => number
}

export interface LoadLimiter {
  hasCapacity (): boolean
  acquire (): void
  release (): void
  /** Time until the rate limit allows a load, milliseconds. 0 when it allows one now. */
  waitMs (): number
  inUse (): number
}

const MS_PER_SECOND = 1000

export function createLoadLimiter (options: LoadLimiterOptions): LoadLimiter {
  const { clock, maxConcurrent, startsPerSecond } = options
  let inUse = 0
  let lastStartMs = -Infinity
  const waitMs = (): number => {
    const spacingMs = startsPerSecond === undefined ? 0 : MS_PER_SECOND / startsPerSecond()
    return Math.max(0, lastStartMs + spacingMs - clock.monotonic())
  }
  return {
    waitMs,
    inUse: () => inUse,
    hasCapacity: () => inUse < maxConcurrent() && waitMs() === 0,
    acquire: () => {
      inUse += 1
      lastStartMs = clock.monotonic()
    },
    release: () => { inUse = Math.max(0, inUse - 1) }
  }
}
