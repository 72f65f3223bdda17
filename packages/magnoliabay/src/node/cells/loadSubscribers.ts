/**
 * Who is told the load of a cell's engines: the members that send requests there. Told to everybody, the
 * loads of 59 cells that change every two seconds would cost each of 420 members some 300 KB a second.
 */
import type { Clock } from '../clock'
import type { Peers } from '../members'
import { loadNotice } from './records'
import type { LoadNotice } from './records'

export interface LoadSubscribers {
  /** The member sends requests to the cell. One that is new is told at once what the others know. */
  subscribe (cell: string, memberId: string): void
  publish (notice: LoadNotice): void
}

/** Members report what they use every second; one that was not heard of for this long uses the cell no more. */
const SUBSCRIPTION_TTL_MS = 10_000

export function createLoadSubscribers (peers: Pick<Peers, 'notify'>, clock: Clock): LoadSubscribers {
  /** When each user of a cell was last heard of, monotonic milliseconds. */
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
