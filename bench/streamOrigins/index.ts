/**
 * `npm run bench -- stream-origins`: processor time of recording where streams began, over real links between instances in one
 * process, so that it includes those who receive the records. Compares one software version with two.
 */
import { encode } from 'cbor-x'
import { createSystemClock } from '../../packages/magnoliabay/src/node/clock'
import { createSilentLogger } from '../../packages/magnoliabay/src/node/logger'
import { createPeerNetwork } from '../../packages/magnoliabay/src/node/members'
import type { MemberRecord } from '../../packages/magnoliabay/src/node/members'
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

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

/** Returns the processor time for each stream, microseconds. */
async function measure (versions: readonly string[]): Promise<number> {
  const clock = createSystemClock()
  const logger = createSilentLogger()
  const ports = await freePorts(INSTANCES)
  const members: MemberRecord[] = ports.map((port, index) => ({ id: `i${index}`, incarnation: `i${index}`, startedAtMs: 0, region: 'r', failureDomain: 'abc'[index % 3]!, peerAddress: `${HOST}:${port}`, entryAddress: '', operatorAddress: '', leaving: false, processorShare: 1 }))
  const networks = members.map(self => createPeerNetwork({ self, clock, logger }))
  const origins: StreamOrigins[] = networks.map(peers => createStreamOrigins({ peers, versions: { seenWithin: () => new Set(versions), onAdded: () => {} }, history: { coversAll: () => true, priorOf: () => ({ kind: 'none' }) }, clock, logger }))
  await Promise.all(networks.map(network => network.start()))
  networks.forEach(network => network.setMembers(members))
  await pause(1500)
  const before = process.cpuUsage()
  for (let stream = 0; stream < STREAMS; stream += 1) {
    origins[stream % INSTANCES]!.record({ key: `team ${stream.toString(16).padStart(16, '0')}`, service: 'llm', softwareVersion: 'v1', keepMs: KEEP_MS, services: ['llm'] })
    if (stream % IN_FLIGHT === 0) await pause(0)
  }
  await pause(500)
  const { user, system } = process.cpuUsage(before)
  await Promise.all(networks.map(network => network.close()))
  return (user + system) / STREAMS
}

export async function run (): Promise<void> {
  const one = await measure(['v1'])
  const two = await measure(['v1', 'v1.1'])
  const share = (microseconds: number): string => `${(100 * microseconds * STREAMS_PER_SECOND / FLEET_SIZE / MICROSECONDS_PER_SECOND).toFixed(3)}% of a core at each of ${FLEET_SIZE} instances for ${STREAMS_PER_SECOND} streams a second`
  const bytes = encode({ records: [{ key: 'team 0123456789abcdef', service: 'llm', softwareVersion: 'v1.1', keepMs: KEEP_MS }] }).length
  process.stdout.write(`one version: ${one.toFixed(0)} us a stream, ${share(one)}\ntwo versions: ${two.toFixed(0)} us a stream, ${share(two)}; ${bytes} bytes a record before its frame\n`)
}
