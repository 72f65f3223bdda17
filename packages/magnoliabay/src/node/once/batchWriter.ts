/**
 * Writes claims in batches, each in one transaction of the store.
 *
 * A transaction is atomic, so one conflicting write fails its whole batch. Conflicting writes are then found
 * by reading their keys, and the others are written again: repeats are rare, and reads are cheap.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import type { Store, StoreError } from '../store'
import type { Compare, Transaction, WriteOperation } from '../store/store'
import type { RetentionLease } from './retentionLease'
import { sizeOf } from './claimWriter'
import type { ClaimWrite, ClaimWriter, WriteOutcome } from './claimWriter'

export interface BatchWriterOptions {
  store: Store
  lease: RetentionLease
  clock: Clock
  /** Time for which writes are collected after a batch, milliseconds. @default 50 */
  batchWindowMs?: number
  /** Maximum number of writes in one transaction; the store accepts 128 operations. @default 100 */
  maxWrites?: number
}

const DEFAULT_BATCH_WINDOW_MS = 50
const DEFAULT_MAX_WRITES = 100
const MAX_BATCH_BYTES = 1_000_000
/** After this many retries, the writes of a batch with conflicts are committed individually. */
const MAX_BATCH_RETRIES = 3
/** Number of recently claimed keys kept in memory, about 2 MB. They are only a hint; the store decides. */
const MAX_RECENT_KEYS = 20_000
const STORE_OPTIONS = { priority: 'once' } as const

interface QueuedWrite {
  write: ClaimWrite
  settle: (outcome: WriteOutcome) => void
}

export function createBatchWriter (options: BatchWriterOptions): ClaimWriter {
  const { store, lease, clock } = options
  const batchWindowMs = options.batchWindowMs ?? DEFAULT_BATCH_WINDOW_MS
  const maxWrites = options.maxWrites ?? DEFAULT_MAX_WRITES
  let queue: QueuedWrite[] = []
  let isWindowOpen = false
  const recentClaimKeys = createRecentKeys(MAX_RECENT_KEYS)

  /** Takes the writes of one transaction off the queue. A key may occur only once in it; what doesn't fit stays queued. */
  const takeBatch = (): QueuedWrite[] => {
    const keys = new Set<string>()
    let bytes = 0
    const batch = queue.filter(({ write }) => {
      const fits = keys.size < maxWrites && !keys.has(write.key) && (keys.size === 0 || bytes + sizeOf(write) <= MAX_BATCH_BYTES)
      if (!fits) return false
      keys.add(write.key)
      bytes += sizeOf(write)
      return true
    })
    const taken = new Set(batch)
    queue = queue.filter(queued => !taken.has(queued))
    return batch
  }
  const flush = (): void => {
    isWindowOpen = queue.length > 0
    if (!isWindowOpen) return
    clock.schedule(batchWindowMs, flush)
    inBackground('commit-batch', commitBatch(takeBatch(), MAX_BATCH_RETRIES))
  }
  const commitBatch = async (batch: readonly QueuedWrite[], retriesLeft: number): Promise<void> => {
    if (batch.length === 0) return
    const granted = await lease.current()
    if (granted.err) return settleAll(batch, 'unavailable')
    const written = await store.transact(transactionOf(batch.map(({ write }) => write), granted.val), STORE_OPTIONS)
    if (written.ok) return written.val.succeeded ? settleAll(batch, 'done') : await retryOpenWrites(batch, retriesLeft)
    if (written.val.kind === 'lease-lost' && retriesLeft > 0) {
      lease.invalidate(granted.val)
      return await commitBatch(batch, retriesLeft - 1)
    }
    if (written.val.kind === 'unknown') return await resolveUnknownOutcome(batch)
    // A write that the store rejects as invalid must not fail the other writes of its batch.
    if (written.val.kind === 'invalid' && batch.length > 1) return await commitIndividually(batch)
    settleAll(batch, outcomeOf(written.val))
  }
  const retryOpenWrites = async (batch: readonly QueuedWrite[], retriesLeft: number): Promise<void> => {
    if (batch.length === 1) return await settleByReading(batch, 'unavailable')
    const states = await Promise.all(batch.map(async queued => await readWriteState(queued.write)))
    batch.forEach(({ settle }, index) => {
      const state = states[index]!
      if (state !== 'open') settle(state === 'unread' ? 'unavailable' : state)
    })
    const open = batch.filter((_queued, index) => states[index] === 'open')
    if (retriesLeft > 0) return await commitBatch(open, retriesLeft - 1)
    await commitIndividually(open)
  }
  const commitIndividually = async (batch: readonly QueuedWrite[]): Promise<void> => {
    await Promise.all(batch.map(queued => commitBatch([queued], 0)))
  }
  /** The store's response was lost, so its values show which writes of the batch took effect. */
  const resolveUnknownOutcome = async (batch: readonly QueuedWrite[]): Promise<void> => await settleByReading(batch, 'unknown')
  const settleByReading = async (batch: readonly QueuedWrite[], fallback: WriteOutcome): Promise<void> => {
    await Promise.all(batch.map(async ({ write, settle }) => {
      const state = await readWriteState(write)
      settle(state === 'done' || state === 'lost' ? state : fallback)
    }))
  }
  /** `open`: the write would still take effect. */
  const readWriteState = async (write: ClaimWrite): Promise<'done' | 'lost' | 'open' | 'unread'> => {
    const found = await store.get(write.key, STORE_OPTIONS)
    if (found.err) return 'unread'
    const value = found.val?.value
    return WRITE_STATE_BY_KIND[write.kind](write as never, value)
  }
  const enqueue = (queued: QueuedWrite): void => {
    queue.push(queued)
    // A full batch is sent at once: one batch per window was too slow for 1,200 requests per second, and
    // callers were refused.
    if (queue.length >= maxWrites) inBackground('commit-batch', commitBatch(takeBatch(), MAX_BATCH_RETRIES))
    if (isWindowOpen) return
    isWindowOpen = true
    // The first write after an idle time is not delayed; only writes that follow within the window are batched.
    clock.schedule(0, flush)
  }
  /** Reads the key of a repeated claim first, since a conflict would fail its batch and cost a read for each write. */
  const enqueueUnlessResolved = async (queued: QueuedWrite): Promise<void> => {
    const state = await readWriteState(queued.write)
    if (state === 'open') return enqueue(queued)
    queued.settle(state === 'unread' ? 'unavailable' : state)
  }
  return {
    write: write => new Promise(resolve => {
      const queued = { write, settle: resolve }
      if (write.kind !== 'claim') return enqueue(queued)
      if (recentClaimKeys.has(write.key)) return inBackground('enqueue-claim', enqueueUnlessResolved(queued))
      recentClaimKeys.add(write.key)
      enqueue(queued)
    })
  }
}

interface RecentKeys {
  has (key: string): boolean
  add (key: string): void
}

/** Keeps the `maxKeys` most recently added keys. */
function createRecentKeys (maxKeys: number): RecentKeys {
  const keys = new Set<string>()
  return {
    has: key => keys.has(key),
    add: key => {
      keys.add(key)
      const [oldest] = keys
      if (keys.size > maxKeys && oldest !== undefined) keys.delete(oldest)
    }
  }
}

type WriteState = 'done' | 'lost' | 'open'
type WriteOf<Kind extends ClaimWrite['kind']> = Extract<ClaimWrite, { kind: Kind }>

const WRITE_STATE_BY_KIND: { [Kind in ClaimWrite['kind']]: (write: WriteOf<Kind>, found: string | undefined) => WriteState } = {
  claim: (write, found) => found === undefined ? 'open' : found === write.value ? 'done' : 'lost',
  replace: (write, found) => found === write.value ? 'done' : found === write.expected ? 'open' : 'lost',
  remove: (write, found) => found === undefined ? 'done' : found === write.expected ? 'open' : 'lost',
  part: (write, found) => found === write.value ? 'done' : 'open'
}

function transactionOf (writes: readonly ClaimWrite[], leaseId: string): Transaction {
  return {
    compares: writes.flatMap(compareOf),
    writes: writes.map(write => operationOf(write, leaseId))
  }
}

function compareOf (write: ClaimWrite): Compare[] {
  if (write.kind === 'part') return []
  if (write.kind === 'claim') return [{ key: write.key, target: 'create', equals: 0 }]
  return [{ key: write.key, target: 'value', equals: write.expected }]
}

function operationOf (write: ClaimWrite, leaseId: string): WriteOperation {
  return write.kind === 'remove'
    ? { kind: 'delete', key: write.key }
    : { kind: 'put', key: write.key, value: write.value, leaseId }
}

function outcomeOf (err: StoreError): WriteOutcome {
  return err.kind === 'unknown' ? 'unknown' : 'unavailable'
}

function settleAll (batch: readonly QueuedWrite[], outcome: WriteOutcome): void {
  batch.forEach(({ settle }) => settle(outcome))
}
