/**
 * Who is told the load of a cell's engines: the members that send requests there. Told to everybody, the
 * loads of 59 cells that change every two seconds would cost each of 420 members some 300 KB a second.
 */
import type { Clock } from '../clock'
import type { Peers } from '../members'
import { loadNotice } from './records'
import type { LoadNotice } from './records'

export interface Audience {
  /** The member sends requests to the cell. One that is new is told at once what the others know. */
  noteUser (cell: string, memberId: string): void
  tell (notice: LoadNotice): void
}

/** Members report what they use every second; one that was not heard of for this long uses the cell no more. */
const USER_MS = 10_000

export function createAudience (peers: Pick<Peers, 'notify'>, clock: Clock): Audience {
  /** When each user of a cell was last heard of, monotonic milliseconds. */
  const users = new Map<string, Map<string, number>>()
  const told = new Map<string, LoadNotice>()

  const usersOf = (cell: string): Map<string, number> => {
    const known = users.get(cell) ?? new Map<string, number>()
    users.set(cell, known)
    return known
  }
  const forgetStale = (known: Map<string, number>): void => {
    const stale = [...known].filter(([, atMs]) => clock.monotonic() - atMs > USER_MS)
    stale.forEach(([memberId]) => known.delete(memberId))
  }
  return {
    noteUser: (cell, memberId) => {
      const known = usersOf(cell)
      forgetStale(known)
      const last = told.get(cell)
      if (!known.has(memberId) && last !== undefined) peers.notify(memberId, loadNotice, last)
      known.set(memberId, clock.monotonic())
    },
    tell: notice => {
      told.set(notice.cell, notice)
      const known = usersOf(notice.cell)
      forgetStale(known)
      known.forEach((_atMs, memberId) => peers.notify(memberId, loadNotice, notice))
    }
  }
}
