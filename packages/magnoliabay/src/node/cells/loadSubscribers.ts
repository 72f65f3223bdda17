/**
 * Publishes the load of a cell's engines to the members that send requests there. If all members got it, the
 * loads of 59 cells that change every two seconds would cost each of 420 members some 300 KB per second.
 */
import type { Clock } from '../clock'
import type { Peers } from '../members'
import { loadNotice } from './records'
import type { LoadNotice } from './records'

export interface LoadSubscribers {
  /** Subscribes a member that sends requests to the cell, or renews it. A new subscriber gets the last notice at once. */
  subscribe (cell: string, memberId: string): void
  publish (notice: LoadNotice): void
}

/** Members report their use every second. One without a report for this long no longer uses the cell. */
const SUBSCRIPTION_TTL_MS = 10_000

export function createLoadSubscribers (peers: Pick<Peers, 'notify'>, clock: Clock): LoadSubscribers {
  /** Time of the last report of each subscriber, by cell and member, monotonic milliseconds. */
  const subscribers = new Map<string, Map<string, number>>()
  const lastNotices = new Map<string, LoadNotice>()

  const subscribersOf = (cell: string): Map<string, number> => {
    const known = subscribers.get(cell) ?? new Map<string, number>()
    subscribers.set(cell, known)
    return known
  }
  const removeExpired = (known: Map<string, number>): void => {
    const expired = [...known].filter(([, atMs]) => clock.monotonic() - atMs > SUBSCRIPTION_TTL_MS)
    expired.forEach(([memberId]) => known.delete(memberId))
  }
  return {
    subscribe: (cell, memberId) => {
      const known = subscribersOf(cell)
      removeExpired(known)
      const lastNotice = lastNotices.get(cell)
      if (!known.has(memberId) && lastNotice !== undefined) peers.notify(memberId, loadNotice, lastNotice)
      known.set(memberId, clock.monotonic())
    },
    publish: notice => {
      lastNotices.set(notice.cell, notice)
      const known = subscribersOf(notice.cell)
      removeExpired(known)
      known.forEach((_atMs, memberId) => peers.notify(memberId, loadNotice, notice))
    }
  }
}
