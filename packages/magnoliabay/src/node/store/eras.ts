/**
 * Revisions and lease ids of a store that may be restored from an older copy. After a restore it assigns the same
 * revisions and lease numbers again; only its era, which each response contains, distinguishes them. Revisions here
 * include the era and are ordered over all eras, and a lease id names its era, so that a value from an earlier era
 * is recognised everywhere.
 */

import type { Compare } from './store'

/** Above any revision of one era: 1000 changes per second reach it after about 30 years. */
const REVISIONS_PER_ERA = 2 ** 40

/** Combines era and stored revision. 0, which means no revision, stays 0. */
export function toRevision (era: number, stored: number): number {
  return stored === 0 ? 0 : era * REVISIONS_PER_ERA + stored
}

/** Returns the era of a revision; 0 for revision 0, which means none. */
export function eraOfRevision (revision: number): number {
  return Math.floor(revision / REVISIONS_PER_ERA)
}

/** Returns the era of the revision that a compare names; undefined if it names none. */
export function eraOfCompare ({ target, equals }: Compare): number | undefined {
  return target === 'value' || typeof equals !== 'number' || equals === 0 ? undefined : eraOfRevision(equals)
}

export function toStoredRevision (revision: number): number {
  return revision % REVISIONS_PER_ERA
}

export function toLeaseId (era: number, stored: number): string {
  return stored === 0 || era === 0 ? String(stored) : `${era}.${stored}`
}

export function eraOfLease (leaseId: string): number {
  return leaseId.includes('.') ? Number(leaseId.split('.')[0]) : 0
}

export function toStoredLeaseId (leaseId: string): number {
  return Number(leaseId.split('.').at(-1))
}
