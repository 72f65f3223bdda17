/**
 * `npm run bench -- crash-attribution`: processor time that requests and crashes cost an instance, and what a full table takes.
 */
import { encode } from 'cbor-x'
import { createSystemClock } from '../../packages/magnoliabay/src/node/clock'
import { createCrashAttribution, createRequestGuard, fingerprintOf, suspectsOf } from '../../packages/magnoliabay/src/node/crashes'
import type { CrashAttribution, RequestSuspects } from '../../packages/magnoliabay/src/node/crashes'
import { createSilentLogger } from '../../packages/magnoliabay/src/node/logger'
import { createMemoryNetwork } from '../../packages/magnoliabay/src/node/members/memoryNetwork'

const REQUESTS = 100_000
const PARTS = 5
const BODY = Buffer.alloc(2000, 'x')
const FULL_TABLE = 256
const REQUESTS_PER_CRASH = 10
const VERSION = 'v1'
/** The size that decides: requests a second over all instances, and instances. */
const REQUESTS_PER_SECOND = 1200
const FLEET_SIZE = 420
const MICROSECONDS_PER_SECOND = 1_000_000
const BYTES_PER_KB = 1024

function createInstance (): CrashAttribution {
  const clock = createSystemClock()
  const peers = createMemoryNetwork({ clock }).join({ id: 'i', incarnation: 'i', startedAtMs: 0, region: 'r', failureDomain: 'a', peerAddress: '', entryAddress: '', operatorAddress: '', leaving: false, processorShare: 1 })
  return createCrashAttribution({ peers, hasCrashed: async () => true, clock, logger: createSilentLogger() })
}

function requestOf (index: number): RequestSuspects {
  const sharedParts = Array.from({ length: PARTS }, (_, part) => `5c1e07a${part}`)
  return suspectsOf({ service: 'llm', team: 'team', sharedParts, fingerprint: fingerprintOf('team', `POST /${index}`, BODY) })
}

function addCrashes (crashes: CrashAttribution, count: number): void {
  for (let index = 0; index < count; index += 1) {
    const nowMs = performance.now()
    for (let each = 0; each < REQUESTS_PER_CRASH; each += 1) {
      const parts = Array.from({ length: PARTS }, (_, part) => `${index}-${each}-${part}`)
      crashes.recordCrash(suspectsOf({ service: 'llm', team: 'team', sharedParts: parts, fingerprint: `${index}-${each}` }), { process: `s${index}@1`, softwareVersion: VERSION, sentMs: nowMs - 1, brokeMs: nowMs, trial: [] })
    }
  }
}

const microseconds = (act: () => void, count: number): number => {
  const before = process.cpuUsage()
  act()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / count
}

/** Returns the processor time of what each request costs, microseconds. */
function measureRequests (crashes: CrashAttribution): number {
  return microseconds(() => {
    for (let index = 0; index < REQUESTS; index += 1) {
      const guard = createRequestGuard(crashes, requestOf(index), 'r')
      if (guard.accusation() === undefined) guard.recordBegun(VERSION)
    }
  }, REQUESTS)
}

export async function run (): Promise<void> {
  const fingerprintOnly = microseconds(() => { for (let index = 0; index < REQUESTS; index += 1) fingerprintOf('team', `POST /${index}`, BODY) }, REQUESTS)
  const calm = measureRequests(createInstance())
  const full = createInstance()
  const heapBefore = process.memoryUsage().heapUsed
  const perReport = microseconds(() => addCrashes(full, FULL_TABLE), FULL_TABLE * REQUESTS_PER_CRASH)
  const kilobytes = (process.memoryUsage().heapUsed - heapBefore) / BYTES_PER_KB
  const busy = measureRequests(full)
  const share = 100 * (calm - fingerprintOnly) * REQUESTS_PER_SECOND / FLEET_SIZE / MICROSECONDS_PER_SECOND
  const [candidate] = requestOf(0).suspects
  const notice = { process: 'i-8db03ba63e@1789876338324', service: 'llm', softwareVersion: VERSION, ageMs: 12, candidates: requestOf(0).suspects.map(suspect => ({ suspect, teams: ['team'], sentBeforeMs: 300, isTrial: false, isCleared: false })) }
  process.stdout.write([
    `without crashes: ${calm.toFixed(1)} us a request, ${fingerprintOnly.toFixed(1)} of them for its hash; the rest is ${share.toFixed(4)}% of a core at each of ${FLEET_SIZE} instances for ${REQUESTS_PER_SECOND} requests a second`,
    `with ${FULL_TABLE} crashes of ${REQUESTS_PER_CRASH} requests: ${busy.toFixed(1)} us a request; ${perReport.toFixed(0)} us for each request that a crash cut, at each instance; about ${kilobytes.toFixed(0)} KB`,
    `${encode({ crashes: [notice] }).length} bytes for a cut request with ${PARTS} parts, such as ${candidate}`
  ].join('\n') + '\n')
}
