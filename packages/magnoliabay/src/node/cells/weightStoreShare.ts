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
const SHARE_TTL_MS = 5000
/** How often a cell that loads asks for its part. */
const SHARE_REQUEST_INTERVAL_MS = 1000

export interface StoreShareAllocator {
  allocate (cell: string): StoreShare
}

export function createStoreShareAllocator (clock: Clock, capacity: () => StoreShare): StoreShareAllocator {
  const requestedAtMs = new Map<string, number>()
  return {
    allocate: cell => {
      requestedAtMs.set(cell, clock.monotonic())
      const active = [...requestedAtMs.values()].filter(atMs => clock.monotonic() - atMs <= SHARE_TTL_MS).length
      const { slots, perSecond } = capacity()
      return { slots: Math.max(1, Math.floor(slots / active)), perSecond: perSecond / active }
    }
  }
}

export interface StoreShareClient {
  /** The part to go by now. */
  current (): StoreShare
  /** The cell loads, or would like to. */
  recordDemand (): void
}

export interface StoreShareClientOptions {
  clock: Clock
  cells: number
  capacity: () => StoreShare
  /** Undefined when the keeper did not answer. */
  request: () => Promise<StoreShare | undefined>
}

/** Without an answer a cell takes an equal part of all cells, but one load at least. */
export function createStoreShareClient (options: StoreShareClientOptions): StoreShareClient {
  const { clock, cells, capacity } = options
  let granted: StoreShare | undefined
  let grantedAtMs = -Infinity
  let nextRequestMs = -Infinity
  const fallbackShare = (): StoreShare => ({ slots: Math.max(1, Math.floor(capacity().slots / cells)), perSecond: capacity().perSecond / cells })
  const refresh = async (): Promise<void> => {
    nextRequestMs = clock.monotonic() + SHARE_REQUEST_INTERVAL_MS
    granted = await options.request()
    if (granted !== undefined) grantedAtMs = clock.monotonic()
  }
  return {
    current: () => {
      if (cells === 1) return capacity()
      return granted !== undefined && clock.monotonic() - grantedAtMs <= SHARE_TTL_MS ? granted : fallbackShare()
    },
    recordDemand: () => {
      if (cells > 1 && clock.monotonic() >= nextRequestMs) refresh()
    }
  }
}
