/** A cell's part of what all engines share: loads at the weight store, and adapters in flight. */
import type { Clock } from '../clock'

export interface SlotsOptions {
  clock: Clock
  /** At once, as of now. */
  limit: () => number
  /** Begun a second, as of now; no limit when absent. */
  perSecond?: () => number
}

export interface Slots {
  isFree (): boolean
  take (): void
  release (): void
  /** Until a slot may be taken, as far as the rate tells; 0 for now. */
  waitMs (): number
  inUse (): number
}

const MS_PER_SECOND = 1000

export function createSlots (options: SlotsOptions): Slots {
  const { clock, limit, perSecond } = options
  let inUse = 0
  let lastStartMs = -Infinity
  const waitMs = (): number => {
    const spacingMs = perSecond === undefined ? 0 : MS_PER_SECOND / perSecond()
    return Math.max(0, lastStartMs + spacingMs - clock.monotonic())
  }
  return {
    waitMs,
    inUse: () => inUse,
    isFree: () => inUse < limit() && waitMs() === 0,
    take: () => {
      inUse += 1
      lastStartMs = clock.monotonic()
    },
    release: () => { inUse = Math.max(0, inUse - 1) }
  }
}
