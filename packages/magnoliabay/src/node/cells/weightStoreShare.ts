/**
 * Shares the capacity of the weight store among cells. The member that leads the first cell tracks which cells load at
 * the moment, and allocates an equal share to each of them; a cell that loads alone gets all. Exceeding the capacity
 * breaks nothing, it only slows all loads, so shares need neither agreement nor proof, only an expiry.
 */
import * as v from 'valibot'
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { definePeerCall } from '../members'

export interface StoreShare {
  /** Concurrent loads. */
  slots: number
  /** Loads started per second. */
  perSecond: number
}

export const storeShareCall = definePeerCall<string, StoreShare>('cells.store-share', { req: v.string(), res: v.object({ slots: v.number(), perSecond: v.number() }) })

/** A share expires after this time. A cell without a request for this long counts as not loading. */
const SHARE_TTL_MS = 5000
/** Interval at which a cell that loads requests its share. */
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
  /** The share that applies now. */
  current (): StoreShare
  /** Records that the cell loads or has loads waiting. Requests a new share when one is due. */
  recordDemand (): void
}

export interface StoreShareClientOptions {
  clock: Clock
  cells: number
  capacity: () => StoreShare
  /** Requests a share. Undefined when the allocator did not answer. */
  request: () => Promise<StoreShare | undefined>
}

/** Without an answer a cell uses an equal share among all cells, but at least one concurrent load. */
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
      if (cells > 1 && clock.monotonic() >= nextRequestMs) inBackground('refresh-store-share', refresh())
    }
  }
}
