/**
 * Computes how much of a home's spending the next home would count from the record in the store. The next home counts a
 * record as if it had just been written, since there is no clock that both could trust. So a home compares its spending
 * with its record by age: the spending of, say, the last second or the last five must not exceed what the record holds
 * for its own last second or five, plus its reserve. A team that spends at a steady rate is covered for as long as the
 * store is unreachable; one that starts to spend more is covered up to the reserve.
 */
import { sumsWithinAges } from './spendingRecord'
import type { SpendingRecord } from './spendingRecord'

export type CoveringRecord = Pick<SpendingRecord, 'byAge' | 'reserved'>

export interface RecordCoverage {
  /** Sets the one record that the next home will find in the store. */
  reset (record: CoveringRecord): void
  /** Adds a record that the next home may find instead of the ones before; the minimum of them covers. */
  add (record: CoveringRecord): void
  /** Returns how much more may be spent and still be counted by the next home; negative if more is spent than it would count. */
  remaining (byAge: readonly number[]): number
}

function countedByAge ({ byAge, reserved }: CoveringRecord): number[] {
  return sumsWithinAges(byAge, reserved)
}

export const NOTHING_RECORDED: CoveringRecord = { byAge: [], reserved: 0 }

export function createRecordCoverage (): RecordCoverage {
  let coveredByAge = countedByAge(NOTHING_RECORDED)
  return {
    reset: record => { coveredByAge = countedByAge(record) },
    add: record => {
      const counted = countedByAge(record)
      coveredByAge = coveredByAge.map((units, part) => Math.min(units, counted[part]!))
    },
    remaining: byAge => {
      const spent = countedByAge({ byAge, reserved: 0 })
      return Math.min(...coveredByAge.map((units, part) => units - spent[part]!))
    }
  }
}
