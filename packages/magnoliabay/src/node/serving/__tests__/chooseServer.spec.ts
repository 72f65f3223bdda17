import { expect } from 'chai'
import { chooseServer } from '../chooseServer'
import type { Candidate } from '../chooseServer'

const candidate = (id: string, changes: Partial<Candidate> = {}): Candidate => ({ id, load: 0, slots: 6, isNear: false, failureRate: 0, isSilent: false, isCold: false, ...changes })

describe('which backend server gets a request', () => {
  const CASES: Array<[string, Candidate[], string | undefined]> = [
    ['the least loaded', [candidate('a', { load: 3 }), candidate('b', { load: 1 })], 'b'],
    ['by its part of slots, not by number', [candidate('a', { load: 3, slots: 64 }), candidate('b', { load: 1 })], 'a'],
    ['the warm one, though it has a few requests', [candidate('a', { load: 2 }), candidate('b', { isCold: true })], 'a'],
    ['the cold one, where the others are full', [candidate('a', { load: 6 }), candidate('b', { isCold: true })], 'b'],
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
})
