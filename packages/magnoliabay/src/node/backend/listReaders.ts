/**
 * Who reads the platform's list how often. The list is as long as the fleet, so that everybody reading it
 * every second costs a quarter of a megabyte a second for each instance at 420 instances and 940 engines.
 * In a large fleet a few instances read it often and tell the others what changed; everybody else still
 * reads it now and then, which mends whatever notice was lost.
 */
import { definePeerNotice } from '../members'
import type { MemberRecord } from '../members'
import type { ListedInstance } from '../platform'
import { rankByRendezvous } from '../utils'

/** Up to this many members everybody reads for itself. */
export const EVERYBODY_READS = 16
/** Readers in a large fleet, in different failure domains where there are as many. */
const READERS = 3

/** How often the list is read, milliseconds. */
export const READ_PERIOD_MS = 1000
export const SELDOM_PERIOD_MS = 30_000

/** What a reader saw change. */
export interface ListChange {
  changed: readonly ListedInstance[]
  /** Ids that are listed no more. */
  gone: readonly string[]
}

export const listChanged = definePeerNotice<ListChange>('backend.list-changed')

export function isReader (self: MemberRecord, members: readonly MemberRecord[]): boolean {
  if (members.length <= EVERYBODY_READS) return true
  const ranked = rankByRendezvous('instance-list', members.filter(member => !member.leaving), member => member.id)
  const firstOfDomain = ranked.filter((member, index) =>
    ranked.findIndex(other => other.failureDomain === member.failureDomain) === index)
  const readers = [...firstOfDomain, ...ranked.filter(member => !firstOfDomain.includes(member))].slice(0, READERS)
  return readers.some(member => member.id === self.id)
}

/** What makes `before` into `after`. */
export function differenceOf (before: readonly ListedInstance[], after: readonly ListedInstance[]): ListChange {
  const known = new Map(before.map(instance => [instance.id, JSON.stringify(instance)]))
  const kept = new Set(after.map(instance => instance.id))
  return {
    changed: after.filter(instance => known.get(instance.id) !== JSON.stringify(instance)),
    gone: [...known.keys()].filter(id => !kept.has(id))
  }
}

export function isEmpty (change: ListChange): boolean {
  return change.changed.length === 0 && change.gone.length === 0
}

/** `listed` with a change that another instance saw. Taking the same change twice does nothing. */
export function withChange (listed: readonly ListedInstance[], change: ListChange): ListedInstance[] {
  const replaced = new Set([...change.gone, ...change.changed.map(instance => instance.id)])
  return [...listed.filter(instance => !replaced.has(instance.id)), ...change.changed]
}
