import { expect } from 'chai'
import type { DeliveryPolicy } from '../../../members/memoryNetwork'
import { createVersionedFleet, instanceAt } from './support/versionedFleet'
import type { CallerStream, VersionedFleet } from './support/versionedFleet'

const ONE_VERSION = { a1: 'v1', b1: 'v1' }
const TWO_VERSIONS = { a1: 'v1', b1: 'v1', c1: 'v1.1', a2: 'v1.1' }
const FIRST = instanceAt(0)
const SECOND = instanceAt(1)
const THIRD = instanceAt(2)
const MIDWAY_MS = 300
/** Shorter than a record waits to be written. */
const TICK_MS = 10
const STREAM_MS = 3000
/** Longer than a stream may be resumed: an instance has seen all versions that matter. */
const LONG_MS = 60_000

const statusOf = (stream: CallerStream, index: number): number | undefined => stream.tries[index]!.status()
const errorOf = (stream: CallerStream, index: number): { error: string, message?: string } => JSON.parse(stream.tries[index]!.body()) as { error: string, message?: string }
const versionOf = (stream: CallerStream): string => [...stream.softwareVersions()][0]!

/** Counts messages between instances about streams. */
function countMessages (fleet: VersionedFleet): () => number {
  let count = 0
  const policy: DeliveryPolicy = ({ kind }) => {
    if (kind.includes('stream-origin')) count += 1
    return [1]
  }
  fleet.rig(FIRST).network.setDeliveryPolicy(policy)
  return () => count
}

/** Opens streams at the first instance, which is killed midway; their callers come back at the second. */
async function resumeAtSecond (fleet: VersionedFleet, count = 8): Promise<readonly CallerStream[]> {
  const streams = Array.from({ length: count }, () => fleet.open(FIRST, [SECOND]))
  await fleet.advance(MIDWAY_MS)
  fleet.kill(FIRST)
  await fleet.advance(STREAM_MS)
  return streams
}

/** Resumes a stream of the first instance at the second with these headers, and returns the answer. */
async function resumeWith (fleet: VersionedFleet, headersFor: (attemptId: string) => Record<string, string>): Promise<CallerStream> {
  const stream = fleet.open(FIRST, [], { authorization: 'Token key-of-one' })
  await fleet.advance(MIDWAY_MS)
  const taken = fleet.open(SECOND, [], { 'last-event-id': '2', ...headersFor(stream.tries[0]!.id) })
  await fleet.advance(500)
  return taken
}

describe('a stream that is resumed', () => {
  /** Guards against a price for deployments whose servers all have one version. */
  it('goes on without a message between instances where all servers have had one version', async () => {
    const fleet = createVersionedFleet({ engines: ONE_VERSION })
    const messages = countMessages(fleet)
    await fleet.advance(LONG_MS)
    const streams = await resumeAtSecond(fleet)
    expect(streams.every(stream => stream.isComplete())).to.equal(true)
    expect(messages()).to.equal(0)
  }).timeout(600_000)

  /** Guards against streams that cannot go on after all instances have been killed, though their version cannot be in doubt. */
  it('goes on at instances that have all just started, where all servers have one version', async () => {
    const fleet = createVersionedFleet({ engines: ONE_VERSION })
    const streams = Array.from({ length: 8 }, (_, index) => fleet.open(instanceAt(index % 6)))
    await fleet.advance(MIDWAY_MS)
    const ids = fleet.live()
    ids.forEach(fleet.start)
    streams.forEach(stream => stream.breakConnection())
    await fleet.advance(STREAM_MS)
    expect(streams.every(stream => stream.isComplete())).to.equal(true)
  })

  /** Guards against streams that are refused beside two versions after all instances have been killed, though the store knows where they began. */
  it('goes on at its version at instances that have all just started beside servers of two versions', async () => {
    const fleet = createVersionedFleet({ engines: TWO_VERSIONS })
    const streams = Array.from({ length: 8 }, (_, index) => fleet.open(instanceAt(index % 6)))
    await fleet.advance(MIDWAY_MS)
    const versions = streams.map(versionOf)
    fleet.live().forEach(fleet.start)
    streams.forEach(stream => stream.breakConnection())
    await fleet.advance(STREAM_MS)
    expect(streams.every(stream => stream.isComplete())).to.equal(true)
    expect(streams.map(stream => [...stream.softwareVersions()].join(' '))).to.deep.equal(versions)
  })

  /** Guards against a guess once the records are lost with all instances that had them. */
  it('is refused at once, as not run, at instances that have all just started beside servers of two versions, without a record', async () => {
    const fleet = createVersionedFleet({ engines: TWO_VERSIONS })
    const stream = fleet.open(FIRST, [SECOND])
    while (stream.softwareVersions().size === 0) await fleet.advance(TICK_MS)
    fleet.live().forEach(fleet.start)
    stream.breakConnection()
    await fleet.advance(1000)
    expect(statusOf(stream, 1)).to.equal(503)
    expect(errorOf(stream, 1).error).to.equal('stream-version-unknown')
    expect(errorOf(stream, 1).message).to.match(/as a new one/)
    expect(stream.tries[1]!.headers()).not.to.have.property('retry-after')
  })

  /** Guards against a second version that turns up midway: nobody had recorded the streams that began before. */
  it('goes on at its version when another turned up after it began, and its instance was killed', async () => {
    const fleet = createVersionedFleet({ engines: { ...ONE_VERSION, c1: 'v1' } })
    const streams = Array.from({ length: 8 }, () => fleet.open(FIRST, [SECOND]))
    await fleet.advance(MIDWAY_MS)
    fleet.crashEngine('c1')
    fleet.startEngine('c1', 'v1.1')
    await fleet.advance(50)
    fleet.kill(FIRST)
    await fleet.advance(STREAM_MS)
    expect(streams.map(stream => [...stream.softwareVersions()].join(' '))).to.deep.equal(streams.map(() => 'v1'))
    expect(streams.every(stream => stream.isComplete())).to.equal(true)
  })

  /** Guards against a chain of tries whose record ends with the second: each names the attempt of the first event. */
  it('goes on at its version over a chain of tries, each at an instance that is killed', async () => {
    const fleet = createVersionedFleet({ engines: TWO_VERSIONS })
    const streams = Array.from({ length: 8 }, () => fleet.open(FIRST, [SECOND, THIRD]))
    await fleet.advance(200)
    fleet.kill(FIRST)
    await fleet.advance(200)
    fleet.kill(SECOND)
    await fleet.advance(STREAM_MS)
    expect(streams.filter(stream => stream.tries.length > 2 && stream.isComplete()).length).to.equal(8)
    expect(streams.filter(stream => stream.softwareVersions().size > 1)).to.deep.equal([])
  })

  /** Guards against streams that go on at a guess, or at another team's stream, since `Resumes` names none of the caller's. */
  const UNKNOWN: Array<[string, (attemptId: string) => Record<string, string>]> = [
    ['absent', () => ({})],
    ['malformed', attemptId => ({ resumes: `${attemptId}, ${attemptId}` })],
    ['guessed', attemptId => ({ resumes: `${attemptId}9` })]
  ]
  UNKNOWN.forEach(([name, headersFor]) => it(`is refused beside servers of two versions if its first attempt is ${name}, and goes on where there is one`, async () => {
    const refused = await resumeWith(createVersionedFleet({ engines: TWO_VERSIONS }), headersFor)
    expect(statusOf(refused, 0)).to.equal(503)
    expect(errorOf(refused, 0).error).to.equal('stream-version-unknown')
    expect(statusOf(await resumeWith(createVersionedFleet({ engines: ONE_VERSION }), headersFor), 0)).to.equal(200)
  }))

  it('is not bound by a record of another team', async () => {
    const fleet = createVersionedFleet({ engines: TWO_VERSIONS, rig: { teams: ['one', 'two'] } })
    const taken = await resumeWith(fleet, attemptId => ({ resumes: attemptId, authorization: 'Token key-of-two' }))
    expect(errorOf(taken, 0).error).to.equal('stream-version-unknown')
  })

  /** Guards against a request that is bound to a version though its caller has received nothing. */
  it('may begin at any version if its caller has received no event', async () => {
    const fleet = createVersionedFleet({ engines: TWO_VERSIONS })
    const taken = fleet.open(SECOND, [], { 'last-event-id': '0' })
    await fleet.advance(STREAM_MS)
    expect(taken.isComplete()).to.equal(true)
  })

  /** Guards against callers who are held, or come back again and again, for a version that has left. */
  it('is refused at once if all servers of its version have left as announced, and told to begin anew', async () => {
    const fleet = createVersionedFleet({ engines: { ...ONE_VERSION, a2: 'v1.1' } })
    await fleet.advance(5000)
    const streams = Array.from({ length: 12 }, () => fleet.open(FIRST, [SECOND]))
    await fleet.advance(MIDWAY_MS)
    const stream = streams.find(each => versionOf(each) === 'v1.1')!
    fleet.forEachRig(rig => rig.giveNotice('a2', 1000))
    stream.breakConnection()
    const brokeMs = fleet.clock.monotonic()
    await fleet.advance(100)
    expect(errorOf(stream, 1).error).to.equal('stream-version-gone')
    expect(stream.tries[1]!.headers()).not.to.have.property('retry-after')
    expect(fleet.clock.monotonic() - brokeMs).to.be.at.most(100)
  })

  /** Guards against a stream that is given up though an engine of its version is back a second after it crashed. */
  it('goes on within its response once a crashed engine, the only one of its version, is back', async () => {
    const fleet = createVersionedFleet({ engines: { ...ONE_VERSION, a2: 'v1.1' } })
    await fleet.advance(5000)
    const streams = Array.from({ length: 12 }, () => fleet.open(FIRST))
    await fleet.advance(MIDWAY_MS)
    fleet.crashEngine('a2')
    fleet.clock.schedule(800, () => fleet.startEngine('a2', 'v1.1'))
    await fleet.advance(STREAM_MS)
    expect(streams.filter(stream => versionOf(stream) === 'v1.1').length).to.be.greaterThan(0)
    expect(streams.every(stream => stream.isComplete() && stream.tries.length === 1 && stream.softwareVersions().size === 1)).to.equal(true)
  })

  /** Guards against a stream that is given up since the only engine of its version has been tried: it cut one answer, and is sound. */
  it('goes on at the engine that cut it, the only one of its version, once that has said that it is the same process', async () => {
    const fleet = createVersionedFleet({ engines: { ...ONE_VERSION, a2: 'v1.1' } })
    const streams = Array.from({ length: 12 }, () => fleet.open(FIRST))
    await fleet.advance(MIDWAY_MS)
    fleet.rig(FIRST).engine('a2').cutLink()
    await fleet.advance(STREAM_MS)
    expect(streams.filter(stream => versionOf(stream) === 'v1.1').length).to.be.greaterThan(0)
    expect(streams.every(stream => stream.isComplete() && stream.softwareVersions().size === 1)).to.equal(true)
  })

  /** Guards against an engine that is back under its id with another version before its entry arrives. */
  it('does not go on at an engine that broke its connection and may be another process now', async () => {
    const fleet = createVersionedFleet({ engines: { ...ONE_VERSION, a2: 'v1.1', c2: 'v1.1' } })
    await fleet.advance(5000)
    const streams = Array.from({ length: 16 }, () => fleet.open(FIRST))
    await fleet.advance(MIDWAY_MS)
    const engine = fleet.rig(FIRST).engine('a2')
    engine.crash()
    engine.restart('v1')
    streams.forEach(stream => { if (versionOf(stream) === 'v1.1') stream.breakConnection() })
    await fleet.advance(1000)
    fleet.forEachRig(rig => rig.list('a2'))
    await fleet.advance(STREAM_MS)
    expect(streams.filter(stream => versionOf(stream) === 'v1.1').length).to.be.greaterThan(0)
    expect(streams.filter(stream => stream.softwareVersions().size > 1)).to.deep.equal([])
  })
})
