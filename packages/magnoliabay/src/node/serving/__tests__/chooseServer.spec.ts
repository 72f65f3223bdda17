import { expect } from 'chai'
import { chooseServer } from '../chooseServer'
import type { Candidate } from '../chooseServer'

const candidate = (id: string, changes: Partial<Candidate> = {}): Candidate => ({ id, load: 0, slots: 6, isNear: false, failureRate: 0, isSilent: false, isCold: false, ...changes })

describe('chooseServer', () => {
  const CASES: Array<[string, Candidate[], string | undefined]> = [
    ['the least loaded server', [candidate('a', { load: 3 }), candidate('b', { load: 1 })], 'b'],
    ['by load relative to slots, not by the number of requests', [candidate('a', { load: 3, slots: 64 }), candidate('b', { load: 1 })], 'a'],
    ['a warm server with a few requests rather than a cold one', [candidate('a', { load: 2 }), candidate('b', { isCold: true })], 'a'],
    ['a cold server when the others are full', [candidate('a', { load: 6 }), candidate('b', { isCold: true })], 'b'],
    ['the near server of two with equal load', [candidate('a'), candidate('b', { isNear: true })], 'b'],
    ['a far server rather than a near one with a queue', [candidate('a', { load: 2 }), candidate('b', { isNear: true, load: 5 })], 'a'],
    ['a server without failures rather than one that fails', [candidate('a', { failureRate: 1.5 }), candidate('b', { load: 4 })], 'b'],
    ['any server rather than a silent one', [candidate('a', { isSilent: true }), candidate('b', { load: 6, failureRate: 2 })], 'b'],
    ['a silent server when there is no other', [candidate('a', { isSilent: true })], 'a'],
    ['none without candidates', [], undefined]
  ]
  CASES.forEach(([name, candidates, expected]) => it(`selects ${name}`, () => {
    expect(chooseServer(candidates, 0)?.id).to.equal(expected)
  }))

  it('distributes requests over equal candidates by the tie-break', () => {
    const equals = ['a', 'b', 'c'].map(id => candidate(id))
    expect([0, 0.4, 0.99].map(tie => chooseServer(equals, tie)?.id)).to.deep.equal(['a', 'b', 'c'])
  })
})
