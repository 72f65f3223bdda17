/**
 * What a team has spent, as its home keeps it in the store for the home after it. A home may grant only what it has
 * reserved there beforehand, so that the record and its reserve are never less than what was really spent.
 */
import { LEDGERS_PREFIX } from '../../constants'
import { parseJson } from '../../utils'
import type { SlidingWindowCounter } from './slidingWindowCounter'

export interface SpendingRecord {
  /** The process that wrote it. */
  home: string
  /** Of the store, as far as its writer knew. Found in a later one, what was spent after it may have been lost. */
  era: number
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

export const spendingKey = (team: string): string => `${LEDGERS_PREFIX}/spent/${team}`

/** Undefined where the text is no record: another writer's, or damaged. */
export function readSpendingRecord (text: string): SpendingRecord | undefined {
  const read = parseJson(text) as Partial<SpendingRecord> | undefined
  const isRecord = typeof read?.home === 'string' && typeof read.era === 'number' && Array.isArray(read.byAge) && typeof read.reserved === 'number' && typeof read.wallMs === 'number'
  return isRecord ? read as SpendingRecord : undefined
}

/** The least that holds as much as either within each age: two counts of one spending, each of which may lack some of it. */
export function mergeByAge (one: readonly number[], other: readonly number[]): number[] {
  const most = sumsWithinAges(one).map((sum, part) => Math.max(sum, sumsWithinAges(other)[part]!))
  return most.map((sum, part) => sum - (most[part - 1] ?? 0))
}

/** What was spent within each age, the youngest first. */
export function sumsWithinAges (byAge: readonly number[], reserved = 0): number[] {
  let sum = reserved
  return Array.from({ length: RECORD_PARTS }, (_, part) => {
    sum += byAge[part] ?? 0
    return sum
  })
}

/**
 * Counts a record as if it had just been written: how long ago that was only clocks of the time of day could tell, and
 * they jump. It costs a team what its own rate frees in the second or two that a restart takes.
 */
export function countRecord (spending: SlidingWindowCounter, record: Pick<SpendingRecord, 'byAge' | 'reserved'>, windowMs: number, nowMs: number): void {
  record.byAge.forEach((amount, part) => { if (amount > 0) spending.note(amount, nowMs - part * windowMs / RECORD_PARTS) })
  if (record.reserved > 0) spending.note(record.reserved, nowMs)
}
