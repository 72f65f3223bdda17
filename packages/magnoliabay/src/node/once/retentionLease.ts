/**
 * The lease that claims hang on: one for all that are written within a period, never renewed, so that the
 * store itself forgets them when their time has run out.
 */
import type { Clock } from '../clock'
import type { Store, StoreError } from '../store'
import { Ok } from '../result'
import type { Result } from '../result'

export interface RetentionLeaseOptions {
  store: Pick<Store, 'grantLease'>
  clock: Clock
  /** Shortest time that a claim is kept, seconds. */
  retentionSeconds: number
}

export interface RetentionLease {
  current (): Promise<Result<string, StoreError>>
  /** The store doesn't know it any more: the next call gets another. */
  invalidate (leaseId: string): void
}

/** Share of the retention for which one lease takes new claims; the lease lasts longer by as much. */
const PERIOD_SHARE = 1 / 24
const MS_PER_SECOND = 1000

export function createRetentionLease (options: RetentionLeaseOptions): RetentionLease {
  const { store, clock, retentionSeconds } = options
  const periodSeconds = Math.max(1, Math.ceil(retentionSeconds * PERIOD_SHARE))
  let held: { id: string, untilMs: number } | undefined
  let asking: Promise<Result<string, StoreError>> | undefined

  const grant = async (): Promise<Result<string, StoreError>> => {
    const grantedMs = clock.monotonic()
    const granted = await store.grantLease(retentionSeconds + periodSeconds)
    asking = undefined
    if (granted.ok) held = { id: granted.val, untilMs: grantedMs + periodSeconds * MS_PER_SECOND }
    return granted
  }
  return {
    current: async () => {
      if (held !== undefined && clock.monotonic() < held.untilMs) return Ok(held.id)
      asking ??= grant()
      return await asking
    },
    invalidate: leaseId => { if (held?.id === leaseId) held = undefined }
  }
}
