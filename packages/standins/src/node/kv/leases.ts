/**
 * Leases that lapse by the clock.
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
  copy (): KvLeasesSnapshot
  /** Goes on from a copy: its leases have as long to live as they had then. */
  setBack (copy: KvLeasesSnapshot): void
  /** Stops all timers. */
  close (): void
}

export interface KvLeasesSnapshot {
  nextId: number
  leases: ReadonlyArray<{ id: string, ttlSeconds: number, leftMs: number, keys: readonly string[] }>
}

interface HeldLease {
  id: string
  ttlSeconds: number
  deadlineMs: number
  keys: Set<string>
  cancelTimer: CancelTimer
}

const MS_PER_SECOND = 1000
const FIRST_LEASE_ID = 7_587_000_000_000_000
const NOT_FOUND: KvError = { kind: 'lease-not-found' }

/** `onLapse` deletes the keys of a lease that has ended. */
export function createKvLeases (clock: Clock, onLapse: (keys: readonly string[]) => void): KvLeases {
  const held = new Map<string, HeldLease>()
  let nextId = FIRST_LEASE_ID

  const describe = (lease: HeldLease): KvLease => ({
    id: lease.id,
    ttlSeconds: lease.ttlSeconds,
    secondsLeft: Math.max(0, Math.ceil((lease.deadlineMs - clock.monotonic()) / MS_PER_SECOND))
  })

  const end = (lease: HeldLease): void => {
    held.delete(lease.id)
    lease.cancelTimer()
    onLapse([...lease.keys])
  }

  const arm = (lease: HeldLease): CancelTimer => {
    const leftMs = lease.deadlineMs - clock.monotonic()
    return clock.schedule(leftMs, () => {
      // Renewals only move the deadline; the timer looks again when it fires.
      if (lease.deadlineMs <= clock.monotonic()) return end(lease)
      lease.cancelTimer = arm(lease)
    })
  }

  return {
    has: id => id === NO_LEASE || held.has(id),
    attach: (id, key) => { held.get(id)?.keys.add(key) },
    detach: (id, key) => { held.get(id)?.keys.delete(key) },
    grant: (ttlSeconds, wantedId) => {
      const id = wantedId ?? String(nextId++)
      if (held.has(id)) return Err({ kind: 'lease-exists' })
      const deadlineMs = clock.monotonic() + ttlSeconds * MS_PER_SECOND
      const lease: HeldLease = { id, ttlSeconds, deadlineMs, keys: new Set(), cancelTimer: () => {} }
      held.set(id, lease)
      lease.cancelTimer = arm(lease)
      return Ok(describe(lease))
    },
    renew: id => {
      const lease = held.get(id)
      if (lease === undefined) return Err(NOT_FOUND)
      lease.deadlineMs = clock.monotonic() + lease.ttlSeconds * MS_PER_SECOND
      return Ok(describe(lease))
    },
    revoke: id => {
      const lease = held.get(id)
      if (lease === undefined) return Err(NOT_FOUND)
      end(lease)
      return Ok(undefined)
    },
    list: () => [...held.values()].map(describe),
    copy: () => ({
      nextId,
      leases: [...held.values()].map(({ id, ttlSeconds, deadlineMs, keys }) => ({ id, ttlSeconds, leftMs: deadlineMs - clock.monotonic(), keys: [...keys] }))
    }),
    setBack: copy => {
      held.forEach(lease => lease.cancelTimer())
      held.clear()
      nextId = copy.nextId
      copy.leases.forEach(({ id, ttlSeconds, leftMs, keys }) => {
        const lease: HeldLease = { id, ttlSeconds, deadlineMs: clock.monotonic() + leftMs, keys: new Set(keys), cancelTimer: () => {} }
        held.set(id, lease)
        lease.cancelTimer = arm(lease)
      })
    },
    close: () => held.forEach(lease => lease.cancelTimer())
  }
}
