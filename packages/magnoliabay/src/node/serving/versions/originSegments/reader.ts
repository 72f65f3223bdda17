/** Looks streams up in the segments of all writers, which are read together and kept for lookups that follow. */
import type { CancelTimer, Clock } from '../../../clock'
import { TIMED_OUT, sleep, withTimeout } from '../../../clock'
import type { InputMonitor } from '../../../inputs'
import type { Logger } from '../../../logger'
import type { KeyValue, Store } from '../../../store'
import type { StoredLookup } from '../storedOrigins'
import { HASH_LENGTH, decodeSegment, includesHash } from './encoding'
import type { OriginStreams } from './encoding'
import { SEGMENTS_PREFIX } from './writer'

/** Least time between the starts of two reads, milliseconds. */
const READ_INTERVAL_MS = 1000
/** A read that takes longer has failed, milliseconds. */
const READ_TIMEOUT_MS = 1000
/** Time for which what was read is kept, milliseconds: callers resume their streams within seconds. */
const KEEP_MS = 30_000

export interface SegmentReader {
  /** Looks a stream up by its hash. */
  find (hash: string): Promise<StoredLookup>
}

export interface SegmentReaderOptions {
  store: Pick<Store, 'range'>
  clock: Clock
  logger: Logger
  /** Logs and counts values that cannot be read. @default they are only skipped */
  inputs?: Pick<InputMonitor, 'recordRefused'>
}

interface Snapshot {
  /** The newest last. */
  origins: readonly OriginStreams[]
  /** Whether every segment could be read. */
  isComplete: boolean
}

export function createSegmentReader ({ store, clock, logger, inputs }: SegmentReaderOptions): SegmentReader {
  let snapshot: Snapshot | undefined
  let startedMs = -Infinity
  /** The next read, while it waits for its start. */
  let next: Promise<Snapshot | undefined> | undefined
  let cancelDrop: CancelTimer = () => {}
  /** Keys of values that could not be read in the last read, which are not logged again. */
  let refused: ReadonlySet<string> = new Set()

  const parse = (entries: readonly KeyValue[]): Snapshot => {
    const unreadable = new Set<string>()
    const byAge = [...entries].sort((left, right) => left.modRevision - right.modRevision)
    const origins = byAge.flatMap(({ key, value }) => {
      const decoded = decodeSegment(value)
      if (decoded.ok) return decoded.val
      unreadable.add(key)
      if (!refused.has(key)) inputs?.recordRefused('store-value', { key }, decoded.val.message)
      return []
    })
    refused = unreadable
    return { origins, isComplete: unreadable.size === 0 }
  }
  const read = async (): Promise<Snapshot | undefined> => {
    next = undefined
    startedMs = clock.monotonic()
    const entries = await withTimeout(clock, READ_TIMEOUT_MS, store.range(SEGMENTS_PREFIX, { priority: 'ownership' }))
    const tookMs = Math.round(clock.monotonic() - startedMs)
    if (entries === TIMED_OUT || entries.err) {
      logger.info('stream-origins-not-read', { reason: entries === TIMED_OUT ? 'timeout' : entries.val.kind, tookMs })
      return undefined
    }
    snapshot = parse(entries.val.entries)
    logger.info('stream-origins-read', { segments: entries.val.entries.length, records: snapshot.origins.reduce((sum, { streams }) => sum + streams.length / HASH_LENGTH, 0), unreadable: refused.size, tookMs })
    cancelDrop()
    cancelDrop = clock.schedule(KEEP_MS, () => { snapshot = undefined })
    return snapshot
  }
  const waitForTurn = async (): Promise<void> => {
    const delayMs = startedMs + READ_INTERVAL_MS - clock.monotonic()
    if (delayMs > 0) await sleep(clock, delayMs)
  }
  /** Returns what a read that starts now or later finds: one under way may miss what was written just before. */
  const readAgain = (): Promise<Snapshot | undefined> => {
    next ??= waitForTurn().then(read)
    return next
  }
  const lookUp = (found: Snapshot | undefined, hash: string): StoredLookup => {
    const origin = found?.origins.findLast(({ streams }) => includesHash(streams, hash))
    if (origin !== undefined) return { kind: 'found', origin: { service: origin.service, softwareVersion: origin.softwareVersion } }
    return found?.isComplete === true ? { kind: 'absent' } : { kind: 'unreadable' }
  }
  return {
    find: async hash => {
      const known = lookUp(snapshot, hash)
      return known.kind === 'found' ? known : lookUp(await readAgain(), hash)
    }
  }
}
