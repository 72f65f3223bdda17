/**
 * How the cells share what the weight store gives. The steward of the first cell keeps account of which cells load
 * at the moment, and gives each of them an equal part; a cell that is alone gets all. Going over the whole breaks
 * nothing, it only makes everybody's loads slower, so parts need neither agreement nor proof, only an end.
 */
import type { Clock } from '../clock'
import { definePeerCall } from '../members'

export interface StoreShare {
  /** Loads at once. */
  slots: number
  /** Loads begun a second. */
  perSecond: number
}

export const storeShareCall = definePeerCall<string, StoreShare>('cells.store-share')

/** A cell that has not asked for this long loads nothing. */
const ACTIVE_MS = 5000
/** How often a cell that loads asks for its part. */
const ASK_PERIOD_MS = 1000

export interface ShareKeeper {
  shareOf (cell: string): StoreShare
}

export function createShareKeeper (clock: Clock, total: () => StoreShare): ShareKeeper {
  const askedMs = new Map<string, number>()
  return {
    shareOf: cell => {
      askedMs.set(cell, clock.monotonic())
      const active = [...askedMs.values()].filter(atMs => clock.monotonic() - atMs <= ACTIVE_MS).length
      const { slots, perSecond } = total()
      return { slots: Math.max(1, Math.floor(slots / active)), perSecond: perSecond / active }
    }
  }
}

export interface ShareHolder {
  /** The part to go by now. */
  current (): StoreShare
  /** The cell loads, or would like to. */
  noteWanting (): void
}

export interface ShareHolderOptions {
  clock: Clock
  cells: number
  total: () => StoreShare
  /** Undefined when the keeper did not answer. */
  ask: () => Promise<StoreShare | undefined>
}

/** Without an answer a cell takes an equal part of all cells, but one load at least. */
export function createShareHolder (options: ShareHolderOptions): ShareHolder {
  const { clock, cells, total } = options
  let granted: StoreShare | undefined
  let grantedMs = -Infinity
  let nextAskMs = -Infinity
  const least = (): StoreShare => ({ slots: Math.max(1, Math.floor(total().slots / cells)), perSecond: total().perSecond / cells })
  const ask = async (): Promise<void> => {
    nextAskMs = clock.monotonic() + ASK_PERIOD_MS
    granted = await options.ask()
    if (granted !== undefined) grantedMs = clock.monotonic()
  }
  return {
    current: () => {
      if (cells === 1) return total()
      return granted !== undefined && clock.monotonic() - grantedMs <= ACTIVE_MS ? granted : least()
    },
    noteWanting: () => {
      if (cells > 1 && clock.monotonic() >= nextAskMs) ask()
    }
  }
}
