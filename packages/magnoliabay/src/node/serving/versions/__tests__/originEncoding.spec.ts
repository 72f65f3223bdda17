import { expect } from 'chai'
import { HASH_LENGTH, decodeSegment, encodeSegment, fromGroups, hashOfStream, includesHash, toGroups } from '../originSegments/encoding'
import type { HashedRecord } from '../originSegments/encoding'

const record = (stream: number, softwareVersion: string, untilMs = 60_000): HashedRecord => ({ hash: hashOfStream(`team ${stream}`), origin: { service: 'app', softwareVersion }, untilMs })

describe('encoded stream origins', () => {
  it('name each stream under its origin', () => {
    const records = [record(1, 'v1'), record(2, 'v1.1'), record(3, 'v1')]
    const [first, second] = decodeSegment(encodeSegment(records)).unwrap()
    expect(first).to.deep.equal({ service: 'app', softwareVersion: 'v1', streams: records[0]!.hash + records[2]!.hash })
    expect(second).to.deep.equal({ service: 'app', softwareVersion: 'v1.1', streams: records[1]!.hash })
  })

  /** Guards against characters of two neighbours that are taken for a third stream, and against one behind such characters that is missed. */
  it('include a hash only as a whole', () => {
    const [left, right] = ['abcdefghijk', 'ABCDEFGHIJK']
    const across = (left + right).slice(3, 3 + HASH_LENGTH)
    expect(includesHash(left + right, across)).to.equal(false)
    expect(includesHash(left + right + across, across)).to.equal(true)
    expect(includesHash('', left)).to.equal(false)
  })

  /** Guards against records that end before their stream does, since another instance has another clock. */
  it('are kept by another instance for at least as long, and not for over five seconds longer', () => {
    const records = [record(1, 'v1', 59_999), record(2, 'v1', 60_000), record(3, 'v1.1', 30_001), record(4, 'v1', 0)]
    const received = fromGroups(toGroups(records, 10_000), 500_000)
    expect(received.map(({ hash }) => hash).sort()).to.deep.equal(records.map(({ hash }) => hash).sort())
    received.forEach(({ hash, untilMs }) => {
      const remainingMs = Math.max(0, records.find(sent => sent.hash === hash)!.untilMs - 10_000)
      expect(untilMs - 500_000).to.be.within(remainingMs, remainingMs + 5000)
    })
  })
})
