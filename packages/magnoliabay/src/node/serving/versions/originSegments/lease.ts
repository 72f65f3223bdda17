/** The lease under which segments are written: a new one every period, so that the store drops records that are no longer needed. */
import type { Clock } from '../../../clock'
import { Ok } from '../../../result'
import type { Result } from '../../../result'
import type { Store, StoreError } from '../../../store'
import { eraOfLease } from '../../../store/eras'
import { MAX_KEEP_MS } from './encoding'

/** Time for which records are written under one lease, milliseconds. */
const PERIOD_MS = 15_000
/** Covers the time that a write takes, milliseconds. */
const MARGIN_MS = 5000
const MS_PER_SECOND = 1000

export interface Lease {
  id: string
  /** The store's era in which it was granted. */
  era: number
  /** Until when its keys are there for certain, monotonic milliseconds. */
  expiresMs: number
}

export interface SegmentLeases {
  /** Returns a lease that lasts until `untilMs`, monotonic milliseconds, or for as long as leases may. */
  obtain (untilMs: number): Promise<Result<Lease, StoreError>>
  /** The lease of the last period. */
  current (): Lease | undefined
  /** The current lease has ended. */
  drop (): void
}

export interface SegmentLeasesOptions {
  store: Pick<Store, 'grantLease'>
  clock: Clock
}

export function createSegmentLeases ({ store, clock }: SegmentLeasesOptions): SegmentLeases {
  let lease: Lease | undefined
  let grantedMs = -Infinity
  const isUsable = ({ expiresMs }: Lease, untilMs: number): boolean => {
    if (clock.monotonic() - grantedMs >= PERIOD_MS) return false
    return expiresMs >= untilMs || expiresMs - grantedMs >= MAX_KEEP_MS
  }
  return {
    current: () => lease,
    drop: () => { lease = undefined },
    obtain: async untilMs => {
      if (lease !== undefined && isUsable(lease, untilMs)) return Ok(lease)
      const sentMs = clock.monotonic()
      const ttlMs = Math.min(MAX_KEEP_MS, Math.max(0, untilMs - sentMs) + PERIOD_MS + MARGIN_MS)
      const granted = await store.grantLease(Math.ceil(ttlMs / MS_PER_SECOND))
      if (granted.err) return granted
      grantedMs = sentMs
      lease = { id: granted.val, era: eraOfLease(granted.val), expiresMs: sentMs + ttlMs }
      return Ok(lease)
    }
  }
}
