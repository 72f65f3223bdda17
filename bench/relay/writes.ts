/**
 * Counts store writes for non-idempotent requests, in virtual time: the product's claims, batches and shared writer with
 * the stand-in store and in-memory peers. Each request is claimed and answered, and its answer is stored.
 */
import { createDirectStore, createKvCallCounter, createKvState, createRandom } from '../../packages/standins/src/node'
import { sleep } from '../../packages/magnoliabay/src/node/clock'
import { createVirtualClock } from '../../packages/magnoliabay/src/node/clock/virtual'
import type { VirtualClock } from '../../packages/magnoliabay/src/node/clock/virtual'
import { createSilentLogger } from '../../packages/magnoliabay/src/node/logger'
import { createMemoryNetwork } from '../../packages/magnoliabay/src/node/members/memoryNetwork'
import { createBatchWriter, createIdempotencyClaims, createRetentionLease, createForwardingWriter } from '../../packages/magnoliabay/src/node/once'
import type { IdempotencyClaims } from '../../packages/magnoliabay/src/node/once'

interface WritesCase {
  instances: number
  requestsPerSecond: number
  /** Fraction of requests that repeat an earlier key. */
  repeatRatio: number
}

const SEED = 6
const DURATION_SECONDS = 20
const STORE_DELAY_MS = 3
const SERVICE_DELAY_MS = 20
const LINK_DELAY_MS = 2
const MS_PER_SECOND = 1000
const CASES: readonly WritesCase[] = [
  { instances: 1, requestsPerSecond: 100, repeatRatio: 0 },
  { instances: 9, requestsPerSecond: 10, repeatRatio: 0 },
  { instances: 9, requestsPerSecond: 100, repeatRatio: 0 },
  { instances: 9, requestsPerSecond: 100, repeatRatio: 0.05 },
  { instances: 420, requestsPerSecond: 100, repeatRatio: 0.05 },
  { instances: 420, requestsPerSecond: 1200, repeatRatio: 0.05 }
]

async function runCase (clock: VirtualClock, { instances, requestsPerSecond, repeatRatio }: WritesCase): Promise<string> {
  const random = createRandom(SEED)
  const counter = createKvCallCounter()
  const state = createKvState({ clock })
  const network = createMemoryNetwork({ clock, deliveryPolicy: () => [LINK_DELAY_MS] })
  const claimsByInstance = Array.from({ length: instances }, (_, index): IdempotencyClaims => {
    const id = `i-${index}`
    const peers = network.join({ id, incarnation: id, startedAtMs: 0, region: 'r', failureDomain: 'z', peerAddress: '', entryAddress: '', operatorAddress: '', leaving: false, processorShare: 0 })
    const direct = createDirectStore(state, { clock, counter, caller: id })
    const store: typeof direct = { ...direct, transact: async (transaction, options) => { await sleep(clock, STORE_DELAY_MS); return await direct.transact(transaction, options) } }
    const lease = createRetentionLease({ store, clock, retentionSeconds: 86_400 })
    const writer = createForwardingWriter({ peers, localWriter: createBatchWriter({ store, lease, clock }) })
    return createIdempotencyClaims({ store, writer, owner: id, clock, logger: createSilentLogger(), inProgressTimeoutMs: 60_000 })
  })
  const total = requestsPerSecond * DURATION_SECONDS
  const waits: number[] = []
  let ran = 0
  const request = async (index: number): Promise<void> => {
    const isRepeat = index > 200 && random() < repeatRatio
    const key = `key-${isRepeat ? index - 200 : index}`
    const startedMs = clock.monotonic()
    const claims = claimsByInstance[Math.floor(random() * instances)]!
    const claimed = await claims.claim({ team: 't', service: 's', idempotencyKey: key, method: 'POST', path: '/', body: Buffer.from(key) })
    waits.push(clock.monotonic() - startedMs)
    if (claimed.err || claimed.val.kind !== 'claimed') return
    ran += 1
    await sleep(clock, SERVICE_DELAY_MS)
    claims.storeResponse(claimed.val.claim, { status: 200, contentType: 'application/json', body: Buffer.alloc(300) })
  }
  Array.from({ length: total }, (_, index) => clock.schedule(random() * DURATION_SECONDS * MS_PER_SECOND, () => { request(index) }))
  await clock.advance((DURATION_SECONDS + 2) * MS_PER_SECOND)
  const { writes, reads } = counter.total()
  waits.sort((left, right) => left - right)
  const quantile = (fraction: number): string => waits[Math.floor(fraction * (waits.length - 1))]!.toFixed(0)
  return `| ${[instances, requestsPerSecond, repeatRatio, ran, (writes / total).toFixed(3), (writes / DURATION_SECONDS).toFixed(1), (reads / total).toFixed(3), quantile(0.5), quantile(0.95)].join(' | ')} |`
}

export async function runWrites (): Promise<void> {
  process.stdout.write(`\nClaims, seed ${SEED}, ${DURATION_SECONDS} s of virtual time, store ${STORE_DELAY_MS} ms, link ${LINK_DELAY_MS} ms\n\n`)
  process.stdout.write('| instances | requests/s | repeats | ran | store writes per request | writes/s | reads per request | claim wait p50, ms | p95 |\n|---|---|---|---|---|---|---|---|---|\n')
  for (const writesCase of CASES) process.stdout.write(`${await runCase(createVirtualClock(), writesCase)}\n`)
}
