/**
 * Decides which members poll the platform's instance list, and when. The list grows with the fleet: if every
 * instance read it every second, each would receive a quarter of a megabyte a second at 420 instances and 940
 * engines. In a large fleet the members take turns, a few in each second, and notify the others of changes. The
 * number of calls then doesn't grow with the fleet, and each member's own turn makes up for lost notices.
 */
import * as v from 'valibot'
import { definePeerNotice } from '../members'
import type { MemberRecord } from '../members'
import { listedInstanceSchema } from '../store/instanceList'
import type { ListedInstance } from '../store'

/** Up to this many members, each polls for itself every second. */
export const MAX_MEMBERS_WITHOUT_TURNS = 16
/** Members that poll at the same time: several, so that the list is still read if one of them has terminated. */
const MEMBERS_PER_POLL = 3

/** How often the list is polled, by all members or by those whose turn it is, milliseconds. */
export const POLL_INTERVAL_MS = 1000

/** The difference between two successive readings of the list. */
export interface ListChange {
  /** Wall-clock time of the reading, Unix epoch milliseconds. */
  readAtMs: number
  changed: readonly ListedInstance[]
  /** Ids that are no longer listed. */
  gone: readonly string[]
}

export const listChangedNotice = definePeerNotice<ListChange>('backend.list-changed', v.object({ readAtMs: v.number(), changed: v.array(listedInstanceSchema), gone: v.array(v.string()) }))

/** Returns whether it is the member's turn to poll in the interval that contains `nowMs` (wall clock). */
export function isTurnToPoll (memberId: string, members: readonly MemberRecord[], nowMs: number): boolean {
  if (members.length <= MAX_MEMBERS_WITHOUT_TURNS) return true
  const turns = Math.ceil(members.length / MEMBERS_PER_POLL)
  const index = members.findIndex(member => member.id === memberId)
  return Math.floor(nowMs / POLL_INTERVAL_MS) % turns === index % turns
}

/** Returns the change that turns `before` into `after`. */
export function diffLists (before: readonly ListedInstance[], after: readonly ListedInstance[], readAtMs: number): ListChange {
  const known = new Map(before.map(instance => [instance.id, JSON.stringify(instance)]))
  const listedIds = new Set(after.map(instance => instance.id))
  return {
    readAtMs,
    changed: after.filter(instance => known.get(instance.id) !== JSON.stringify(instance)),
    gone: [...known.keys()].filter(id => !listedIds.has(id))
  }
}

export function isEmpty (change: ListChange): boolean {
  return change.changed.length === 0 && change.gone.length === 0
}

/** Returns `listed` with a change applied that another member found. Applying the same change twice has no further effect. */
export function applyChange (listed: readonly ListedInstance[], change: ListChange): ListedInstance[] {
  const replaced = new Set([...change.gone, ...change.changed.map(instance => instance.id)])
  return [...listed.filter(instance => !replaced.has(instance.id)), ...change.changed]
}
