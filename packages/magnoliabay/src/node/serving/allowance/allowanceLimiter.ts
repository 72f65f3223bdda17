/**
 * Limits teams to their allowances over the fleet. One instance, a team's home, counts for all. An instance that cannot
 * reach the home spends an equal share of what is left, and the home sets that share aside as spent. The spending is
 * recorded in the store (`homeLedger.ts`). Every instance also reports its own spending, so that a home learns of
 * spending that it has not counted.
 */
import { inBackground } from '../../background'
import * as v from 'valibot'
import { TIMED_OUT, withTimeout } from '../../clock'
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import { definePeerCall, definePeerNotice, homeInstanceOf } from '../../members'
import type { PeerError, Peers } from '../../members'
import type { Result } from '../../result'
import type { Store } from '../../store'
import { addCount } from '../../utils'
import type { Team } from '../types'
import { COMMON_PART, createAllowanceParts } from './allowanceParts'
import type { AllowanceParts, PartAsk, PartDecision } from './allowanceParts'
import { createHomeLedger } from './homeLedger'
import type { HomeLedger, LedgerDecision, LedgerLimit } from './homeLedger'
import { createSlidingWindowCounter } from './slidingWindowCounter'
import type { SlidingWindowCounter } from './slidingWindowCounter'

/** A home replies within a round trip; a request that waits longer would miss its objective. */
const ASK_TIMEOUT_MS = 150
/**
 * Longest wait for a home that is linked, if the own share does not cover the request: a home reads its record first, which
 * takes up to 400 ms while the store is slow. A share at 86 instances is less than two requests in a window, so that without
 * the wait nearly all requests of such a team would be rejected within its limit.
 */
const LATE_REPLY_TIMEOUT_MS = 500
/**
 * A home whose reply was late is asked only for requests that the own share does not cover for this long, and one that did
 * not reply for none, since each request would wait for the timeout again.
 */
const HOME_RETRY_DELAY_MS = 1000
/** A process that knows no other member by then takes itself for the only one. */
const MEMBER_DISCOVERY_TIMEOUT_MS = 2000
const MEMBER_DISCOVERY_RETRY_DELAY_MS = 300
/** Retry delay for a request that the instance's own share does not cover, milliseconds: the home is asked again by then. */
const SHARE_RETRY_DELAY_MS = 1000
/** Part of the tolerance that a home uses while the store accepts no records; the rest is for instances that cannot reach it. */
const UNRECORDED_TOLERANCE_RATIO = 0.5

export interface TakeRequest {
  team: string
  amount: number
  /** Units that the asking instance has spent of its own share since a home last replied to it. */
  apart: number
  /** Undefined from an instance of an older version, and where allowances are not divided. */
  ask?: PartAsk
}

export interface TakeReply {
  /** 0 when granted, else the time in milliseconds until the amount may be available; undefined if the home does not know the team. */
  waitMs: number | undefined
  /** Undefined from an instance of an older version, and where allowances are not divided. */
  part?: PartDecision
}

interface RefundNotice {
  team: string
  amount: number
  /** Undefined from an instance of an older version, and where allowances are not divided. */
  part?: string
}

const askSchema = v.object({ part: v.string(), session: v.optional(v.string()), caller: v.optional(v.string()), patienceMs: v.optional(v.number()) })
const decisionSchema = v.object({ waitMs: v.number(), partClass: v.picklist(['within', 'lent']), guarantee: v.number(), partSpent: v.number() })
const takeCall = definePeerCall<TakeRequest, TakeReply>('allowance.take', {
  req: v.object({ team: v.string(), amount: v.number(), apart: v.number(), ask: v.optional(askSchema) }),
  res: v.object({ waitMs: v.optional(v.number()), part: v.optional(decisionSchema) })
})
const refundNotice = definePeerNotice<RefundNotice>('allowance.give-back', v.object({ team: v.string(), amount: v.number(), part: v.optional(v.string()) }))

/** The outcome for a request, decided by the `home` or from the `share` of this instance alone. */
export interface AllowanceDecision {
  waitMs: number
  decidedBy: 'home' | 'share'
  /** Undefined if the allowance is not divided, or if the decision did not depend on the division. */
  part?: PartDecision
}

/** Units of a team's allowance spent within the window. */
export interface TeamSpending {
  team: string
  units: number
}

export interface AllowanceLimiter {
  /** `ask` is ignored where allowances are not divided. @default the common part */
  take (team: Team, amount: number, ask?: PartAsk): Promise<AllowanceDecision>
  /**
   * Refunds the units that a request took `ageMs` ago (0 by default) and that no server used. `part` is the common part by default. Units
   * that have left the window are not refunded: they would be subtracted from the spending of others.
   */
  refund (team: Team, amount: number, ageMs?: number, part?: string): void
  /** Returns what this instance has spent, to be reported to other members. */
  ownSpending (): readonly TeamSpending[]
  /** Records the spending reported by a process. Its last report counts for one window after its end. */
  recordPeerSpending (incarnation: string, amounts: readonly TeamSpending[]): void
  /** Returns what this instance and the members that report to it have spent. */
  spendingWithDownstream (): readonly TeamSpending[]
  /** Returns what all members have spent, as far as reported to this instance. */
  fleetSpending (): readonly TeamSpending[]
  /** Records the spending of all members, as sent by an instance that receives all reports. */
  recordFleetSpending (amounts: readonly TeamSpending[]): void
}

/** What a team may be granted beyond its limit, since instances that cannot reach each other count separately. */
export interface AllowanceTolerance {
  /** Fraction of the limit. */
  ratio: number
  /** Added to that, in units of the allowance. */
  slack: number
}

export interface AllowanceLimiterOptions {
  peers: Peers
  /** Returns the team as configured now. */
  findTeam: (name: string) => Team | undefined
  /** Length of the window in which rate and burst are counted, in milliseconds. */
  windowMs: number
  /** Whether the whole system starts for the first time, so that nothing was spent before this process. */
  isFirstStart: boolean
  store: Pick<Store, 'get' | 'transact'>
  /** Returns the store's era, which rises whenever the store is restored from an older copy. */
  era: () => number
  tolerance: AllowanceTolerance
  /** Divides allowances among routes; `random` returns a number from 0 to below 1. @default first come, first served */
  division?: { random: () => number }
  clock: Clock
  logger: Logger
}

interface ReportedSpending {
  unitsByTeam: ReadonlyMap<string, number>
  reportedAtMs: number
}

const MS_PER_SECOND = 1000
const COMMON_ASK: PartAsk = { part: COMMON_PART }

/** Rounds the units to what a log line shows, so that the reply stays short. */
function roundUnits (part: PartDecision): PartDecision {
  return { ...part, guarantee: Math.round(part.guarantee), partSpent: Math.round(part.partSpent), waitMs: Math.round(part.waitMs) }
}

/** Leaves `part` out where allowances are not divided. */
function decisionOf (decidedBy: AllowanceDecision['decidedBy'], waitMs: number, part: PartDecision | undefined): AllowanceDecision {
  return part === undefined ? { waitMs, decidedBy } : { waitMs, decidedBy, part }
}

export function createAllowanceLimiter (options: AllowanceLimiterOptions): AllowanceLimiter {
  const { peers, findTeam, windowMs, clock, logger } = options
  /** Ledgers of the teams whose home is this instance, by team. */
  const ledgers = new Map<string, HomeLedger>()
  /** Spending of this instance, by team. */
  const ownCounters = new Map<string, SlidingWindowCounter>()
  /** By incarnation, since a restarted process does not know what the one before it spent. */
  const reports = new Map<string, ReportedSpending>()
  let fleetReport: ReportedSpending | undefined
  /** Spending of this instance from its own share that no home has counted yet, by team. */
  const uncountedUnits = new Map<string, number>()
  const startedMs = clock.monotonic()
  /** When homes that did not reply are asked again, and homes whose reply was late are asked for every request. */
  const homeRetryAtMs = new Map<string, number>()
  const slowHomeUntilMs = new Map<string, number>()
  /** Divide the own share by the demand that this instance has seen, by team. */
  const ownParts = new Map<string, AllowanceParts>()

  const createParts = (): AllowanceParts | undefined =>
    options.division === undefined ? undefined : createAllowanceParts({ windowMs, clock, random: options.division.random })
  const ownPartsOf = (team: string): AllowanceParts | undefined => {
    const found = ownParts.get(team) ?? createParts()
    if (found !== undefined) ownParts.set(team, found)
    return found
  }
  const limitOf = (team: Team): number => team.rate * windowMs / MS_PER_SECOND + team.burst
  const toleranceOf = (team: Team): number => limitOf(team) * options.tolerance.ratio + options.tolerance.slack
  /** Whether this process has run for less than a window, and so may not know all spending in it. */
  const lacksHistory = (): boolean => !options.isFirstStart && clock.monotonic() - startedMs < windowMs
  /** Whether the other members are known. An instance that knows only itself would take itself for the home of every team. */
  const areMembersKnown = (): boolean => options.isFirstStart || peers.members().length > 1 || clock.monotonic() - startedMs > MEMBER_DISCOVERY_TIMEOUT_MS
  const ownCounterOf = (team: string): SlidingWindowCounter => {
    const found = ownCounters.get(team) ?? createSlidingWindowCounter(windowMs)
    ownCounters.set(team, found)
    return found
  }
  const isCurrent = (each: ReportedSpending): boolean => clock.monotonic() - each.reportedAtMs < windowMs
  /** Returns the reported spending, weighted down by age: the spending of a process that has ended leaves the window gradually. */
  const weightedReportsOf = (team: string): number[] => [...reports.values()].filter(isCurrent)
    .map(each => (each.unitsByTeam.get(team) ?? 0) * (1 - (clock.monotonic() - each.reportedAtMs) / windowMs))
  const spentWithDownstream = (team: string): number => weightedReportsOf(team).reduce((sum, units) => sum + units, ownCounterOf(team).spent(clock.monotonic()))
  /** Each process reports to this instance, or one reports for all. Both are the same sum, and either may be older. */
  const fleetSpent = (team: string): number => {
    const reported = fleetReport !== undefined && isCurrent(fleetReport) ? fleetReport.unitsByTeam.get(team) ?? 0 : 0
    return Math.max(spentWithDownstream(team), reported)
  }
  const spendingByTeam = (sumOf: (team: string) => number): TeamSpending[] => {
    const teams = new Set([...ownCounters.keys(), ...[...reports.values()].flatMap(each => [...each.unitsByTeam.keys()])])
    return [...teams].map(team => ({ team, units: Math.round(sumOf(team)) })).filter(({ units }) => units > 0)
  }
  const toReport = (spent: readonly TeamSpending[]): ReportedSpending => ({ unitsByTeam: new Map(spent.map(({ team, units }) => [team, units])), reportedAtMs: clock.monotonic() })
  /** Returns the whole allowance without the equal shares of the instances that cannot reach this one. */
  const ledgerLimit = (team: Team): LedgerLimit => {
    const members = peers.members()
    const unreachable = members.filter(member => !peers.isConnected(member.id)).length
    const unreachableShares = limitOf(team) * unreachable / Math.max(1, members.length)
    return { allowed: limitOf(team) - unreachableShares, unreachableShares, tolerance: toleranceOf(team) * UNRECORDED_TOLERANCE_RATIO }
  }
  const createLedger = (team: Team): HomeLedger => createHomeLedger({
    team: team.name,
    home: peers.self.incarnation,
    windowMs,
    store: options.store,
    limit: () => ledgerLimit(findTeam(team.name) ?? team),
    lacksHistory,
    reportedSpent: () => fleetSpent(team.name),
    era: options.era,
    parts: createParts(),
    clock,
    logger
  })
  const takeAsHome = (team: Team, amount: number, spentFromShare: number, ask: PartAsk): Promise<LedgerDecision> => {
    const ledger = ledgers.get(team.name) ?? createLedger(team)
    ledgers.set(team.name, ledger)
    ledger.recordShareSpending(spentFromShare)
    return ledger.take(amount, ask)
  }
  const dropLedger = (team: string): void => {
    ledgers.get(team)?.close()
    ledgers.delete(team)
  }
  peers.serve(takeCall, async ({ team: name, amount, apart: spentFromShare, ask = COMMON_ASK }) => {
    const team = findTeam(name)
    // A home that has just started knows no team: whatever it granted would be in addition to what the team has spent.
    if (team === undefined) return { waitMs: undefined }
    if (team.rate === 0) return { waitMs: 0 }
    const { waitMs, part } = await takeAsHome(team, amount, spentFromShare, ask)
    return part === undefined ? { waitMs } : { waitMs, part: roundUnits(part) }
  })
  peers.listen(refundNotice, ({ team: name, amount, part = COMMON_PART }) => ledgers.get(name)?.refund(amount, part))
  const recordHomeDecision = (team: Team, amount: number, ask: PartAsk, { waitMs, part }: LedgerDecision): AllowanceDecision => {
    if (waitMs === 0) {
      ownCounterOf(team.name).record(amount, clock.monotonic())
      ownPartsOf(team.name)?.recordSpent(ask, amount)
    }
    return decisionOf('home', waitMs, part)
  }
  const takeFromShare = (team: Team, amount: number, ask: PartAsk): AllowanceDecision => {
    const memberCount = Math.max(1, peers.members().length)
    const ownSpent = ownCounterOf(team.name).spent(clock.monotonic())
    // What the home itself spent before the partition is in no share, so all reported spending is subtracted first.
    const remainingShare = Math.max(0, limitOf(team) - fleetSpent(team.name)) / memberCount
    const knownShare = Math.min(limitOf(team) / memberCount, ownSpent + remainingShare)
    // A process that lacks history does not know what was spent before, so it spends only its share of the tolerance.
    const limit = lacksHistory() ? toleranceOf(team) * (1 - UNRECORDED_TOLERANCE_RATIO) / memberCount : knownShare
    // An amount above the team's limit is granted if the window is empty. One that is only above the share is not, since
    // each instance that restarts during a partition would grant one.
    if (amount > limit && amount <= limitOf(team)) return { waitMs: SHARE_RETRY_DELAY_MS, decidedBy: 'share' }
    // The caller may return to another instance, so no units of the share are kept for it.
    const part = ownPartsOf(team.name)?.mayTake({ ...ask, caller: undefined }, amount, limit, ownCounterOf(team.name))
    const waitMs = part === undefined || part.waitMs === 0 ? ownCounterOf(team.name).take(amount, limit, clock.monotonic()) : part.waitMs
    if (waitMs === 0) {
      addCount(uncountedUnits, team.name, amount)
      ownPartsOf(team.name)?.recordSpent(ask, amount)
    }
    return decisionOf('share', waitMs, part)
  }
  /** Removes and returns the uncounted units, so that each of several calls in flight carries different ones. */
  const takeUncounted = (team: string): number => {
    const units = uncountedUnits.get(team) ?? 0
    uncountedUnits.delete(team)
    return units
  }
  /**
   * Sends the uncounted units with the next call. From the reported totals alone, a home could not distinguish them from
   * what it had granted itself or had taken over from the previous home, and would grant them once more.
   */
  const askHome = async (home: string, team: string, amount: number, ask: PartAsk, timeoutMs = ASK_TIMEOUT_MS): Promise<Result<TakeReply, PeerError>> => {
    const uncounted = takeUncounted(team)
    const req: TakeRequest = { team, amount, apart: uncounted }
    const reply = await peers.call(home, takeCall, options.division === undefined ? req : { ...req, ask }, { timeoutMs })
    if (reply.err || reply.val.waitMs === undefined) addCount(uncountedUnits, team, uncounted)
    return reply
  }
  peers.onConnected(member => [...uncountedUnits.keys()]
    .filter(team => homeInstanceOf(peers, team) === member.id)
    .forEach(team => inBackground('ask-home', askHome(member.id, team, 0, COMMON_ASK))))
  const isWaiting = (untilMs: ReadonlyMap<string, number>, home: string): boolean => (untilMs.get(home) ?? 0) > clock.monotonic()
  const pauseAsking = (pauses: Map<string, number>, team: string, home: string, reason: string): void => {
    pauses.set(home, clock.monotonic() + HOME_RETRY_DELAY_MS)
    logger.warn('allowance-home-unreached', { team, home, reason })
  }
  const applyReply = (team: Team, amount: number, ask: PartAsk, home: string, reply: Result<TakeReply, PeerError>): AllowanceDecision => {
    if (reply.ok && reply.val.waitMs !== undefined) {
      slowHomeUntilMs.delete(home)
      return recordHomeDecision(team, amount, ask, { waitMs: reply.val.waitMs, part: reply.val.part })
    }
    pauseAsking(homeRetryAtMs, team.name, home, reply.ok ? 'the home does not know the team' : reply.val.kind)
    return takeFromShare(team, amount, ask)
  }
  /** Asks the home. While its reply is late, a request that the own share covers is granted from the share. */
  const takeRemotely = async (team: Team, amount: number, ask: PartAsk, home: string): Promise<AllowanceDecision> => {
    const isSlow = isWaiting(slowHomeUntilMs, home)
    const early = isSlow ? takeFromShare(team, amount, ask) : undefined
    if (early?.waitMs === 0) return early
    const timeoutMs = Math.min(LATE_REPLY_TIMEOUT_MS, Math.max(ASK_TIMEOUT_MS, ask.patienceMs ?? LATE_REPLY_TIMEOUT_MS))
    const reply = askHome(home, team.name, amount, ask, timeoutMs)
    if (isSlow || await withTimeout(clock, ASK_TIMEOUT_MS, reply) !== TIMED_OUT) return applyReply(team, amount, ask, home, await reply)
    pauseAsking(slowHomeUntilMs, team.name, home, 'no reply yet')
    const covered = takeFromShare(team, amount, ask)
    return covered.waitMs === 0 ? covered : applyReply(team, amount, ask, home, await reply)
  }

  return {
    take: async (team, amount, ask = COMMON_ASK) => {
      if (team.rate === 0) return { waitMs: 0, decidedBy: 'share' }
      if (!areMembersKnown()) return { waitMs: MEMBER_DISCOVERY_RETRY_DELAY_MS, decidedBy: 'share' }
      ownPartsOf(team.name)?.recordAsked(ask, amount)
      const home = homeInstanceOf(peers, team.name)
      if (home === peers.self.id) return recordHomeDecision(team, amount, ask, await takeAsHome(team, amount, takeUncounted(team.name), ask))
      // The ledger kept here is out of date as soon as another instance counts.
      dropLedger(team.name)
      if (!peers.isConnected(home) || isWaiting(homeRetryAtMs, home)) return takeFromShare(team, amount, ask)
      return await takeRemotely(team, amount, ask, home)
    },
    refund: (team, amount, ageMs = 0, part = COMMON_PART) => {
      if (ageMs + LATE_REPLY_TIMEOUT_MS >= windowMs) return
      if (team.rate === 0) return
      ownCounterOf(team.name).refund(amount, clock.monotonic())
      ownPartsOf(team.name)?.refund(part, amount)
      // Units that no home has counted yet must not be refunded there.
      if ((uncountedUnits.get(team.name) ?? 0) >= amount) return addCount(uncountedUnits, team.name, -amount)
      const home = homeInstanceOf(peers, team.name)
      if (home === peers.self.id) ledgers.get(team.name)?.refund(amount, part)
      else peers.notify(home, refundNotice, options.division === undefined ? { team: team.name, amount } : { team: team.name, amount, part })
    },
    ownSpending: () => [...ownCounters]
      .map(([team, spending]) => ({ team, units: Math.round(spending.spent(clock.monotonic())) }))
      .filter(({ units }) => units > 0),
    recordPeerSpending: (incarnation, spent) => {
      reports.forEach((each, key) => { if (clock.monotonic() - each.reportedAtMs > windowMs) reports.delete(key) })
      reports.set(incarnation, toReport(spent))
    },
    spendingWithDownstream: () => spendingByTeam(spentWithDownstream),
    fleetSpending: () => spendingByTeam(fleetSpent),
    recordFleetSpending: spent => { fleetReport = toReport(spent) }
  }
}
