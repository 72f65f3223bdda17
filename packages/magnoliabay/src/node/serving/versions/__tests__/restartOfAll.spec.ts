import { expect } from 'chai'
import { createVersionedFleet } from './support/versionedFleet'
import type { CallerStream, VersionedFleet, VersionedFleetOptions } from './support/versionedFleet'

const INSTANCES = 3
const STREAMS = 30
/** Time that an instance takes to start again, milliseconds. */
const DOWN_MS = 1000
const STREAM_MS = 20_000
/** Streams of 15 s, 100 ms an event. */
const EVENTS = { events: 150, gapMs: 100, slots: 200 }
/** Until then all streams have events, milliseconds. */
const MIDWAY_MS = 4000
const ONE_VERSION = { a1: 'v1', b1: 'v1' }
const TWO_VERSIONS = { ...ONE_VERSION, a2: 'v2', b2: 'v2' }
const V1 = ['a1', 'b1']
const V2 = ['a2', 'b2']

interface Case {
  name: string
  fleet: VersionedFleetOptions
  /** Called once all streams have events. Instances are killed after `killAfterMs`. */
  prepare?: (fleet: VersionedFleet) => void
  killAfterMs?: number
  gapMs?: number
  /** Times from the kill to the changes, milliseconds. */
  changes?: ReadonlyArray<readonly [number, (fleet: VersionedFleet) => void]>
  /** Whether the version of all streams can be told. */
  goOn: boolean
}

const listV2 = (fleet: VersionedFleet): void => V2.forEach(name => fleet.startEngine(name, 'v2'))
const removeV1 = (fleet: VersionedFleet): void => V1.forEach(name => fleet.crashEngine(name))
const listV1 = (fleet: VersionedFleet): void => V1.forEach(name => fleet.startEngine(name, 'v1'))
const v2Later: VersionedFleetOptions = { engines: TWO_VERSIONS, down: V2 }
const both: VersionedFleetOptions = { engines: TWO_VERSIONS }

const CASES: readonly Case[] = [
  { name: 'one version', fleet: { engines: ONE_VERSION }, goOn: true },
  { name: 'one version, not the first start of the system', fleet: { engines: ONE_VERSION, rig: { isFirstStart: false } }, goOn: true },
  { name: 'one version, killed in turn', fleet: { engines: ONE_VERSION }, gapMs: 400, goOn: true },
  { name: 'a version listed 0.3 s before', fleet: v2Later, prepare: listV2, killAfterMs: 300, goOn: true },
  { name: 'a version listed while all are down', fleet: v2Later, changes: [[500, listV2]], goOn: true },
  { name: 'a version listed while all are down, not the first start', fleet: { ...v2Later, rig: { isFirstStart: false } }, changes: [[500, listV2]], goOn: true },
  { name: 'a version listed while all are down, killed in turn', fleet: v2Later, gapMs: 400, changes: [[900, listV2]], goOn: true },
  { name: 'a version listed as the instances start again', fleet: v2Later, changes: [[DOWN_MS + 3, listV2]], goOn: true },
  { name: 'a version that leaves and is back after 5.5 s', fleet: both, changes: [[0, removeV1], [5500, listV1]], goOn: false },
  { name: 'a version removed 3 s before', fleet: both, prepare: removeV1, killAfterMs: 3000, goOn: false },
  { name: 'a version removed 0.15 s before', fleet: both, prepare: removeV1, killAfterMs: 150, goOn: false },
  { name: 'a version removed while all are down', fleet: both, changes: [[500, removeV1]], goOn: false },
  { name: 'a version removed while all are down, killed in turn', fleet: both, gapMs: 400, changes: [[900, removeV1]], goOn: false },
  { name: 'a version replaced while all are down', fleet: v2Later, changes: [[500, fleet => { removeV1(fleet); listV2(fleet) }]], goOn: false }
]

async function play ({ fleet: options, prepare, killAfterMs = 0, gapMs, changes = [] }: Case): Promise<readonly CallerStream[]> {
  const fleet = createVersionedFleet({ instances: INSTANCES, ...options, rig: { retries: 1000, ...options.rig } })
  Object.keys(options.engines).forEach(name => Object.assign(fleet.rig(fleet.live()[0]!).engine(name), EVENTS))
  await fleet.advance(500)
  const streams = Array.from({ length: STREAMS }, (_, index) => fleet.open(fleet.live()[index % INSTANCES]!))
  await fleet.advance(MIDWAY_MS)
  prepare?.(fleet)
  await fleet.advance(killAfterMs)
  changes.forEach(([afterMs, change]) => fleet.clock.schedule(afterMs, () => change(fleet)))
  fleet.restartAll({ downMs: DOWN_MS, gapMs })
  await fleet.advance(STREAM_MS)
  return streams
}

describe('streams after all instances were killed and started again', () => {
  CASES.forEach(each => {
    /** Guards against a version concluded from what instances have seen in the seconds since they started. */
    it(`have events of one version${each.goOn ? ', and go on' : ''}: ${each.name}`, async () => {
      const streams = await play(each)
      const joined = streams.filter(stream => stream.softwareVersions().size > 1)
      const wentOn = streams.filter(stream => stream.hasContinued())
      expect(streams.every(stream => stream.isResumed()), 'resumed').to.equal(true)
      expect(joined.length, 'streams of two versions').to.equal(0)
      if (each.goOn) expect(wentOn.length, 'streams that went on').to.equal(STREAMS)
    }).timeout(120_000)
  })
})
