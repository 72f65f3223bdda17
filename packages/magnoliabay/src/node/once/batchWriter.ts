/**
 * Writes claims in groups, several in one transaction of the store.
 *
 * A transaction takes effect as a whole or not at all, so that one loser would fail its whole group. The
 * losers are then found by reading, and the others written again: repeats are rare, and reads are cheap.
 */
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
  /** After a group, the next waits this long for others to join, milliseconds. @default 50 */
  batchWindowMs?: number
  /** Writes in one transaction; the store takes 128 operations. @default 100 */
  maxWrites?: number
}

const WINDOW_MS = 50
const MAX_WRITES = 100
const MAX_GROUP_BYTES = 1_000_000
/** A group that keeps losing members to others goes on one write at a time. */
const GROUP_ROUNDS = 3
/** Keys of claims written here lately, about 2 MB. A hint only: what the store holds decides. */
const MAX_RECENT_KEYS = 20_000
const PRIORITY = { priority: 'once' } as const

interface Waiting {
  write: ClaimWrite
  settle: (outcome: WriteOutcome) => void
}

export function createBatchWriter (options: BatchWriterOptions): ClaimWriter {
  const { store, lease, clock } = options
  const windowMs = options.batchWindowMs ?? WINDOW_MS
  const maxWrites = options.maxWrites ?? MAX_WRITES
  let queue: Waiting[] = []
  let isWindowOpen = false
  const claimedHere = createRecentKeys(MAX_RECENT_KEYS)

  /** A transaction may name a key only once; what doesn't fit waits for the next group. */
  const takeGroup = (): Waiting[] => {
    const keys = new Set<string>()
    let bytes = 0
    const group = queue.filter(({ write }) => {
      const fits = keys.size < maxWrites && !keys.has(write.key) && (keys.size === 0 || bytes + sizeOf(write) <= MAX_GROUP_BYTES)
      if (!fits) return false
      keys.add(write.key)
      bytes += sizeOf(write)
      return true
    })
    const taken = new Set(group)
    queue = queue.filter(waiting => !taken.has(waiting))
    return group
  }
  const flush = (): void => {
    isWindowOpen = queue.length > 0
    if (!isWindowOpen) return
    clock.schedule(windowMs, flush)
    carryOut(takeGroup(), GROUP_ROUNDS)
  }
  const carryOut = async (group: readonly Waiting[], rounds: number): Promise<void> => {
    if (group.length === 0) return
    const granted = await lease.current()
    if (granted.err) return settleAll(group, 'unavailable')
    const written = await store.transact(transactionOf(group.map(({ write }) => write), granted.val), PRIORITY)
    if (written.ok) return written.val.succeeded ? settleAll(group, 'done') : await withoutLosers(group, rounds)
    if (written.val.kind === 'lease-lost' && rounds > 0) {
      lease.invalidate(granted.val)
      return await carryOut(group, rounds - 1)
    }
    if (written.val.kind === 'unknown') return await readBack(group)
    // One write that the store won't take must not fail those that happened to be grouped with it.
    if (written.val.kind === 'invalid' && group.length > 1) return await oneByOne(group)
    settleAll(group, outcomeOf(written.val))
  }
  const withoutLosers = async (group: readonly Waiting[], rounds: number): Promise<void> => {
    if (group.length === 1) return await settleByReading(group, 'unavailable')
    const stands = await Promise.all(group.map(async waiting => await standOf(waiting.write)))
    group.forEach(({ settle }, index) => {
      const stand = stands[index]!
      if (stand !== 'open') settle(stand === 'unread' ? 'unavailable' : stand)
    })
    const open = group.filter((_waiting, index) => stands[index] === 'open')
    if (rounds > 0) return await carryOut(open, rounds - 1)
    await oneByOne(open)
  }
  const oneByOne = async (group: readonly Waiting[]): Promise<void> => {
    await Promise.all(group.map(waiting => carryOut([waiting], 0)))
  }
  /** The answer was lost: what the store holds tells which of the group took effect. */
  const readBack = async (group: readonly Waiting[]): Promise<void> => await settleByReading(group, 'unknown')
  const settleByReading = async (group: readonly Waiting[], otherwise: WriteOutcome): Promise<void> => {
    await Promise.all(group.map(async ({ write, settle }) => {
      const stand = await standOf(write)
      settle(stand === 'done' || stand === 'lost' ? stand : otherwise)
    }))
  }
  /** `open`: the write would still take effect. */
  const standOf = async (write: ClaimWrite): Promise<'done' | 'lost' | 'open' | 'unread'> => {
    const found = await store.get(write.key, PRIORITY)
    if (found.err) return 'unread'
    const value = found.val?.value
    return STANDS[write.kind](write as never, value)
  }
  const enqueue = (waiting: Waiting): void => {
    queue.push(waiting)
    // A full group gains nothing by waiting, and would hold up those behind it: a writer that sent one
    // group in each window fell behind at 1,200 requests a second, and its callers were refused.
    if (queue.length >= maxWrites) carryOut(takeGroup(), GROUP_ROUNDS)
    if (isWindowOpen) return
    isWindowOpen = true
    // The first after a calm time doesn't wait; only those that come close behind it are grouped.
    clock.schedule(0, flush)
  }
  /** A repeat would fail its whole group, and each of that would have to be read: it is read alone before. */
  const readFirst = async (waiting: Waiting): Promise<void> => {
    const stand = await standOf(waiting.write)
    if (stand === 'open') return enqueue(waiting)
    waiting.settle(stand === 'unread' ? 'unavailable' : stand)
  }
  return {
    write: write => new Promise(resolve => {
      const waiting = { write, settle: resolve }
      if (write.kind !== 'claim') return enqueue(waiting)
      if (claimedHere.has(write.key)) return readFirst(waiting)
      claimedHere.add(write.key)
      enqueue(waiting)
    })
  }
}

interface RecentKeys {
  has (key: string): boolean
  add (key: string): void
}

/** The keys added last, `max` of them at most. */
function createRecentKeys (max: number): RecentKeys {
  const keys = new Set<string>()
  return {
    has: key => keys.has(key),
    add: key => {
      keys.add(key)
      const [oldest] = keys
      if (keys.size > max && oldest !== undefined) keys.delete(oldest)
    }
  }
}

type Stand = 'done' | 'lost' | 'open'
type WriteOf<Kind extends ClaimWrite['kind']> = Extract<ClaimWrite, { kind: Kind }>

const STANDS: { [Kind in ClaimWrite['kind']]: (write: WriteOf<Kind>, found: string | undefined) => Stand } = {
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

function settleAll (group: readonly Waiting[], outcome: WriteOutcome): void {
  group.forEach(({ settle }) => settle(outcome))
}
