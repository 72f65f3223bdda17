/**
 * Who reads the platform's list when. The list is as long as the fleet, so that everybody reading it every
 * second costs a quarter of a megabyte a second for each instance at 420 instances and 940 engines. In a
 * large fleet the members take turns, a few in each second, and tell the others what changed. So the calls
 * don't grow with the fleet, and each member's own turn mends whatever notice was lost.
 */
import { definePeerNotice } from '../members'
import type { MemberRecord } from '../members'
import type { ListedInstance } from '../store'

/** Up to this many members everybody reads for itself. */
export const EVERYBODY_READS = 16
/** Members that read in the same second: one that has died must not leave a second without a reading. */
const READERS_AT_ONCE = 3

/** How often the list is read, by everybody or by those whose turn it is, milliseconds. */
export const READ_PERIOD_MS = 1000

/** What a reading differed in from the one before. */
export interface ListChange {
  /** Wall-clock time of the reading, Unix epoch milliseconds. */
  readAtMs: number
  changed: readonly ListedInstance[]
  /** Ids that are listed no more. */
  gone: readonly string[]
}

export const listChanged = definePeerNotice<ListChange>('backend.list-changed')

/** Whether it is the member's turn to read in the period that holds `nowMs` (wall clock). */
export function isTurnToRead (memberId: string, members: readonly MemberRecord[], nowMs: number): boolean {
  if (members.length <= EVERYBODY_READS) return true
  const turns = Math.ceil(members.length / READERS_AT_ONCE)
  const index = members.findIndex(member => member.id === memberId)
  return Math.floor(nowMs / READ_PERIOD_MS) % turns === index % turns
}

/** What makes `before` into `after`. */
export function differenceOf (before: readonly ListedInstance[], after: readonly ListedInstance[], readAtMs: number): ListChange {
  const known = new Map(before.map(instance => [instance.id, JSON.stringify(instance)]))
  const kept = new Set(after.map(instance => instance.id))
  return {
    readAtMs,
    changed: after.filter(instance => known.get(instance.id) !== JSON.stringify(instance)),
    gone: [...known.keys()].filter(id => !kept.has(id))
  }
}

export function isEmpty (change: ListChange): boolean {
  return change.changed.length === 0 && change.gone.length === 0
}

/** `listed` with a change that another member read. Taking the same change twice does nothing. */
export function withChange (listed: readonly ListedInstance[], change: ListChange): ListedInstance[] {
  const replaced = new Set([...change.gone, ...change.changed.map(instance => instance.id)])
  return [...listed.filter(instance => !replaced.has(instance.id)), ...change.changed]
}
