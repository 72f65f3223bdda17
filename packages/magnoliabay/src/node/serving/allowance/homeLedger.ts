/**
 * A team's spending as its home counts it. Failure: all processes are killed, as after a loss of power, and nobody knows
 * what teams have spent; counting all of it as spent refuses every team for three seconds, counting nothing gives a
 * team its allowance twice. So the home records in the store what was spent, and reserves ahead what it may grant until
 * the next record; the next home counts both. Two homes at once, as members change, exclude each other: records change
 * by compare-and-swap, and the one that comes too late begins again with what the other has recorded. While the store is
 * away a home goes on without records: within the tolerance while a home after it would still trust the last one, and
 * freely once that is too old to be trusted.
 */
import type { Clock } from '../../clock'
import { TIMED_OUT, withDeadline } from '../../clock'
import type { Logger } from '../../logger'
import type { Store } from '../../store'
import { MAX_RECORD_AGE_MS, RECORD_PARTS, RECORD_PERIOD_MS, countRecord, isRecent, readSpendingRecord, spendingKey } from './spendingRecord'
import type { SpendingRecord } from './spendingRecord'
import { createSpending } from './spending'
import type { Spending } from './spending'

/**
 * What is reserved with each record: what the team spends in a second, by what it spent in the window, and a small part
 * of its limit for one that has just begun. A reserve that is spent sooner costs a call of the store and its 4 ms; after
 * a change of homes it counts as spent whether it was or not, and a roll of restarts changes homes every two seconds.
 */
const RESERVE_MS = 1000
const LEAST_RESERVE_PART = 1 / 32
/** Part of the reserve that is left when the next record is made ahead: what a team spends while the store answers. */
const AHEAD_PART = 0.2
/** Between two tries to record while the store takes none, milliseconds. */
const MIN_RECORD_PAUSE_MS = 500
/** A request waits this long at most for a record that must come before it: its caller's instance waits little longer. */
const RECORD_PATIENCE_MS = 100
/** The same for the last record of the home before; a store that is slow answers in some tenths of a second. */
const BEGIN_PATIENCE_MS = 400
/**
 * What is told is up to half a second old, a sixteenth of the window: it still holds what has left the window since. Less
 * than this part of the limit is no sign of spending that the home has not seen.
 */
const TOLD_LAG_PART = 1 / 16
/** Two homes that record in turns, as members change, each begin again; a request goes through this often. */
const MAX_TURNS = 3
const SUPERSEDED_RETRY_MS = 300

export interface LedgerLimit {
  /** What the window may hold here. */
  allowed: number
  /** Parts of instances that cannot reach the home: they spend them unseen. */
  heldBack: number
  /** May be granted beyond what the store's record covers. */
  tolerance: number
}

export interface HomeLedger {
  /** Spends `amount` if that keeps the window within the limit; else returns milliseconds until it might, 0 when spent. */
  take (amount: number, limit: LedgerLimit): Promise<number>
  giveBack (amount: number): void
  /** Another home counts now: no records are written any more. */
  close (): void
}

export interface HomeLedgerOptions {
  team: string
  /** Names this process. */
  home: string
  windowMs: number
  store: Pick<Store, 'get' | 'transact'>
  /** Counts what was spent before where the store has no recent record. */
  countWithoutRecord: (spending: Spending) => void
  /** What all have told to have spent, as far as known here. */
  toldSpent: () => number
  clock: Clock
  logger: Logger
}

export function createHomeLedger (options: HomeLedgerOptions): HomeLedger {
  const { team, home, windowMs, store, clock, logger } = options
  const key = spendingKey(team)
  let spending = createSpending(windowMs)
  /** Of the record as last read or written; undefined where it is to be read before the next write. */
  let revision: number | undefined
  /** Undefined until the first request, and after another home has recorded. */
  let beginning: Promise<void> | undefined
  let writing: Promise<void> | undefined
  /** What may still be granted under the last record. */
  let covered = 0
  /** Reserved with the last record. */
  let reserveNow = 0
  /** The store does not take records at present. */
  let isUncovered = false
  /** When the last record was made that a home after this one may find. */
  let recordedMs = 0
  let limit: LedgerLimit = { allowed: 0, heldBack: 0, tolerance: 0 }
  let isTimed = false
  let isClosed = false

  const fail = (reason: string): void => {
    if (!isUncovered) logger.warn('allowance-not-recorded', { team, reason })
    isUncovered = true
    revision = undefined
  }
  const supersede = (): void => {
    logger.info('allowance-home-superseded', { team })
    beginning = undefined
  }
  const begin = async (): Promise<void> => {
    const read = await withDeadline(clock, BEGIN_PATIENCE_MS, store.get(key, { priority: 'ledger' }))
    const now = clock.monotonic()
    const entry = read !== TIMED_OUT && read.ok ? read.val : undefined
    const record = entry === undefined ? undefined : readSpendingRecord(entry.value)
    const isKnown = record !== undefined && isRecent(record, clock.now())
    spending = createSpending(windowMs)
    covered = 0
    isUncovered = false
    recordedMs = now
    if (isKnown) countRecord(spending, record, windowMs, now)
    else options.countWithoutRecord(spending)
    revision = entry?.modRevision ?? 0
    if (read === TIMED_OUT || read.err) fail('the last record cannot be read')
    logger.info('allowance-home', {
      team,
      spentBefore: Math.round(spending.spent(now)),
      limit: Math.round(limit.allowed),
      source: isKnown ? 'record' : 'no recent record',
      recordAgeMs: record === undefined ? undefined : Math.round(clock.now() - record.wallMs)
    })
  }
  /** Instances that could not reach the home have spent parts of their own: they tell of them once the cut is over. */
  const countUnseen = (): void => {
    const now = clock.monotonic()
    const unseen = options.toldSpent() - spending.spent(now)
    if (unseen <= limit.allowed * TOLD_LAG_PART) return
    spending.note(unseen, now)
    logger.info('allowance-spent-elsewhere', { team, units: Math.round(unseen) })
  }
  /** Finds out after a lost answer whether the record is this home's own. */
  const readRevision = async (): Promise<number | 'unknown' | 'of another'> => {
    const read = await store.get(key, { priority: 'ledger' })
    if (read.err) return 'unknown'
    if (read.val === undefined) return 0
    const record = readSpendingRecord(read.val.value)
    const isOfAnother = record !== undefined && record.home !== home && isRecent(record, clock.now())
    return isOfAnother ? 'of another' : read.val.modRevision
  }
  const nextReserve = (): number =>
    Math.round(limit.allowed * LEAST_RESERVE_PART + spending.spent(clock.monotonic()) * RESERVE_MS / windowMs)
  const write = async (): Promise<void> => {
    const expected = revision ?? await readRevision()
    if (expected === 'unknown') return fail('the last record cannot be read')
    if (expected === 'of another') return supersede()
    const reserve = nextReserve()
    const reserved = reserve + Math.round(limit.heldBack)
    const value: SpendingRecord = { home, byAge: spending.byAge(RECORD_PARTS, clock.monotonic()), reserved, wallMs: clock.now() }
    const coveredBefore = covered
    const madeMs = clock.monotonic()
    const put = await store.transact({
      compares: [{ key, target: 'mod', equals: expected }],
      writes: [{ kind: 'put', key, value: JSON.stringify(value) }]
    }, { priority: 'ledger' })
    if (put.err) return fail(put.val.message)
    if (!put.val.succeeded) return supersede()
    revision = put.val.revision
    // What was granted while the record was on its way is in its reserve.
    covered = reserve - (coveredBefore - covered)
    reserveNow = reserve
    recordedMs = madeMs
    if (isUncovered) logger.info('allowance-recorded-again', { team })
    isUncovered = false
  }
  const record = (): Promise<void> => {
    writing ??= write().finally(() => { writing = undefined })
    return writing
  }
  /** Records go on until the last of what was spent has left the window. */
  const keepRecording = (): void => {
    if (isTimed || isClosed) return
    isTimed = true
    const dueMs = recordedMs + RECORD_PERIOD_MS - clock.monotonic()
    clock.schedule(Math.max(MIN_RECORD_PAUSE_MS, dueMs), async () => {
      const isDue = clock.monotonic() - recordedMs >= RECORD_PERIOD_MS
      if (isDue && !isClosed && beginning !== undefined) await record()
      isTimed = false
      if (spending.spent(clock.monotonic()) > 0) keepRecording()
    })
  }
  const isRecordDue = (): boolean => covered < 0 && !isUncovered && beginning !== undefined
  /** Waits for the record that has to come before what was just granted. */
  const cover = async (): Promise<void> => {
    const untilMs = clock.monotonic() + RECORD_PATIENCE_MS
    while (isRecordDue()) {
      const leftMs = untilMs - clock.monotonic()
      if (leftMs <= 0 || await withDeadline(clock, leftMs, record()) === TIMED_OUT) return fail('no answer in time')
    }
  }
  const untilUntrustedMs = (): number => recordedMs + MAX_RECORD_AGE_MS - clock.monotonic()
  /** Grants what the last record does not cover only while no home after this one could spend it again. */
  const settle = (amount: number): number => {
    const isCovered = covered >= 0 || -covered <= limit.tolerance || untilUntrustedMs() <= 0
    if (isCovered) return 0
    covered += amount
    spending.giveBack(amount, clock.monotonic())
    return Math.max(1, untilUntrustedMs())
  }
  const takeOnce = async (amount: number): Promise<number | 'superseded'> => {
    if (beginning === undefined) {
      beginning = begin()
      // What was taken over must not grow too old in the store while this home grants nothing.
      beginning.then(() => record())
      keepRecording()
    }
    const begun = beginning
    await begun
    countUnseen()
    const waitMs = spending.take(amount, limit.allowed, clock.monotonic())
    if (waitMs > 0) return waitMs
    covered -= amount
    keepRecording()
    if (!isUncovered && covered < reserveNow * AHEAD_PART) record()
    if (covered < 0) await cover()
    return beginning === begun ? settle(amount) : 'superseded'
  }

  return {
    take: async (amount, current) => {
      limit = current
      for (let turn = 0; turn < MAX_TURNS; turn += 1) {
        const taken = await takeOnce(amount)
        if (taken !== 'superseded') return taken
      }
      return SUPERSEDED_RETRY_MS
    },
    giveBack: amount => spending.giveBack(amount, clock.monotonic()),
    close: () => { isClosed = true }
  }
}
