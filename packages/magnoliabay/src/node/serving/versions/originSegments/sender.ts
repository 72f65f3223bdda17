/**
 * Brings an instance's records to the writers. It keeps each record until its stream can no longer be resumed, so that it can send
 * it again when the store has been restored from an older copy and its writer may be gone.
 */
import { inBackground } from '../../../background'
import type { CancelTimer, Clock } from '../../../clock'
import type { Logger } from '../../../logger'
import type { HashedRecord } from './encoding'
import type { WriteOptions, WriteOutcome } from './writer'

/** Time for which records are collected, milliseconds. */
const COLLECT_MS = 100
/** Records that wait to be written, and as many that have been; the oldest are dropped first. */
const MAX_RECORDS = 20_000
/** Records in one message: 110 KB. */
const MAX_RECORDS_PER_CALL = 10_000
/** Delay after the first failure, and the longest, milliseconds. */
const MIN_RETRY_MS = 500
const MAX_RETRY_MS = 8000
/** Records after which those that have expired are dropped. */
const SWEEP_INTERVAL = 500

export interface RecordSender {
  add (records: readonly HashedRecord[], options: WriteOptions): void
}

export interface RecordSenderOptions {
  /** Writers in the order in which they are tried. */
  writers: () => readonly string[]
  /** Sends records to a writer; undefined if it has not answered. */
  writeAt: (writer: string, records: readonly HashedRecord[], options: WriteOptions) => Promise<WriteOutcome | undefined>
  /** Called with the number of records that were dropped unwritten. */
  onDropped?: (records: number) => void
  clock: Clock
  logger: Logger
}

export function createRecordSender ({ writers, writeAt, onDropped = () => {}, clock, logger }: RecordSenderOptions): RecordSender {
  const unwritten = new Map<string, HashedRecord>()
  const written = new Map<string, HashedRecord>()
  let knownEra: number | undefined
  /** Records that are on their way to a writer. */
  const inFlight = new Set<HashedRecord>()
  let failures = 0
  let dueMs = Infinity
  let cancelSend: CancelTimer = () => {}
  let addedSinceSweep = 0
  /** Records dropped unwritten since the last sweep. */
  let dropped = 0

  /** Adds a record as the newest; returns whether the oldest has been dropped for it. */
  const addTo = (records: Map<string, HashedRecord>, record: HashedRecord): boolean => {
    records.delete(record.hash)
    records.set(record.hash, record)
    return records.size > MAX_RECORDS && records.delete(records.keys().next().value!)
  }
  const sweep = (): void => {
    const now = clock.monotonic()
    ;[unwritten, written].forEach(records => records.forEach(({ untilMs }, hash) => { if (untilMs <= now) records.delete(hash) }))
    if (dropped === 0) return
    onDropped(dropped)
    logger.warn('stream-origins-dropped', { records: dropped })
    dropped = 0
  }
  const keep = (record: HashedRecord): void => {
    addedSinceSweep += 1
    if (addTo(unwritten, record)) dropped += 1
    if (addedSinceSweep < SWEEP_INTERVAL) return
    addedSinceSweep = 0
    sweep()
  }
  /** What was written in an earlier era may have been lost. */
  const noteEra = (era: number): void => {
    if (knownEra !== undefined && era > knownEra) {
      logger.info('stream-origins-sent-again', { records: written.size, era })
      written.forEach((record, hash) => { if (!unwritten.has(hash)) unwritten.set(hash, record) })
      written.clear()
    }
    knownEra = Math.max(era, knownEra ?? era)
  }
  const noteWritten = (records: readonly HashedRecord[]): void => records.forEach(record => {
    if (unwritten.get(record.hash) === record) unwritten.delete(record.hash)
    addTo(written, record)
  })
  /** Tries one writer after the other; returns whether one has written the records. */
  const sendBatch = async (records: readonly HashedRecord[], options: WriteOptions): Promise<boolean> => {
    for (const writer of writers()) {
      const outcome = await writeAt(writer, records, options)
      if (outcome?.isWritten !== true) continue
      noteEra(outcome.era)
      noteWritten(records)
      return true
    }
    return false
  }
  const sendBatches = async (records: readonly HashedRecord[], options: WriteOptions): Promise<boolean> => {
    for (let from = 0; from < records.length; from += MAX_RECORDS_PER_CALL) {
      if (!await sendBatch(records.slice(from, from + MAX_RECORDS_PER_CALL), options)) return false
    }
    return true
  }
  const sendAll = async (options: WriteOptions): Promise<boolean> => {
    sweep()
    // Records that came while others are on their way do not wait for them.
    const records = [...unwritten.values()].filter(record => options.isUrgent || !inFlight.has(record))
    records.forEach(record => inFlight.add(record))
    const isWritten = await sendBatches(records, options)
    records.forEach(record => inFlight.delete(record))
    return isWritten
  }
  const schedule = (delayMs: number): void => {
    const nextMs = clock.monotonic() + delayMs
    if (nextMs >= dueMs) return
    cancelSend()
    dueMs = nextMs
    cancelSend = clock.schedule(delayMs, () => inBackground('send-stream-origins', send()))
  }
  const retryMs = (): number => failures === 0 ? 0 : Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (failures - 1))
  const recordResult = (isWritten: boolean): void => {
    failures = isWritten ? 0 : failures + 1
    if (!isWritten) logger.info('stream-origins-not-sent', { records: unwritten.size, failures })
    if ([...unwritten.values()].some(record => !inFlight.has(record))) schedule(Math.max(COLLECT_MS, retryMs()))
  }
  const send = async (): Promise<void> => {
    dueMs = Infinity
    recordResult(await sendAll({ isUrgent: false }))
  }
  /** Does not wait for a message that is on its way: its writer may be gone. */
  const sendUrgently = async (): Promise<void> => recordResult(await sendAll({ isUrgent: true }))

  return {
    add: (records, { isUrgent }) => {
      if (records.length === 0) return
      records.forEach(keep)
      if (isUrgent) inBackground('send-stream-origins', sendUrgently())
      else schedule(Math.max(COLLECT_MS, retryMs()))
    }
  }
}
