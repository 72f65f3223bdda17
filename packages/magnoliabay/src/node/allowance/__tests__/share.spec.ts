import { expect } from 'chai'
import { TOTAL_UNITS } from '../constants'
import { createPairs } from '../transferCounters'
import { createShare } from '../share'
import type { TeamShare } from '../teamShares'

const SIZE = { rate: 100, burst: 1000 }

function fullShare () {
  const share = createShare(SIZE, 0)
  share.receive(TOTAL_UNITS, SIZE.burst, 0)
  return share
}

describe('allowance: share', () => {
  // A long answer reserves the whole burst. Behind it the bucket fills up again and is spent again. Then the first
  // answer turns out to have used nothing. Its refund would be a third burst within the time of two.
  it('a refund does not come on top of a bucket that has filled since', () => {
    const share = fullShare()
    const first = share.take(1000, 0)!
    expect(share.take(1000, 10_000)).not.to.equal(undefined)
    share.settle(first, 0, 10_001)
    expect(share.level(10_001)).to.be.below(1)
  })

  it('refunds share the room that there was, each once', () => {
    const share = fullShare()
    const tickets = [400, 400].map(tokens => share.take(tokens, 0)!)
    expect(share.level(5000)).to.be.closeTo(700, 1e-6)
    const third = share.take(700, 5000)!
    tickets.forEach(ticket => share.settle(ticket, 0, 5000))
    tickets.forEach(ticket => share.settle(ticket, 0, 5000))
    expect(share.level(5000)).to.be.closeTo(300, 1e-6)
    share.settle(third, 0, 5000)
    expect(share.level(5000)).to.be.closeTo(1000, 1e-6)
  })

  it('what was used beyond the reservation is owed', () => {
    const share = fullShare()
    share.settle(share.take(1000, 0)!, 1500, 0)
    expect(share.level(4000)).to.be.closeTo(-100, 1e-6)
    expect(share.take(1, 4000)).to.equal(undefined)
  })
})

describe('allowance: accounts with a dead process', () => {
  // A process is given up, and its accounts are closed. An answer that it sent before it died arrives only now:
  // its units have been given to another. It is refused, and nothing more is given to it.
  it('what arrives after the closing is refused', () => {
    const own: TeamShare = { team: 't', share: fullShare(), demand: { note: () => {}, rate: () => 0, lastMs: () => 0 } }
    const pairs = createPairs({ process: 'me', shares: { of: () => own, all: () => [own] }, monotonic: () => 0 })
    pairs.give('t', 'dead', 100, 0)
    expect(pairs.accept({ team: 't', from: 'dead', to: 'me', given: 30, tokens: 0 })).to.equal(30)
    const reports = pairs.close(['dead'])
    expect(reports).to.deep.equal([{ team: 't', dead: 'dead', given: 100, received: 30 }])
    expect(pairs.accept({ team: 't', from: 'dead', to: 'me', given: 50, tokens: 0 })).to.equal(0)
    expect(pairs.give('t', 'dead', 10, 0).given).to.equal(100)
    expect(pairs.close(['dead'])).to.deep.equal(reports)
    expect(own.share.units()).to.equal(TOTAL_UNITS - 70)
  })
})
