/**
 * What a team has spent, as its home keeps it in the store for the home after it. A home may grant only what it has
 * reserved there beforehand, so that the record and its reserve are never less than what was really spent.
 */
import { STORE_LEDGERS } from '../../constants'
import { parseJson } from '../../utils'
import type { Spending } from './spending'

export interface SpendingRecord {
  /** The process that wrote it. */
  home: string
  /** Spent in each part of the window before it was written, the latest first. */
  byAge: readonly number[]
  /** What may be granted until the next record, and counts as spent. */
  reserved: number
  /** The writer's time of day, Unix milliseconds; for the log alone, since such clocks jump. */
  wallMs: number
}

/** Parts of the window in a record; each counts as spent at its latest moment. */
export const RECORD_PARTS = 16
/** While anything spent is in the window, the record is brought up to date this often: one call of the store for each team, milliseconds. */
export const RECORD_PERIOD_MS = 2000

export const spendingKey = (team: string): string => `${STORE_LEDGERS}/spent/${team}`

/** Undefined where the text is no record: another writer's, or damaged. */
export function readSpendingRecord (text: string): SpendingRecord | undefined {
  const read = parseJson(text) as Partial<SpendingRecord> | undefined
  const isRecord = typeof read?.home === 'string' && Array.isArray(read.byAge) && typeof read.reserved === 'number' && typeof read.wallMs === 'number'
  return isRecord ? read as SpendingRecord : undefined
}

/**
 * Counts a record as if it had just been written: how long ago that was only clocks of the time of day could tell, and
 * they jump. It costs a team what its own rate frees in the second or two that a restart takes.
 */
export function countRecord (spending: Spending, record: SpendingRecord, windowMs: number, nowMs: number): void {
  record.byAge.forEach((amount, part) => { if (amount > 0) spending.note(amount, nowMs - part * windowMs / RECORD_PARTS) })
  if (record.reserved > 0) spending.note(record.reserved, nowMs)
}
