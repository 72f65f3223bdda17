/**
 * The record of a team's spending that its home keeps in the store for the next home. A home may grant only what it has
 * reserved there beforehand, so that the record plus its reserve is never less than the actual spending.
 */
import { LEDGERS_PREFIX } from '../../constants'
import { parseJson } from '../../utils'
import type { SlidingWindowCounter } from './slidingWindowCounter'

export interface SpendingRecord {
  /** Incarnation of the process that wrote the record. */
  home: string
  /** Era of the store known to the writer. If the store is in a later one, records of later spending may have been lost. */
  era: number
  /** Units spent in each part of the window before the record was written, the latest first. */
  byAge: readonly number[]
  /** Units that may be granted until the next record, and that count as spent. */
  reserved: number
  /** The writer's wall clock, in Unix milliseconds; used only for logging, since wall clocks jump. */
  wallMs: number
}

/** Parts of the window in a record; the units of a part count as spent at its end. */
export const RECORD_PARTS = 16
/** Interval at which the record is updated while the window holds any spending, in milliseconds: one store call per team. */
export const RECORD_INTERVAL_MS = 2000

export const spendingKey = (team: string): string => `${LEDGERS_PREFIX}/spent/${team}`

/** Returns undefined if the text is not a record, since it is damaged or was written by something else. */
export function parseSpendingRecord (text: string): SpendingRecord | undefined {
  const read = parseJson(text) as Partial<SpendingRecord> | undefined
  const isRecord = typeof read?.home === 'string' && typeof read.era === 'number' && Array.isArray(read.byAge) && typeof read.reserved === 'number' && typeof read.wallMs === 'number'
  return isRecord ? read as SpendingRecord : undefined
}

/** Merges two incomplete counts of the same spending: the sum within each age is the larger of the two. */
export function mergeByAge (one: readonly number[], other: readonly number[]): number[] {
  const maxSums = sumsWithinAges(one).map((sum, part) => Math.max(sum, sumsWithinAges(other)[part]!))
  return maxSums.map((sum, part) => sum - (maxSums[part - 1] ?? 0))
}

/** Returns the cumulative spending within each age, the smallest age first. */
export function sumsWithinAges (byAge: readonly number[], reserved = 0): number[] {
  let sum = reserved
  return Array.from({ length: RECORD_PARTS }, (_, part) => {
    sum += byAge[part] ?? 0
    return sum
  })
}

/**
 * Counts a record as if it had just been written, since only wall clocks could show its age, and they jump. This costs a
 * team what would have left the window in the second or two that a restart takes.
 */
export function applyRecord (spending: SlidingWindowCounter, record: Pick<SpendingRecord, 'byAge' | 'reserved'>, windowMs: number, nowMs: number): void {
  record.byAge.forEach((amount, part) => { if (amount > 0) spending.record(amount, nowMs - part * windowMs / RECORD_PARTS) })
  if (record.reserved > 0) spending.record(record.reserved, nowMs)
}
