import { createRandom } from '@magnoliabay/standins'
import { expect } from 'chai'
import { SEGMENTS_PREFIX } from '../originSegments/writer'
import { rankHomeInstances } from '../../../members'
import { KEEP_MS, createOriginFleet, idAt, recordOf } from './support/originFleet'
import type { OriginFleet } from './support/originFleet'

const FIRST = idAt(0)
const SECOND = idAt(1)
/** Longer than records are collected and wait for their writer. */
const WRITTEN_MS = 1000
const SEED = 7

const range = (count: number, from = 0): number[] => Array.from({ length: count }, (_, index) => from + index)
const versionFor = (stream: number): string => stream % 2 === 0 ? 'v1' : 'v1.1'

/** Streams begin at all instances in turn, at both versions. */
function beginStreams (fleet: OriginFleet, streams: readonly number[], keepMs = KEEP_MS): void {
  const instances = fleet.instances()
  streams.forEach(stream => instances[stream % instances.length]!.origins.record({ ...recordOf(stream, versionFor(stream), keepMs), services: ['app'] }))
}

/** The instance that writes for all others of a small fleet. */
function writerOf (fleet: OriginFleet): string {
  return rankHomeInstances(fleet.instances()[0]!.peers, 'stream-origin-writers')[0]!
}

/** An instance that does not write for others, nor is the next to. */
function otherThanWriters (fleet: OriginFleet): string {
  return rankHomeInstances(fleet.instances()[0]!.peers, 'stream-origin-writers').at(-1)!
}

const segmentsIn = (fleet: OriginFleet): readonly string[] => fleet.state.range({ key: SEGMENTS_PREFIX, end: `${SEGMENTS_PREFIX}~` }).map(({ value }) => value)

describe('stream origins in the store', () => {
  /** Guards against streams of two versions that nobody can continue after a restart of all instances. */
  it('name both versions after a restart of all instances', async () => {
    const fleet = createOriginFleet({ instances: 6 })
    const streams = range(40)
    beginStreams(fleet, streams)
    await fleet.clock.advance(WRITTEN_MS)
    fleet.restartAll()
    expect(await fleet.versionsOf(streams, SECOND)).to.deep.equal(streams.map(versionFor))
  })

  /** Guards against a record that ends with its lease while its caller may still resume the stream. */
  it('are there for as long as a stream may be resumed, also those added late in a lease, and are gone soon after', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    for (const stream of range(30)) {
      beginStreams(fleet, [stream], stream % 3 === 2 ? 120_000 : KEEP_MS)
      await fleet.clock.advance(1000)
    }
    fleet.restartAll()
    await fleet.clock.advance(KEEP_MS - 3000)
    expect(await fleet.versionsOf([28, 29], FIRST)).to.deep.equal(['v1', 'v1.1'])
    await fleet.clock.advance(120_000 - KEEP_MS - 5000)
    expect(await fleet.versionsOf([26, 29], FIRST)).to.deep.equal(['v1', 'v1.1'])
    await fleet.clock.advance(30_000)
    expect(segmentsIn(fleet)).to.deep.equal([])
  })

  /** Guards against a stream that is resumed late, recorded again, and lost since its first record is thought to last. */
  it('are there for the whole time after a stream has been recorded again', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    for (const round of range(6)) {
      beginStreams(fleet, [0, 1, 2, 100 + round])
      await fleet.clock.advance(30_000)
    }
    fleet.restartAll()
    await fleet.clock.advance(KEEP_MS - 32_000)
    expect(await fleet.versionsOf([0, 1, 2], FIRST)).to.deep.equal(['v1', 'v1.1', 'v1'])
  })

  /** Guards against a price for deployments whose servers all have one version. */
  it('are neither written nor read while there is one version', async () => {
    const fleet = createOriginFleet({ instances: 6, versions: ['v1'] })
    beginStreams(fleet, range(100))
    await fleet.clock.advance(KEEP_MS)
    expect(fleet.counter.total()).to.deep.equal({ reads: 0, writes: 0, watches: 0, leases: 0 })
  })

  /** Guards against streams that began while there was one version: nobody had written them. */
  it('are written within a quarter of a second for all open streams when a further version turns up', async () => {
    const fleet = createOriginFleet({ instances: 9, versions: ['v1'] })
    const streams = range(90)
    streams.forEach(stream => fleet.at(idAt(stream % 9)).origins.record({ ...recordOf(stream), services: ['app'] }))
    await fleet.clock.advance(5000)
    const random = createRandom(SEED)
    fleet.instances().forEach(({ listVersion }) => { fleet.clock.schedule(random() * 30, () => listVersion('v1.1')) })
    await fleet.clock.advance(250)
    fleet.restartAll()
    expect(await fleet.versionsOf(streams, FIRST)).to.deep.equal(streams.map(() => 'v1'))
    expect(fleet.counter.total().writes).to.be.at.most(4)
  })

  /** Guards against records that are lost with a lease: the store had dropped the keys, and the writer went on under the same lease. */
  it('are written again when their lease is lost, also while no stream begins', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    beginStreams(fleet, range(12))
    await fleet.clock.advance(WRITTEN_MS)
    fleet.state.leases().forEach(({ id }) => fleet.state.revokeLease(id))
    await fleet.clock.advance(7000)
    fleet.state.leases().forEach(({ id }) => fleet.state.revokeLease(id))
    beginStreams(fleet, range(12, 12))
    await fleet.clock.advance(WRITTEN_MS)
    fleet.restartAll()
    expect(await fleet.versionsOf(range(24), FIRST)).to.deep.equal(range(24).map(versionFor))
  })

  const RESTORES: Array<[string, (fleet: OriginFleet) => Promise<void>]> = [
    ['after they were written', async fleet => await fleet.clock.advance(WRITTEN_MS)],
    ['while they are collected', async fleet => await fleet.clock.advance(100)],
    ['while the writer waits for its lease or its write', async fleet => {
      fleet.setFaults({ slowMs: 100 })
      await fleet.clock.advance(320)
    }]
  ]
  /** Guards against records that a restore of the store from an older copy has removed, under leases whose numbers are granted again. */
  RESTORES.forEach(([name, untilRestore]) => it(`are written again when the store is restored from an older copy ${name}`, async () => {
    const fleet = createOriginFleet({ instances: 6 })
    beginStreams(fleet, range(12))
    await fleet.clock.advance(WRITTEN_MS)
    const copy = fleet.state.snapshot()
    beginStreams(fleet, range(24, 12))
    await untilRestore(fleet)
    fleet.state.restore(copy)
    fleet.setFaults({ slowMs: 0 })
    await fleet.clock.advance(7000)
    fleet.restartAll()
    expect(await fleet.versionsOf(range(36), FIRST)).to.deep.equal(range(36).map(versionFor))
  }))

  /** Guards against records whose writer is gone when the store is restored from an older copy: nobody else wrote them again. */
  it('are written again by another instance when the store is restored after their writer was killed', async () => {
    const fleet = createOriginFleet({ instances: 6 })
    const copy = fleet.state.snapshot()
    const writer = writerOf(fleet)
    const owner = otherThanWriters(fleet)
    const add = (stream: number): void => fleet.at(owner).stored.add([recordOf(stream)], { isUrgent: false })
    add(1)
    await fleet.clock.advance(WRITTEN_MS)
    fleet.kill(writer)
    fleet.state.restore(copy)
    add(2)
    await fleet.clock.advance(2 * WRITTEN_MS)
    fleet.restartAll()
    expect(await fleet.versionsOf([1, 2], owner)).to.deep.equal(['v1', 'v1'])
  })

  /** Guards against records that are lost, and against calls without end, while the store is away. */
  it('are written once a store that was away is back, with few calls meanwhile', async () => {
    const fleet = createOriginFleet({ instances: 9 })
    fleet.setFaults({ down: 'refused' })
    for (const second of range(20)) {
      beginStreams(fleet, range(10, second * 10))
      await fleet.clock.advance(1000)
    }
    expect(await fleet.versionsOf([1], FIRST)).to.deep.equal(['unreadable'])
    fleet.setFaults({ down: 'no' })
    await fleet.clock.advance(10_000)
    fleet.restartAll()
    expect(await fleet.versionsOf(range(200), FIRST)).to.deep.equal(range(200).map(versionFor))
    expect(fleet.logs('stream-origins-not-written').length).to.be.at.most(9 * 8)
    // Each instance has its own records and those that others had sent it.
    expect(fleet.counter.total().writes).to.be.at.most(40)
  })

  it('are written and found while the store is slow', async () => {
    const fleet = createOriginFleet({ instances: 6 })
    fleet.setFaults({ slowMs: 600 })
    beginStreams(fleet, range(60))
    await fleet.clock.advance(4000)
    fleet.restartAll()
    fleet.setFaults({ slowMs: 600 })
    expect(await fleet.versionsOf(range(60), FIRST)).to.deep.equal(range(60).map(versionFor))
  })

  /** Guards against a write of unknown outcome that is carried out late, and replaces a later value of the same key. */
  it('are not replaced by a write that lost its answer', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    beginStreams(fleet, range(6))
    await fleet.clock.advance(WRITTEN_MS)
    fleet.setFaults({ loseAnswers: true })
    beginStreams(fleet, range(6, 6))
    await fleet.clock.advance(400)
    const keys = new Map(fleet.state.range({ key: SEGMENTS_PREFIX, end: `${SEGMENTS_PREFIX}~` }).map(({ key, modRevision }) => [key, modRevision]))
    fleet.setFaults({ loseAnswers: false })
    beginStreams(fleet, range(6, 12))
    await fleet.clock.advance(3000)
    const rewritten = fleet.state.range({ key: SEGMENTS_PREFIX, end: `${SEGMENTS_PREFIX}~` }).filter(({ key, modRevision }) => keys.has(key) && keys.get(key) !== modRevision)
    expect(rewritten).to.deep.equal([])
    fleet.restartAll()
    expect(await fleet.versionsOf(range(18), FIRST)).to.deep.equal(range(18).map(versionFor))
  })

  /** Guards against records that are never written since the store rejects the machine that writes for all. */
  it('are written by the next instance when the store rejects the writer, which asks another in turn', async () => {
    const fleet = createOriginFleet({ instances: 6 })
    const writer = writerOf(fleet)
    await fleet.at(writer).faults.set({ down: 'status' })
    beginStreams(fleet, range(30))
    await fleet.clock.advance(4000)
    expect(await fleet.versionsOf(range(30), writer)).to.deep.equal(range(30).map(versionFor))
    expect(await fleet.versionsOf(range(30), otherThanWriters(fleet))).to.deep.equal(range(30).map(versionFor))
  })

  /** Guards against records that are lost with the instance that was to write them. */
  it('are written by the next instance when the writer is killed before its write is acknowledged', async () => {
    const fleet = createOriginFleet({ instances: 6 })
    const writer = writerOf(fleet)
    const streams = range(30)
    const owners = fleet.instances().filter(({ id }) => id !== writer)
    await fleet.at(writer).faults.set({ slowMs: 200 })
    streams.forEach(stream => owners[stream % owners.length]!.stored.add([recordOf(stream, versionFor(stream))], { isUrgent: false }))
    await fleet.clock.advance(300)
    fleet.kill(writer)
    await fleet.clock.advance(4000)
    fleet.restartAll()
    expect(await fleet.versionsOf(streams, owners[0]!.id)).to.deep.equal(streams.map(versionFor))
  })

  /** Guards against a writer that runs an older version of the program, and does not know the call. */
  it('are written by the next instance when the writer does not know the call', async () => {
    const fleet = createOriginFleet({ instances: 4 })
    const writer = writerOf(fleet)
    fleet.kill(writer)
    fleet.network.join({ ...fleet.instances()[0]!.peers.self, id: writer, incarnation: `${writer}-older` })
    beginStreams(fleet, range(9))
    await fleet.clock.advance(WRITTEN_MS)
    expect(await fleet.versionsOf(range(9), fleet.instances()[0]!.id)).to.deep.equal(range(9).map(versionFor))
  })

  /** Guards against streams that are refused after a restart, twelve and more, since their records still waited to be written. */
  it('lack fewer than twelve of the streams that began just before a restart of all instances, at 25 a second', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    for (const stream of range(125)) {
      fleet.at(idAt(stream % 3)).stored.add([recordOf(stream, versionFor(stream))], { isUrgent: false })
      await fleet.clock.advance(40)
    }
    fleet.restartAll()
    const absent = (await fleet.versionsOf(range(125), SECOND)).filter(version => version === 'absent')
    expect(absent.length).to.be.lessThan(12)
  })

  /** Guards against calls of the store that cost more than they save where few streams begin. */
  it('take at most two writes a second where six streams a second begin', async () => {
    const fleet = createOriginFleet({ instances: 9 })
    const before = fleet.counter.total()
    for (const stream of range(60)) {
      fleet.at(idAt(stream % 9)).stored.add([recordOf(stream, versionFor(stream))], { isUrgent: false })
      await fleet.clock.advance(1000 / 6)
    }
    expect(fleet.counter.total().writes - before.writes).to.be.at.most(21)
  })

  /** Guards against writes that grow with the number of instances or streams: the store takes 400 a second from all. */
  it('take at most 36 writes a second over 420 instances and 1,200 streams a second', async () => {
    const fleet = createOriginFleet({ instances: 420 })
    const random = createRandom(SEED)
    const before = fleet.counter.total()
    for (const tick of range(200)) {
      range(60, tick * 60).forEach(stream => fleet.at(idAt(Math.floor(random() * 420))).stored.add([recordOf(stream, versionFor(stream))], { isUrgent: false }))
      await fleet.clock.advance(50)
    }
    const { writes, leases, reads } = fleet.counter.total()
    expect((writes - before.writes + leases - before.leases) / 10).to.be.at.most(36.4)
    expect(reads).to.equal(0)
    await fleet.clock.advance(WRITTEN_MS)
    const sample = range(100).map(() => Math.floor(random() * 12_000))
    expect(await fleet.versionsOf(sample, FIRST)).to.deep.equal(sample.map(versionFor))
    expect(fleet.logs('stream-origins-not-written')).to.deep.equal([])
  }).timeout(300_000)

  /** Guards against a transaction of more entries than the store takes, and against values above its limit. */
  it('hold 20,000 streams that are open when a further version turns up', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    fleet.at(FIRST).stored.add(range(20_000).map(stream => recordOf(stream, versionFor(stream))), { isUrgent: true })
    await fleet.clock.advance(500)
    fleet.restartAll()
    const sample = range(100).map(index => index * 199)
    expect(await fleet.versionsOf(sample, SECOND)).to.deep.equal(sample.map(versionFor))
    expect(Math.max(...segmentsIn(fleet).map(({ length }) => length))).to.be.at.most(20_000)
    expect(fleet.counter.total().writes).to.be.at.most(4)
  })

  /** Guards against memory without bound while the store takes nothing: the oldest records go first, and are counted. */
  it('are dropped, the oldest first, above 20,000 that wait', async () => {
    const fleet = createOriginFleet({ instances: 1 })
    fleet.setFaults({ down: 'refused' })
    fleet.at(FIRST).stored.add(range(25_000).map(stream => recordOf(stream)), { isUrgent: false })
    await fleet.clock.advance(1000)
    fleet.setFaults({ down: 'no' })
    await fleet.clock.advance(10_000)
    expect(await fleet.versionsOf([24_999, 5000, 4999], FIRST)).to.deep.equal(['v1', 'v1', 'absent'])
    expect(fleet.logs('stream-origins-dropped').length).to.be.greaterThan(0)
  })

  /** Guards against a stream of one team that is continued for another, which names the same attempt. */
  it('are not found by another team', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    beginStreams(fleet, [1])
    await fleet.clock.advance(WRITTEN_MS)
    expect((await fleet.find(FIRST, 1, 'another')).kind).to.equal('absent')
    expect((await fleet.find(FIRST, 1)).kind).to.equal('found')
  })

  /** Guards against a conclusion from what is missing while some of it could not be read. */
  it('are found beside a value that cannot be read, which is logged once, and beside which none counts as absent', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    beginStreams(fleet, range(6))
    await fleet.clock.advance(WRITTEN_MS)
    const damaged = ['{"origins":[{"service":"app","softwareVersion":"v1","streams":"short"}]}', 'no JSON', '{}']
    damaged.forEach((value, index) => fleet.state.transact({ compares: [], success: [{ kind: 'put', key: `${SEGMENTS_PREFIX}other/${index}`, value }], failure: [] }))
    expect(await fleet.versionsOf([1, 2, 77, 78], FIRST)).to.deep.equal(['v1.1', 'v1', 'unreadable', 'unreadable'])
    expect(fleet.logs('input-refused').filter(line => line.includes(`instance=${FIRST}`) || line.includes('/other/0')).length).to.be.at.most(2)
  })

  /** Guards against a lookup answered from what was read before the record was written. */
  it('are found right after they were written, though the store has been read a moment before', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    beginStreams(fleet, [1])
    await fleet.clock.advance(WRITTEN_MS)
    expect((await fleet.find(FIRST, 2)).kind).to.equal('absent')
    fleet.at(SECOND).stored.add([recordOf(2)], { isUrgent: true })
    await fleet.clock.advance(150)
    expect((await fleet.find(FIRST, 2)).kind).to.equal('found')
  })

  /** Guards against a read for each caller that comes back. */
  it('are read at most once a second at an instance', async () => {
    const fleet = createOriginFleet({ instances: 3 })
    const lookups = range(500).map(stream => fleet.at(FIRST).stored.find(`unknown ${stream}`))
    const later = range(10).map(async index => await new Promise<string>(resolve => { fleet.clock.schedule(index * 300, () => fleet.at(FIRST).stored.find(`unknown ${index}`).then(({ kind }) => resolve(kind), () => {})) }))
    await fleet.clock.advance(5000)
    expect(new Set((await Promise.all(lookups)).map(({ kind }) => kind))).to.deep.equal(new Set(['absent']))
    expect(new Set(await Promise.all(later))).to.deep.equal(new Set(['absent']))
    expect(fleet.counter.total().reads).to.be.within(4, 5)
  })
})
