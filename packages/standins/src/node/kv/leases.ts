/**
 * Leases that expire by the clock.
 */
import type { CancelTimer, Clock } from 'magnoliabay/clock/index'
import { Err, Ok } from 'magnoliabay/result'
import type { Result } from 'magnoliabay/result'
import { NO_LEASE } from './types'
import type { KvError, KvLease } from './types'

export interface KvLeases {
  has (id: string): boolean
  attach (id: string, key: string): void
  detach (id: string, key: string): void
  grant (ttlSeconds: number, id?: string): Result<KvLease, KvError>
  renew (id: string): Result<KvLease, KvError>
  revoke (id: string): Result<void, KvError>
  list (): readonly KvLease[]
  snapshot (): KvLeasesSnapshot
  /** Restores a snapshot; each lease has the remaining time that it had when the snapshot was taken. */
  restore (snapshot: KvLeasesSnapshot): void
  /** Stops all timers. */
  close (): void
}

export interface KvLeasesSnapshot {
  nextId: number
  leases: ReadonlyArray<{ id: string, ttlSeconds: number, remainingMs: number, keys: readonly string[] }>
}

interface ActiveLease {
  id: string
  ttlSeconds: number
  deadlineMs: number
  keys: Set<string>
  cancelTimer: CancelTimer
}

const MS_PER_SECOND = 1000
const FIRST_LEASE_ID = 7_587_000_000_000_000
const NOT_FOUND: KvError = { kind: 'lease-not-found' }

/** Creates the set of leases; `onExpire` deletes the keys of a lease that has expired or was revoked. */
export function createKvLeases (clock: Clock, onExpire: (keys: readonly string[]) => void): KvLeases {
  const active = new Map<string, ActiveLease>()
  let nextId = FIRST_LEASE_ID

  const describe = (lease: ActiveLease): KvLease => ({
    id: lease.id,
    ttlSeconds: lease.ttlSeconds,
    secondsLeft: Math.max(0, Math.ceil((lease.deadlineMs - clock.monotonic()) / MS_PER_SECOND))
  })

  const endLease = (lease: ActiveLease): void => {
    active.delete(lease.id)
    lease.cancelTimer()
    onExpire([...lease.keys])
  }

  const scheduleExpiry = (lease: ActiveLease): CancelTimer => {
    const remainingMs = lease.deadlineMs - clock.monotonic()
    return clock.schedule(remainingMs, () => {
      // Renewals only move the deadline; the timer checks it when it fires.
      if (lease.deadlineMs <= clock.monotonic()) return endLease(lease)
      lease.cancelTimer = scheduleExpiry(lease)
    })
  }

  return {
    has: id => id === NO_LEASE || active.has(id),
    attach: (id, key) => { active.get(id)?.keys.add(key) },
    detach: (id, key) => { active.get(id)?.keys.delete(key) },
    grant: (ttlSeconds, requestedId) => {
      const id = requestedId ?? String(nextId++)
      if (active.has(id)) return Err({ kind: 'lease-exists' })
      const deadlineMs = clock.monotonic() + ttlSeconds * MS_PER_SECOND
      const lease: ActiveLease = { id, ttlSeconds, deadlineMs, keys: new Set(), cancelTimer: () => {} }
      active.set(id, lease)
      lease.cancelTimer = scheduleExpiry(lease)
      return Ok(describe(lease))
    },
    renew: id => {
      const lease = active.get(id)
      if (lease === undefined) return Err(NOT_FOUND)
      lease.deadlineMs = clock.monotonic() + lease.ttlSeconds * MS_PER_SECOND
      return Ok(describe(lease))
    },
    revoke: id => {
      const lease = active.get(id)
      if (lease === undefined) return Err(NOT_FOUND)
      endLease(lease)
      return Ok(undefined)
    },
    list: () => [...active.values()].map(describe),
    snapshot: () => ({
      nextId,
      leases: [...active.values()].map(({ id, ttlSeconds, deadlineMs, keys }) => ({ id, ttlSeconds, remainingMs: deadlineMs - clock.monotonic(), keys: [...keys] }))
    }),
    restore: snapshot => {
      active.forEach(lease => lease.cancelTimer())
      active.clear()
      nextId = snapshot.nextId
      snapshot.leases.forEach(({ id, ttlSeconds, remainingMs, keys }) => {
        const lease: ActiveLease = { id, ttlSeconds, deadlineMs: clock.monotonic() + remainingMs, keys: new Set(keys), cancelTimer: () => {} }
        active.set(id, lease)
        lease.cancelTimer = scheduleExpiry(lease)
      })
    },
    close: () => active.forEach(lease => lease.cancelTimer())
  }
}
