import { expect } from 'chai'
import { NOTHING_RECORDED, createRecordCoverage } from '../recordCoverage'

const ZEROS = Array.from({ length: 16 }, () => 0)
/** Units by part of the window; 0 in the parts that are not given. */
const spentIn = (units: Record<number, number>): number[] => ZEROS.map((_, part) => units[part] ?? 0)

describe('coverage of a home\'s record', () => {
  const CASES = [
    { name: 'nothing without a record', record: NOTHING_RECORDED, spent: spentIn({ 3: 40 }), left: -40 },
    { name: 'its reserve just after it was written', record: { byAge: spentIn({ 0: 50, 8: 100 }), reserved: 30 }, spent: spentIn({ 0: 50, 8: 100 }), left: 30 },
    { name: 'less by the amount granted since', record: { byAge: spentIn({ 0: 50 }), reserved: 30 }, spent: spentIn({ 0: 70 }), left: 10 },
    { name: 'the steady spending of a team long after it was written', record: { byAge: ZEROS.map(() => 10), reserved: 5 }, spent: ZEROS.map(() => 10), left: 5 },
    { name: 'no new spending by old spending, which leaves the next home\'s window first', record: { byAge: spentIn({ 15: 100 }), reserved: 0 }, spent: spentIn({ 0: 100 }), left: -100 },
    { name: 'old spending by new spending', record: { byAge: spentIn({ 0: 100 }), reserved: 0 }, spent: spentIn({ 15: 100 }), left: 0 }
  ]
  CASES.forEach(({ name, record, spent, left }) => it(`is ${name}`, () => {
    const cover = createRecordCoverage()
    cover.reset(record)
    expect(cover.remaining(spent)).to.equal(left)
  }))

  /**
   * Guards against granting part of an allowance twice: a record is written and its response lost, so the home does not
   * know whether the next home finds it or the previous record. Only what both cover is safe.
   */
  it('is the minimum over the records that the next home may find', () => {
    const cover = createRecordCoverage()
    cover.reset({ byAge: spentIn({ 0: 100 }), reserved: 0 })
    cover.add({ byAge: spentIn({ 8: 100 }), reserved: 50 })
    expect(cover.remaining(spentIn({ 0: 60 }))).to.equal(-10)
    cover.reset({ byAge: spentIn({ 8: 100 }), reserved: 80 })
    expect(cover.remaining(spentIn({ 0: 60 }))).to.equal(20)
  })
})
