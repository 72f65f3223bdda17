/**
 * Numbers of a store that may go on from an older copy of itself. It then gives the same revisions and lease numbers out
 * again, and only its era, which it tells with each answer, keeps the two apart. So a revision here is ordered over all
 * eras, and a lease's id names its era: what rests on an earlier one is known for what it is wherever it turns up.
 */

import type { Compare } from './store'

/** Far above any revision: at a thousand changes a second it is reached in thirty years. */
const REVISIONS_PER_ERA = 2 ** 40

/** 0, which stands for no revision, stays 0. */
export function toRevision (era: number, stored: number): number {
  return stored === 0 ? 0 : era * REVISIONS_PER_ERA + stored
}

/** Of a revision or of the time before any, 0. */
export function eraOfRevision (revision: number): number {
  return Math.floor(revision / REVISIONS_PER_ERA)
}

/** Of the revision that a condition names; undefined where it names none. */
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
