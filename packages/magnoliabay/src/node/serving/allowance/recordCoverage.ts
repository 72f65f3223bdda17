/**
 * How much of what a home has spent the home after it would count, by the record that it finds in the store. The next
 * home counts a record as if just written, whenever that was: no clock that both could trust tells. So a home compares
 * what it has spent with what its record says, age by age: what is spent now must not exceed, in the last second or in
 * the last five, what the record holds for its own last second or five, and its reserve. A team that goes on as it did
 * is covered for as long as the store may be away; one that begins to spend more is so up to the reserve.
 */
import { sumsWithinAges } from './spendingRecord'
import type { SpendingRecord } from './spendingRecord'

export type CoveringRecord = Pick<SpendingRecord, 'byAge' | 'reserved'>

export interface RecordCover {
  /** The store has this record: the next home finds it. */
  reset (record: CoveringRecord): void
  /** The next home may find this record, or one of those before: the least of them is what covers. */
  add (record: CoveringRecord): void
  /** What may be spent now and still be counted by the next home; below 0 where more is spent than it would count. */
  left (byAge: readonly number[]): number
}

function countedWithin ({ byAge, reserved }: CoveringRecord): number[] {
  return sumsWithinAges(byAge, reserved)
}

export const NOTHING_RECORDED: CoveringRecord = { byAge: [], reserved: 0 }

export function createRecordCover (): RecordCover {
  let covered = countedWithin(NOTHING_RECORDED)
  return {
    reset: record => { covered = countedWithin(record) },
    add: record => {
      const counted = countedWithin(record)
      covered = covered.map((units, part) => Math.min(units, counted[part]!))
    },
    left: byAge => {
      const spent = countedWithin({ byAge, reserved: 0 })
      return Math.min(...covered.map((units, part) => units - spent[part]!))
    }
  }
}
