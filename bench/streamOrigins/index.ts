/**
 * `npm run bench -- stream-origins`: processor time of recording where streams began, over real links between instances in one
 * process, so that it includes those who receive the records. Compares one software version with two, and then records in memory
 * only with records that also go to a store in the process, at an even rate.
 */
import { createDirectStore, createKvCallCounter, createKvState } from '@magnoliabay/standins'
import { encode } from 'cbor-x'
import { createSystemClock } from '../../packages/magnoliabay/src/node/clock'
import { createSilentLogger } from '../../packages/magnoliabay/src/node/logger'
import { createPeerNetwork } from '../../packages/magnoliabay/src/node/members'
import type { MemberRecord } from '../../packages/magnoliabay/src/node/members'
import { decodeSegment, includesHash } from '../../packages/magnoliabay/src/node/serving/versions/originSegments/encoding'
import { SEGMENTS_PREFIX } from '../../packages/magnoliabay/src/node/serving/versions/originSegments/writer'
import { createStoredOrigins } from '../../packages/magnoliabay/src/node/serving/versions/storedOrigins'
import { createStreamOrigins } from '../../packages/magnoliabay/src/node/serving/versions/streamOrigins'
import type { StreamOrigins } from '../../packages/magnoliabay/src/node/serving/versions/streamOrigins'
import { HOST, freePorts } from '../../scripts/fleet/freePorts'

const INSTANCES = 9
const STREAMS = 5000
const IN_FLIGHT = 50
const KEEP_MS = 55_000
/** The size that decides: streams a second over all instances, and instances. */
const STREAMS_PER_SECOND = 1200
const FLEET_SIZE = 420
const MICROSECONDS_PER_SECOND = 1_000_000
/** More than one of seven writers gets of 1,200 streams a second. */
const PACED_PER_SECOND = 300
const PACED_STREAMS = 3000
const PACED_TICK_MS = 50
/** Longer than records are collected and wait for their writer, milliseconds. */
const WRITTEN_MS = 1500
/** Records of a minute at the size that decides. */
const READ_RECORDS = STREAMS_PER_SECOND * 70

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

interface Fleet {
  origins: readonly StreamOrigins[]
  close (): Promise<void>
}

type StoreState = ReturnType<typeof createKvState>
type CallCounter = ReturnType<typeof createKvCallCounter>

/** Starts instances that know of these versions; with a `state`, records go to the store as well. */
async function startFleet (versions: readonly string[], state?: StoreState, counter?: CallCounter): Promise<Fleet> {
  const clock = createSystemClock()
  const logger = createSilentLogger()
  const ports = await freePorts(INSTANCES)
  const members: MemberRecord[] = ports.map((port, index) => ({ id: `i${index}`, incarnation: `i${index}`, startedAtMs: 0, region: 'r', failureDomain: 'abc'[index % 3]!, peerAddress: `${HOST}:${port}`, entryAddress: '', operatorAddress: '', leaving: false, processorShare: 1 }))
  const networks = members.map(self => createPeerNetwork({ self, clock, logger }))
  const origins = networks.map(peers => {
    const stored = state === undefined ? undefined : createStoredOrigins({ store: { ...createDirectStore(state, { clock, counter }), era: state.era }, peers, clock, logger })
    return createStreamOrigins({ peers, versions: { seenWithin: () => new Set(versions), onAdded: () => {} }, history: { coversAll: () => true, priorOf: () => ({ kind: 'none' }) }, stored, clock, logger })
  })
  await Promise.all(networks.map(network => network.start()))
  networks.forEach(network => network.setMembers(members))
  await pause(1500)
  return { origins, close: async () => { await Promise.all(networks.map(network => network.close())) } }
}

function record ({ origins }: Fleet, stream: number): void {
  origins[stream % INSTANCES]!.record({ key: `team ${stream.toString(16).padStart(16, '0')}`, service: 'llm', softwareVersion: 'v1', keepMs: KEEP_MS, services: ['llm'] })
}

/** Returns the processor time for each stream, microseconds. */
async function measure (versions: readonly string[]): Promise<number> {
  const fleet = await startFleet(versions)
  const before = process.cpuUsage()
  for (let stream = 0; stream < STREAMS; stream += 1) {
    record(fleet, stream)
    if (stream % IN_FLIGHT === 0) await pause(0)
  }
  await pause(500)
  const { user, system } = process.cpuUsage(before)
  await fleet.close()
  return (user + system) / STREAMS
}

/** Returns the processor time for each stream at an even rate, microseconds. */
async function measurePaced (state?: StoreState, counter?: CallCounter): Promise<number> {
  const fleet = await startFleet(['v1', 'v1.1'], state, counter)
  const before = process.cpuUsage()
  const startedMs = performance.now()
  for (let stream = 0; stream < PACED_STREAMS;) {
    const due = Math.min(PACED_STREAMS, Math.ceil((performance.now() - startedMs) * PACED_PER_SECOND / 1000))
    for (; stream < due; stream += 1) record(fleet, stream)
    await pause(PACED_TICK_MS)
  }
  await pause(WRITTEN_MS)
  const { user, system } = process.cpuUsage(before)
  await fleet.close()
  return (user + system) / PACED_STREAMS
}

/** Returns the time that the call takes, milliseconds. */
function timeOf (act: () => unknown): number {
  const startedMs = performance.now()
  act()
  return performance.now() - startedMs
}

async function reportStored (): Promise<void> {
  const state = createKvState({ clock: createSystemClock() })
  const counter = createKvCallCounter()
  const inMemory = await measurePaced()
  const stored = await measurePaced(state, counter)
  const segments = state.range({ key: SEGMENTS_PREFIX, end: `${SEGMENTS_PREFIX}~` })
  const bytes = segments.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0) / PACED_STREAMS
  const read = Array.from({ length: Math.ceil(READ_RECORDS / PACED_STREAMS) }, () => segments).flat()
  const decodeMs = timeOf(() => read.map(({ value }) => decodeSegment(value).unwrap()))
  const origins = read.flatMap(({ value }) => decodeSegment(value).unwrap())
  const lookupMs = timeOf(() => origins.some(({ streams }) => includesHash(streams, 'notastream0')))
  const { writes, leases } = counter.total()
  state.close()
  process.stdout.write(`two versions at ${PACED_PER_SECOND} streams a second: ${inMemory.toFixed(0)} us a stream in memory only, ${stored.toFixed(0)} us with the store; ${bytes.toFixed(1)} bytes a record in ${segments.length} segments, ${writes} writes and ${leases} leases for ${PACED_STREAMS} records\n`)
  process.stdout.write(`a read of ${READ_RECORDS} records: ${decodeMs.toFixed(1)} ms to decode, ${lookupMs.toFixed(2)} ms for a lookup that finds nothing\n`)
}

export async function run (): Promise<void> {
  const one = await measure(['v1'])
  const two = await measure(['v1', 'v1.1'])
  const share = (microseconds: number): string => `${(100 * microseconds * STREAMS_PER_SECOND / FLEET_SIZE / MICROSECONDS_PER_SECOND).toFixed(3)}% of a core at each of ${FLEET_SIZE} instances for ${STREAMS_PER_SECOND} streams a second`
  const bytes = encode({ records: [{ key: 'team 0123456789abcdef', service: 'llm', softwareVersion: 'v1.1', keepMs: KEEP_MS }] }).length
  process.stdout.write(`one version: ${one.toFixed(0)} us a stream, ${share(one)}\ntwo versions: ${two.toFixed(0)} us a stream, ${share(two)}; ${bytes} bytes a record before its frame\n`)
  await reportStored()
}
