/**
 * Leases that claims are attached to. All claims written within a period share one lease, which is never
 * renewed, so that the store deletes them when it expires.
 */
import type { Clock } from '../clock'
import type { Store, StoreError } from '../store'
import { Ok } from '../result'
import type { Result } from '../result'

export interface RetentionLeaseOptions {
  store: Pick<Store, 'grantLease'>
  clock: Clock
  /** Minimum time for which a claim is kept, seconds. */
  retentionSeconds: number
}

export interface RetentionLease {
  current (): Promise<Result<string, StoreError>>
  /** Discards a lease that the store no longer knows; the next call of `current` gets a new one. */
  invalidate (leaseId: string): void
}

/** Fraction of the retention for which a lease accepts new claims; its TTL is longer by the same amount. */
const ISSUE_PERIOD_RATIO = 1 / 24
const MS_PER_SECOND = 1000

export function createRetentionLease (options: RetentionLeaseOptions): RetentionLease {
  const { store, clock, retentionSeconds } = options
  const issuePeriodSeconds = Math.max(1, Math.ceil(retentionSeconds * ISSUE_PERIOD_RATIO))
  let currentLease: { id: string, issueUntilMs: number } | undefined
  let pendingGrant: Promise<Result<string, StoreError>> | undefined

  const grant = async (): Promise<Result<string, StoreError>> => {
    const requestedAtMs = clock.monotonic()
    const granted = await store.grantLease(retentionSeconds + issuePeriodSeconds)
    pendingGrant = undefined
    if (granted.ok) currentLease = { id: granted.val, issueUntilMs: requestedAtMs + issuePeriodSeconds * MS_PER_SECOND }
    return granted
  }
  return {
    current: async () => {
      if (currentLease !== undefined && clock.monotonic() < currentLease.issueUntilMs) return Ok(currentLease.id)
      pendingGrant ??= grant()
      return await pendingGrant
    },
    invalidate: leaseId => { if (currentLease?.id === leaseId) currentLease = undefined }
  }
}
