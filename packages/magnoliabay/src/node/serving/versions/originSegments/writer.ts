/**
 * Writes records of several instances into segments: keys that grow by rewriting, so that one write serves many streams. What it
 * has written it keeps until it expires, and writes it again if the store has lost it.
 */
import { inBackground } from '../../../background'
import type { CancelTimer, Clock } from '../../../clock'
import { LEDGERS_PREFIX } from '../../../constants'
import type { Logger } from '../../../logger'
import { Err, Ok } from '../../../result'
import type { Result } from '../../../result'
import type { PutOperation, Store, StoreError, StoreErrorKind } from '../../../store'
import { encodeSegment } from './encoding'
import type { HashedRecord } from './encoding'
import { createSegmentLeases } from './lease'
import type { Lease } from './lease'

/** Outside the prefix that every instance reads at its start. */
export const SEGMENTS_PREFIX = `${LEDGERS_PREFIX}/stream-origins/`
/** Least time between two writes, milliseconds, while few records wait; each call of the store is priced. */
const WRITE_INTERVAL_MS = 500
/** The same once so many records wait: the streams of the last batch are refused after a restart of all instances. */
const BUSY_INTERVAL_MS = 200
const BUSY_RECORDS = 4
/** The same while a further software version has just turned up, which is rare. */
const URGENT_INTERVAL_MS = 100
/** Instances learn of a further version within some milliseconds of each other: their records fit into one write. */
const URGENT_DELAY_MS = 20
/** A segment that is larger is not rewritten any more, records: 16 KB. */
const MAX_SEGMENT_RECORDS = 1500
/** Segments in one write, within the 32 entries that a transaction may have. */
const MAX_SEGMENTS_PER_WRITE = 8
const MAX_RECORDS_PER_WRITE = MAX_SEGMENT_RECORDS * (MAX_SEGMENTS_PER_WRITE - 1)
/** The oldest records are dropped first. */
const MAX_RECORDS = 50_000
/** Delay after the first failure, and the longest, milliseconds. */
const MIN_RETRY_MS = 500
const MAX_RETRY_MS = 8000
/** Without a write for this long, the writer asks the store whether its lease is still there, milliseconds. */
const CHECK_INTERVAL_MS = 5000
/** How often records that have expired are dropped, milliseconds. */
const SWEEP_INTERVAL_MS = 2000
/** Calls with these outcomes have certainly not been carried out, and will not be. */
const NOT_CARRIED_OUT: readonly StoreErrorKind[] = ['unavailable', 'over-budget']

/** Calls of the store, and its era, which rises whenever it has been restored from an older copy. */
export type SegmentStore = Pick<Store, 'range' | 'transact' | 'grantLease' | 'renewLease'> & { era (): number }

export interface WriteOptions {
  /** Whether to write sooner than at the usual interval. */
  isUrgent: boolean
}

export interface WriteOutcome {
  isWritten: boolean
  /** The store's era as known here. */
  era: number
}

export interface SegmentWriter {
  /** Resolves when the store has acknowledged the records, or has not. */
  write (records: readonly HashedRecord[], options: WriteOptions): Promise<WriteOutcome>
}

export interface SegmentWriterOptions {
  store: SegmentStore
  /** Differs from the name of any other writer, also of an earlier process. */
  name: string
  clock: Clock
  logger: Logger
  /** Called with the number of records of each write that the store has acknowledged, or has not. */
  onWrite?: (records: number, isWritten: boolean) => void
}

interface Segment {
  key: string
  records: readonly HashedRecord[]
}

export function createSegmentWriter ({ store, name, clock, logger, onWrite = () => {} }: SegmentWriterOptions): SegmentWriter {
  const leases = createSegmentLeases({ store, clock })
  /** Records that the store has until they expire, by hash, with the end of their lease. */
  const stored = new Map<string, { record: HashedRecord, expiresMs: number }>()
  const unwritten = new Map<string, HashedRecord>()
  let waiting: Array<(isWritten: boolean) => void> = []
  /** The segment that grows. */
  let segment: Segment | undefined
  let segmentCount = 0
  let lastWriteMs = -Infinity
  let lastCallMs = -Infinity
  let lastSweepMs = -Infinity
  let failures = 0
  let isWriting = false
  let isUrgentNext = false
  let dueMs = Infinity
  let cancelWrite: CancelTimer = () => {}
  let cancelCheck: CancelTimer = () => {}

  const dropExpired = (): void => {
    const now = clock.monotonic()
    if (now - lastSweepMs < SWEEP_INTERVAL_MS) return
    lastSweepMs = now
    stored.forEach(({ record }, hash) => { if (record.untilMs <= now) stored.delete(hash) })
    unwritten.forEach(({ untilMs }, hash) => { if (untilMs <= now) unwritten.delete(hash) })
    while (stored.size > MAX_RECORDS) stored.delete(stored.keys().next().value!)
    while (unwritten.size > MAX_RECORDS) unwritten.delete(unwritten.keys().next().value!)
  }
  /** The store has lost the lease, and maybe records under earlier ones: all are written again. */
  const rewriteAll = (reason: string): void => {
    leases.drop()
    segment = undefined
    if (stored.size > 0) logger.info('stream-origins-written-again', { records: stored.size, reason })
    stored.forEach(({ record }, hash) => { if (!unwritten.has(hash)) unwritten.set(hash, record) })
    stored.clear()
  }
  const isLeaseOfEarlierEra = (): boolean => store.era() > (leases.current()?.era ?? Infinity)
  const obtainLease = async (untilMs: number): Promise<Result<Lease, StoreError>> => {
    if (isLeaseOfEarlierEra()) rewriteAll('era')
    const before = leases.current()
    const lease = await leases.obtain(untilMs)
    if (lease.err) return lease
    if (before !== undefined && lease.val.era > before.era) {
      rewriteAll('era')
      return await leases.obtain(untilMs)
    }
    if (lease.val !== before) segment = undefined
    return lease
  }
  /** Adds records to the segment that grows, and to new ones. */
  const planSegments = (added: readonly HashedRecord[]): Segment[] => {
    const segments: Segment[] = []
    let open = segment
    let rest = added
    while (rest.length > 0) {
      if (open === undefined || open.records.length >= MAX_SEGMENT_RECORDS) {
        segmentCount += 1
        open = { key: `${SEGMENTS_PREFIX}${name}/${segmentCount}`, records: [] }
      }
      const taken = rest.slice(0, MAX_SEGMENT_RECORDS - open.records.length)
      rest = rest.slice(taken.length)
      open = { ...open, records: [...open.records, ...taken] }
      segments.push(open)
    }
    return segments
  }
  const writeBatch = async (size: number): Promise<Result<void, StoreError>> => {
    const before = leases.current()
    const lease = await obtainLease([...unwritten.values()].reduce((latest, { untilMs }) => Math.max(latest, untilMs), 0))
    if (lease.err) return lease
    const batch = [...unwritten.values()].slice(0, size)
    const segments = planSegments(batch)
    const puts = segments.map(({ key, records }): PutOperation => ({ kind: 'put', key, value: encodeSegment(records), leaseId: lease.val.id }))
    const written = await store.transact({ compares: [], writes: puts }, { priority: 'ownership' })
    onWrite(batch.length, written.ok)
    // Granted in an era that ended while the answer was on its way.
    if (written.ok && isLeaseOfEarlierEra()) {
      rewriteAll('era')
      return Err({ kind: 'lease-lost', message: 'The store went back to an older copy meanwhile.' })
    }
    if (written.err) {
      // A write whose outcome is unknown may be carried out later, and must not replace one that came after it.
      if (!NOT_CARRIED_OUT.includes(written.val.kind)) segment = undefined
      if (written.val.kind === 'lease-lost' || isLeaseOfEarlierEra()) rewriteAll(written.val.kind)
      return written
    }
    segment = segments.at(-1)
    batch.forEach(record => {
      stored.set(record.hash, { record, expiresMs: lease.val.expiresMs })
      if (unwritten.get(record.hash) === record) unwritten.delete(record.hash)
    })
    logger.debug('stream-origins-written', { records: batch.length, segments: segments.length, bytes: puts.reduce((sum, { value }) => sum + value.length, 0), kept: stored.size, isNewLease: lease.val !== before })
    return Ok(undefined)
  }
  /** Writes what is unwritten now, not what is added meanwhile; a lease that turns out to be lost is replaced at once. */
  const writeAll = async (): Promise<Result<void, StoreError>> => {
    let remaining = unwritten.size
    let hasRetried = false
    while (remaining > 0) {
      const size = Math.min(remaining, MAX_RECORDS_PER_WRITE)
      const written = await writeBatch(size)
      if (written.err && (written.val.kind !== 'lease-lost' || hasRetried)) return written
      hasRetried ||= written.err
      remaining = written.err ? unwritten.size : remaining - size
    }
    return Ok(undefined)
  }
  const retryAtMs = (): number => failures === 0 ? -Infinity : lastWriteMs + Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (failures - 1))
  const intervalMs = (): number => {
    if (isUrgentNext) return URGENT_INTERVAL_MS
    return unwritten.size >= BUSY_RECORDS ? BUSY_INTERVAL_MS : WRITE_INTERVAL_MS
  }
  const scheduleWrite = (isUrgent: boolean): void => {
    isUrgentNext ||= isUrgent
    if (isWriting) return
    const now = clock.monotonic()
    const earliestMs = lastWriteMs + intervalMs()
    const nextMs = Math.max(now + (isUrgentNext ? URGENT_DELAY_MS : 0), earliestMs, retryAtMs())
    if (nextMs >= dueMs) return
    cancelWrite()
    dueMs = nextMs
    cancelWrite = clock.schedule(nextMs - now, () => inBackground('write-stream-origins', flush()))
  }
  const flush = async (): Promise<void> => {
    dueMs = Infinity
    isWriting = true
    isUrgentNext = false
    dropExpired()
    const answered = waiting
    waiting = []
    const written = await writeAll()
    isWriting = false
    lastWriteMs = lastCallMs = clock.monotonic()
    failures = written.ok ? 0 : failures + 1
    if (written.err) logger.info('stream-origins-not-written', { records: unwritten.size, reason: written.val.kind, failures })
    answered.forEach(answer => answer(written.ok))
    if (unwritten.size > 0 || waiting.length > 0) scheduleWrite(isUrgentNext)
    scheduleCheck()
  }
  /** While nothing is written, a restore of the store from an older copy would go unnoticed. */
  const check = async (): Promise<void> => {
    dropExpired()
    const lease = leases.current()
    if (lease === undefined || stored.size === 0 || isWriting) return
    if (clock.monotonic() - lastCallMs < CHECK_INTERVAL_MS) return scheduleCheck()
    lastCallMs = clock.monotonic()
    const renewed = await store.renewLease(lease.id)
    if (isWriting || leases.current() !== lease) return
    if ((renewed.err && renewed.val.kind === 'lease-lost') || isLeaseOfEarlierEra()) {
      rewriteAll('check')
      scheduleWrite(false)
    }
    scheduleCheck()
  }
  const scheduleCheck = (): void => {
    cancelCheck()
    if (stored.size === 0) return
    cancelCheck = clock.schedule(Math.max(0, lastCallMs + CHECK_INTERVAL_MS - clock.monotonic()), () => inBackground('check-stream-origins', check()))
  }
  /** Whether the store has the record for as long as the stream may be resumed. */
  const isStored = (record: HashedRecord): boolean => {
    const found = stored.get(record.hash)
    if (found === undefined || found.expiresMs < record.untilMs || isLeaseOfEarlierEra()) return false
    if (found.record.untilMs < record.untilMs) found.record = record
    return true
  }

  return {
    write: (records, { isUrgent }) => new Promise(resolve => {
      const answer = (isWritten: boolean): void => resolve({ isWritten, era: store.era() })
      // The senders have others to go to, and what is unwritten here is tried again.
      if (failures > 0 && clock.monotonic() < retryAtMs()) return answer(false)
      records.forEach(record => { if (!isStored(record)) unwritten.set(record.hash, record) })
      if (unwritten.size === 0 && !isWriting) return answer(true)
      waiting.push(answer)
      scheduleWrite(isUrgent)
    })
  }
}
