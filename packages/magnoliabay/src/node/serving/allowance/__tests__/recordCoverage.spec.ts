import { expect } from 'chai'
import { NOTHING_RECORDED, createRecordCover } from '../recordCoverage'

const ZEROS = Array.from({ length: 16 }, () => 0)
/** So much in each of the parts of a window that are named. */
const spentIn = (units: Record<number, number>): number[] => ZEROS.map((_, part) => units[part] ?? 0)

describe('what the record of a home covers', () => {
  const CASES = [
    { name: 'nothing, where there is no record', record: NOTHING_RECORDED, spent: spentIn({ 3: 40 }), left: -40 },
    { name: 'its reserve, just after it was written', record: { byAge: spentIn({ 0: 50, 8: 100 }), reserved: 30 }, spent: spentIn({ 0: 50, 8: 100 }), left: 30 },
    { name: 'less, by what was granted since', record: { byAge: spentIn({ 0: 50 }), reserved: 30 }, spent: spentIn({ 0: 70 }), left: 10 },
    { name: 'a team that goes on as it did, long after', record: { byAge: ZEROS.map(() => 10), reserved: 5 }, spent: ZEROS.map(() => 10), left: 5 },
    { name: 'no new spending by old: the next home lets that leave its window first', record: { byAge: spentIn({ 15: 100 }), reserved: 0 }, spent: spentIn({ 0: 100 }), left: -100 },
    { name: 'old spending by new', record: { byAge: spentIn({ 0: 100 }), reserved: 0 }, spent: spentIn({ 15: 100 }), left: 0 }
  ]
  CASES.forEach(({ name, record, spent, left }) => it(`is ${name}`, () => {
    const cover = createRecordCover()
    cover.reset(record)
    expect(cover.left(spent)).to.equal(left)
  }))

  /**
   * A team gets part of its allowance twice.
   * 1. A record is written and its answer lost. 2. The home does not know whether the next one finds it or the one
   * before. 3. Only what both cover is safe.
   */
  it('is the least of the records that the next home may find', () => {
    const cover = createRecordCover()
    cover.reset({ byAge: spentIn({ 0: 100 }), reserved: 0 })
    cover.add({ byAge: spentIn({ 8: 100 }), reserved: 50 })
    expect(cover.left(spentIn({ 0: 60 }))).to.equal(-10)
    cover.reset({ byAge: spentIn({ 8: 100 }), reserved: 80 })
    expect(cover.left(spentIn({ 0: 60 }))).to.equal(20)
  })
})
