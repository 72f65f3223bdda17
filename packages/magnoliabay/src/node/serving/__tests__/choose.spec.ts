import { createRandom } from '@magnoliabay/standins'
import { expect } from 'chai'
import { chooseServer, sampleCandidates } from '../choose'
import type { Candidate } from '../choose'

const candidate = (id: string, changes: Partial<Candidate> = {}): Candidate => ({ id, load: 0, slots: 6, isNear: false, failureRate: 0, isSilent: false, ...changes })

describe('which backend server gets a request', () => {
  const CASES: Array<[string, Candidate[], string | undefined]> = [
    ['the least loaded', [candidate('a', { load: 3 }), candidate('b', { load: 1 })], 'b'],
    ['by its part of slots, not by number', [candidate('a', { load: 3, slots: 64 }), candidate('b', { load: 1 })], 'a'],
    ['the near one of equals', [candidate('a'), candidate('b', { isNear: true })], 'b'],
    ['a far one rather than a near queue', [candidate('a', { load: 2 }), candidate('b', { isNear: true, load: 5 })], 'a'],
    ['a sound one rather than one that fails', [candidate('a', { failureRate: 1.5 }), candidate('b', { load: 4 })], 'b'],
    ['any rather than one that is silent', [candidate('a', { isSilent: true }), candidate('b', { load: 6, failureRate: 2 })], 'b'],
    ['a silent one when there is no other', [candidate('a', { isSilent: true })], 'a'],
    ['nobody of none', [], undefined]
  ]
  CASES.forEach(([name, candidates, expected]) => it(`is ${name}`, () => {
    expect(chooseServer(candidates, 0)?.id).to.equal(expected)
  }))

  it('spreads equal ones', () => {
    const equals = ['a', 'b', 'c'].map(id => candidate(id))
    expect([0, 0.4, 0.99].map(tie => chooseServer(equals, tie)?.id)).to.deep.equal(['a', 'b', 'c'])
  })

  /**
   * Streams of one model stall together, though other engines with it have little to do.
   * 1. A hundred instances know the same sums, half a second old. 2. All choose the engine that had least, and it
   * gets everything that comes in that time. 3. Then the next one does.
   */
  it('does not send all requests of a period to one server where many decide by the same sums', () => {
    const random = createRandom(3)
    const loads = Array.from({ length: 6 }, () => 0)
    const most: number[] = []
    Array.from({ length: 40 }).forEach(() => {
      const told = loads.map((load, index) => candidate(String(index), { load, slots: 32 }))
      Array.from({ length: 24 }).forEach(() => { loads[Number(chooseServer(sampleCandidates(told, 89, random), random())!.id)]! += 1 })
      most.push(Math.max(...loads))
      // As many end in a period as began, everywhere in proportion.
      loads.forEach((load, index) => { loads[index] = Math.round(load / 2) })
    })
    // Spread evenly, each would have 8; all to the least loaded one gives 24 and more.
    expect(Math.max(...most)).to.be.below(18)
  })

  it('looks at all where few decide', () => {
    expect(sampleCandidates(['a', 'b', 'c'], 9, () => 0)).to.deep.equal(['a', 'b', 'c'])
  })
})
