/**
 * A cell's share of what all engines share: loads at the weight store, and adapters in flight. Going over it
 * breaks nothing, but makes everybody's loads slower; so the share is fixed by the number of cells and needs
 * no talk between them.
 */
import type { Clock } from '../clock'

export interface SlotsOptions {
  clock: Clock
  /** At once. */
  slots: number
  /** Begun a second; no limit when absent. */
  perSecond?: number
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
  const { clock, slots, perSecond } = options
  const spacingMs = perSecond === undefined ? 0 : MS_PER_SECOND / perSecond
  let inUse = 0
  let nextStartMs = clock.monotonic()
  const waitMs = (): number => Math.max(0, nextStartMs - clock.monotonic())
  return {
    waitMs,
    inUse: () => inUse,
    isFree: () => inUse < slots && waitMs() === 0,
    take: () => {
      inUse += 1
      nextStartMs = Math.max(clock.monotonic(), nextStartMs) + spacingMs
    },
    release: () => { inUse = Math.max(0, inUse - 1) }
  }
}

/** Share of cell number `index` of `total`, at least one. */
export function shareOfSlots (total: number, cells: number, index: number): number {
  const share = Math.floor(total / cells) + (index < total % cells ? 1 : 0)
  return Math.max(1, share)
}
