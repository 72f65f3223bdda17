/** A cell's part of what all engines share: loads at the weight store, and adapters in flight. */
import type { Clock } from '../clock'

export interface LoadLimiterOptions {
  clock: Clock
  /** At once, as of now. */
  maxConcurrent: () => number
  /** Begun a second, as of now; no limit when absent. */
  startsPerSecond?: () => number
}

export interface LoadLimiter {
  hasCapacity (): boolean
  acquire (): void
  release (): void
  /** Until a slot may be taken, as far as the rate tells; 0 for now. */
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
