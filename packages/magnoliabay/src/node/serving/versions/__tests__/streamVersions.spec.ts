import { expect } from 'chai'
import { createVersionedFleet, instanceAt } from './support/versionedFleet'
import type { CallerStream, VersionedFleet } from './support/versionedFleet'

/** Two engines of each version: any of them may be lost. */
const ENGINES = { a1: 'v1', b1: 'v1', c1: 'v1.1', a2: 'v1.1' }
const FIRST = instanceAt(0)
const SECOND = instanceAt(1)
/** Streams make their tenth and last event some 550 ms after they begin. */
const MIDWAY_MS = 300
const STREAM_MS = 3000

const mixed = (streams: readonly CallerStream[]): string[] =>
  streams.filter(stream => stream.softwareVersions().size > 1).map(stream => `${stream.tries.map(each => each.at).join(' ')}: ${[...stream.softwareVersions()].join(' ')}`)

/** Opens streams at all instances, and lets them get some events. */
async function openStreams (fleet: VersionedFleet, count = 40): Promise<readonly CallerStream[]> {
  const streams = Array.from({ length: count }, (_, index) => fleet.open(fleet.live()[index % fleet.live().length]!))
  await fleet.advance(MIDWAY_MS)
  return streams
}

describe('streams while engines of several software versions serve', () => {
  /** Guards against events of two software versions in one response: the second engine was chosen without regard to versions. */
  it('go on within a response at the version that began them, when their engine crashes', async () => {
    const fleet = createVersionedFleet({ engines: ENGINES })
    const streams = await openStreams(fleet)
    fleet.rig(FIRST).engine('a1').crash()
    await fleet.advance(STREAM_MS)
    expect(mixed(streams)).to.deep.equal([])
    expect(streams.every(stream => stream.isComplete())).to.equal(true)
  })

  /** Guards against events of two software versions over a caller's tries: no other instance knew where the stream began. */
  it('go on at the version that began them, when their instance is killed and their callers come back at others at once', async () => {
    const fleet = createVersionedFleet({ engines: ENGINES })
    const streams = await openStreams(fleet)
    fleet.kill(FIRST)
    fleet.kill(SECOND)
    await fleet.advance(STREAM_MS)
    expect(mixed(streams)).to.deep.equal([])
    expect(streams.every(stream => stream.isComplete())).to.equal(true)
  })
})
