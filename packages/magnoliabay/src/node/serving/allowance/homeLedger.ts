/**
 * Counts a team's spending at its home. Failure: all processes are killed, as after a loss of power, and no process knows
 * what teams have spent. Counting whole limits as spent would refuse every team for seconds, counting nothing would grant
 * a team its allowance twice. So the home records the spending in the store, with a reserve that it may grant until the
 * next record; the next home counts both.
 *
 * A home grants what its record covers (`recordCoverage.ts`), and little more while the store accepts no records. So the
 * next home may trust any record that it finds, however old and whatever the clocks say, unless the store was restored
 * from an older copy since: then the whole limit counts as spent. Two homes at once, as members change, exclude each
 * other: records change by compare-and-swap, and the one that is too late starts again from the other's record.
 */
import { inBackground, runStep } from '../../background'
import type { Clock } from '../../clock'
import { TIMED_OUT, withTimeout } from '../../clock'
import type { Logger } from '../../logger'
import type { Store } from '../../store'
import { eraOfRevision } from '../../store/eras'
import type { AllowanceParts, PartAsk, PartDecision } from './allowanceParts'
import { NOTHING_RECORDED, createRecordCoverage } from './recordCoverage'
import type { CoveringRecord } from './recordCoverage'
import { RECORD_PARTS, RECORD_INTERVAL_MS, applyRecord, mergeByAge, parseSpendingRecord, spendingKey } from './spendingRecord'
import type { SpendingRecord } from './spendingRecord'
import { createSlidingWindowCounter } from './slidingWindowCounter'

/**
 * Each record reserves what the team spends in this time, by its average over the window, and a small part of its limit
 * for a team that has just started to spend. A reserve that is spent sooner costs a store call of 4 ms. After a change of
 * homes it counts as spent whether it was or not, and a rolling restart changes homes every two seconds.
 */
const RESERVED_SPENDING_MS = 1000
const MIN_RESERVE_RATIO = 1 / 32
/** Remaining part of the reserve at which the next record is written: what a team spends while the store responds. */
const RECORD_AHEAD_RATIO = 0.2
/** Interval at which a due record is written, also while the store accepts none, in milliseconds. */
const RECORD_CHECK_INTERVAL_MS = 500
/** Longest time that a request waits for a record that must be written first; the asking instance waits only a little longer. */
const RECORD_WRITE_TIMEOUT_MS = 100
/** Longest time that a request waits for the previous home's record to be read; a slow store takes some tenths of a second. */
const RECORD_READ_TIMEOUT_MS = 400
/**
 * Reported spending is up to half a second old, a sixteenth of the window, and includes what has left the window since.
 * So an excess below this part of the limit does not indicate spending that is in no record.
 */
const REPORT_LAG_RATIO = 1 / 16
/** Two homes that record alternately, as members change, each load the record again; a request is tried this many times. */
const MAX_TAKE_ATTEMPTS = 3
const SUPERSEDED_RETRY_DELAY_MS = 300
/**
 * Part of the tolerance for a recently started home that could not read the last record. It knows no spending, and while
 * the store is unreachable, processes may restart several times in a window and each grant as much again.
 */
const UNREAD_TOLERANCE_RATIO = 0.5
/** Wait for amounts that the record does not cover, until the store may accept one, in milliseconds. */
const UNCOVERED_RETRY_DELAY_MS = 1000

export interface LedgerLimit {
  /** Largest spending in the window that this home may count. */
  allowed: number
  /** Shares of instances that cannot reach the home and spend them without its knowledge. */
  unreachableShares: number
  /** Amount that may be granted beyond what the record in the store covers. */
  tolerance: number
}

export interface LedgerDecision {
  /** 0 when spent, else the time in milliseconds until the amount might be. */
  waitMs: number
  /** Undefined if the allowance is not divided. */
  part: PartDecision | undefined
}

export interface HomeLedger {
  /** Counts what an instance spent of its own share while it could not reach the home. */
  recordShareSpending (units: number): void
  /**
   * Spends `amount` if that keeps the window within the limit, and if the division of the allowance allows it.
   */
  take (amount: number, ask: PartAsk): Promise<LedgerDecision>
  refund (amount: number, part: string): void
  /** Stops writing records, since another home counts now. */
  close (): void
}

export interface HomeLedgerOptions {
  team: string
  /** Incarnation of this process. */
  home: string
  windowMs: number
  store: Pick<Store, 'get' | 'transact'>
  /** Returns the current limit. */
  limit: () => LedgerLimit
  /** Whether this process has run for less than a window, and so may not know what was spent before it started. */
  lacksHistory: () => boolean
  /** Returns what all members have reported as spent, as far as known here. */
  reportedSpent: () => number
  /** Returns the store's era, which rises whenever the store is restored from an older copy. */
  era: () => number
  /** Divides the allowance among routes; undefined where it is first come, first served. */
  parts: AllowanceParts | undefined
  clock: Clock
  logger: Logger
}

/** Returns the source of a home's initial spending, for the log. */
function sourceOf (isRead: boolean, record: SpendingRecord | undefined): 'record' | 'no record' | 'reported spending' {
  if (!isRead) return 'reported spending'
  return record === undefined ? 'no record' : 'record'
}

export function createHomeLedger (options: HomeLedgerOptions): HomeLedger {
  const { team, home, windowMs, store, limit, parts, clock, logger } = options
  const key = spendingKey(team)
  let spending = createSlidingWindowCounter(windowMs)
  /** What instances spent of their own shares; another home's record may lack it. */
  const shareSpending = createSlidingWindowCounter(windowMs)
  /** Revision of the record as last read or written; undefined if it has to be read before the next write. */
  let revision: number | undefined
  /** Loads the spending counted so far. Undefined until the first request, and after another home has written a record. */
  let loading: Promise<void> | undefined
  let writing: Promise<void> | undefined
  let hasLoaded = false
  /** Whether a read of the record has succeeded, so that earlier spending is known. */
  let hasReadRecord = false
  /** Era of the last record. */
  let recordedEra = 0
  const coverage = createRecordCoverage()
  /** Units reserved by the last record. */
  let currentReserve = 0
  /** Whether the last attempt to read or write the record failed. */
  let isRecordingFailed = false
  /** Whether neither a record nor sufficient reports are known. */
  let isHistoryUnknown = false
  let recordedMs = 0
  /** Shares set aside by the last record for instances that cannot reach the home. */
  let recordedUnreachableShares = 0
  let isCheckScheduled = false
  let isClosed = false

  const markRecordingFailed = (reason: string): void => {
    if (!isRecordingFailed) logger.warn('allowance-not-recorded', { team, reason })
    isRecordingFailed = true
    revision = undefined
  }
  const markSuperseded = (): void => {
    logger.info('allowance-home-superseded', { team })
    loading = undefined
  }
  /** A process that never reached the store itself takes the era from the revision that a peer read there. */
  const eraNow = (): number => Math.max(options.era(), eraOfRevision(revision ?? 0))
  const remainingCoverage = (): number => coverage.remaining(spending.byAge(RECORD_PARTS, clock.monotonic()))
  const loadFromRecord = (record: SpendingRecord | undefined, own: readonly number[], now: number): void => {
    // Without a record, only amounts that need none or that this home counted were ever granted.
    const found = record ?? NOTHING_RECORDED
    applyRecord(spending, { byAge: mergeByAge(found.byAge, own), reserved: found.reserved }, windowMs, now)
    coverage.reset(record ?? NOTHING_RECORDED)
    // The previous home may have ended without recording spending from a partition that was reported to it.
    const unrecorded = Math.max(options.reportedSpent(), maxLostSpending(record)) - spending.spent(now)
    if (unrecorded > limit().allowed * REPORT_LAG_RATIO) spending.record(unrecorded, now)
  }
  /**
   * When a restore of the store may have lost a later record, only a home that counted at the time knows the spending.
   * Otherwise the whole limit counts as spent. Without any record the copy may be older than the team's first one; a process that
   * has run for a window then relies on what has been reported to it.
   */
  const maxLostSpending = (record: SpendingRecord | undefined): number => {
    const mayBeLost = record === undefined ? eraNow() > 0 && options.lacksHistory() : record.era < eraNow()
    return mayBeLost && !hasReadRecord ? limit().allowed : 0
  }
  /**
   * Starts from the reported spending, and assumes that the record that the next home will find covers about as much. A
   * recently started process has received too few reports, and counts none.
   */
  const loadFromReports = (own: readonly number[], now: number): void => {
    applyRecord(spending, { byAge: own, reserved: 0 }, windowMs, now)
    isHistoryUnknown = options.lacksHistory()
    const reported = isHistoryUnknown ? 0 : Math.max(0, options.reportedSpent() - spending.spent(now))
    spending.record(reported, now)
    coverage.reset({ byAge: own, reserved: reported })
    markRecordingFailed('the last record cannot be read')
  }
  const loadSpending = async (): Promise<void> => {
    const read = await withTimeout(clock, RECORD_READ_TIMEOUT_MS, store.get(key, { priority: 'ledger' }))
    const now = clock.monotonic()
    const isRead = read !== TIMED_OUT && read.ok
    const entry = isRead ? read.val : undefined
    const record = entry === undefined ? undefined : parseSpendingRecord(entry.value)
    // Another home may have written a record, or the store may have been restored: what this home granted stays spent.
    const own = hasLoaded ? spending.byAge(RECORD_PARTS, now) : []
    spending = createSlidingWindowCounter(windowMs)
    isRecordingFailed = false
    isHistoryUnknown = false
    recordedMs = now
    revision = entry?.modRevision ?? 0
    if (isRead) loadFromRecord(record, own, now)
    else loadFromReports(own, now)
    if (!hasLoaded) spending.record(shareSpending.spent(now), now)
    hasLoaded = true
    hasReadRecord ||= isRead
    logger.info('allowance-home', {
      team,
      spentBefore: Math.round(spending.spent(now)),
      limit: Math.round(limit().allowed),
      source: sourceOf(isRead, record),
      recordAgeMs: record === undefined ? undefined : Math.round(clock.now() - record.wallMs)
    })
  }
  /** Reads the record's revision after a lost response, and whether another home wrote it. */
  const readRevision = async (): Promise<number | 'unknown' | 'of another home'> => {
    const read = await store.get(key, { priority: 'ledger' })
    if (read.err) return 'unknown'
    if (read.val === undefined) return 0
    const record = parseSpendingRecord(read.val.value)
    return record !== undefined && record.home !== home ? 'of another home' : read.val.modRevision
  }
  const nextReserve = (): number =>
    Math.round(limit().allowed * MIN_RESERVE_RATIO + spending.spent(clock.monotonic()) * RESERVED_SPENDING_MS / windowMs)
  const write = async (): Promise<void> => {
    const expected = revision ?? await readRevision()
    if (expected === 'unknown') return markRecordingFailed('the last record cannot be read')
    if (expected === 'of another home') return markSuperseded()
    const reserve = nextReserve()
    const measuredAtMs = clock.monotonic()
    const byAge = spending.byAge(RECORD_PARTS, measuredAtMs)
    // The shares of unreachable instances are theirs to spend, and cover nothing granted here.
    const covering: CoveringRecord = { byAge, reserved: reserve }
    const unreachableShares = Math.round(limit().unreachableShares)
    const value: SpendingRecord = { home, era: eraNow(), byAge, reserved: reserve + unreachableShares, wallMs: clock.now() }
    // Its response may be lost, and the next home may find this record or the previous one.
    coverage.add(covering)
    const put = await store.transact({
      compares: [{ key, target: 'mod', equals: expected }],
      writes: [{ kind: 'put', key, value: JSON.stringify(value) }]
    }, { priority: 'ledger' })
    if (put.err) return markRecordingFailed(put.val.message)
    if (!put.val.succeeded) return markSuperseded()
    revision = put.val.revision
    coverage.reset(covering)
    currentReserve = reserve
    recordedUnreachableShares = unreachableShares
    recordedMs = measuredAtMs
    recordedEra = value.era
    if (isRecordingFailed) logger.info('allowance-recorded-again', { team })
    isRecordingFailed = false
  }
  const writeRecord = (): Promise<void> => {
    writing ??= write().finally(() => { writing = undefined })
    return writing
  }
  /**
   * Instances that lose contact spend their own shares from then on and report them afterwards, whether or not anything
   * is granted here. If all were killed before the next record, the next home would count none of it. A store that was
   * restored may have lost the last record.
   */
  const isRecordOutdated = (): boolean =>
    clock.monotonic() - recordedMs >= RECORD_INTERVAL_MS || eraNow() > recordedEra || limit().unreachableShares > recordedUnreachableShares + 1 || remainingCoverage() < 0
  /** Writes records until all spending has left the window. */
  const scheduleRecording = (): void => {
    if (isCheckScheduled || isClosed) return
    isCheckScheduled = true
    clock.schedule(RECORD_CHECK_INTERVAL_MS, () => { inBackground('record-spending', recordIfOutdated()) })
  }
  const recordIfOutdated = async (): Promise<void> => {
    if (isRecordOutdated() && !isClosed && loading !== undefined) await runStep('write-record', writeRecord)
    isCheckScheduled = false
    if (spending.spent(clock.monotonic()) > 0) scheduleRecording()
  }
  const needsRecordFirst = (): boolean => remainingCoverage() < 0 && !isRecordingFailed && loading !== undefined
  /** Waits for the record that has to be written before the amount just counted may be granted. */
  const awaitCoverage = async (): Promise<void> => {
    const untilMs = clock.monotonic() + RECORD_WRITE_TIMEOUT_MS
    while (needsRecordFirst()) {
      const leftMs = untilMs - clock.monotonic()
      if (leftMs <= 0 || await withTimeout(clock, leftMs, writeRecord()) === TIMED_OUT) return markRecordingFailed('no response in time')
    }
  }
  const refund = (amount: number, part: string): void => {
    spending.refund(amount, clock.monotonic())
    parts?.refund(part, amount)
  }
  /** Spends the amount if the limit and the division allow it. */
  const spend = (amount: number, ask: PartAsk): LedgerDecision => {
    const { allowed } = limit()
    const part = parts?.mayTake(ask, amount, allowed, spending)
    const waitMs = part === undefined || part.waitMs === 0 ? spending.take(amount, allowed, clock.monotonic()) : part.waitMs
    if (waitMs === 0) parts?.recordSpent(ask, amount)
    return { waitMs, part }
  }
  /**
   * Refunds the amount if the spending exceeds the record's coverage by more than the tolerance. Returns 0 when granted,
   * else the wait in milliseconds.
   */
  const refundUncovered = (amount: number, part: string): number => {
    const tolerance = limit().tolerance * (isHistoryUnknown ? UNREAD_TOLERANCE_RATIO : 1)
    if (remainingCoverage() >= -tolerance) return 0
    refund(amount, part)
    return UNCOVERED_RETRY_DELAY_MS
  }
  const takeOnce = async (amount: number, ask: PartAsk): Promise<LedgerDecision | 'superseded'> => {
    if (loading === undefined) {
      loading = loadSpending()
      // The next home has to find what this one counts, even if it grants nothing.
      inBackground('write-record', loading.then(() => writeRecord()))
      scheduleRecording()
    }
    const ownLoading = loading
    await ownLoading
    if (!isRecordingFailed && isRecordOutdated()) inBackground('write-record', writeRecord())
    const decision = spend(amount, ask)
    if (decision.waitMs > 0) return decision
    scheduleRecording()
    if (!isRecordingFailed && remainingCoverage() < currentReserve * RECORD_AHEAD_RATIO) inBackground('write-record', writeRecord())
    if (remainingCoverage() < 0) await awaitCoverage()
    return loading === ownLoading ? { ...decision, waitMs: refundUncovered(amount, ask.part) } : 'superseded'
  }

  return {
    take: async (amount, ask) => {
      parts?.recordAsked(ask, amount)
      for (let attempt = 0; attempt < MAX_TAKE_ATTEMPTS; attempt += 1) {
        const taken = await takeOnce(amount, ask)
        if (taken !== 'superseded') return taken
      }
      return { waitMs: SUPERSEDED_RETRY_DELAY_MS, part: undefined }
    },
    recordShareSpending: units => {
      if (units <= 0) return
      shareSpending.record(units, clock.monotonic())
      spending.record(units, clock.monotonic())
      scheduleRecording()
      logger.info('allowance-spent-elsewhere', { team, units: Math.round(units) })
    },
    refund,
    close: () => { isClosed = true }
  }
}
