/**
 * Teams' allowances over the fleet. One instance, a team's home, counts for all. An instance that cannot reach the
 * home spends an equal part of what is left, and the home counts on that part being spent. What was spent lasts in the
 * store (`homeLedger.ts`); everybody also tells what it has spent, which shows a home what it has not seen.
 */
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import { definePeerCall, definePeerNotice } from '../../members'
import type { PeerError, Peers } from '../../members'
import type { Result } from '../../result'
import type { Store } from '../../store'
import { addCount } from '../../utils'
import { homeInstanceOf } from '../homeInstance'
import type { Team } from '../types'
import { createHomeLedger } from './homeLedger'
import type { HomeLedger, LedgerLimit } from './homeLedger'
import { createSlidingWindowCounter } from './slidingWindowCounter'
import type { SlidingWindowCounter } from './slidingWindowCounter'

/** A home answers within a round trip; longer than this, the request would be late for its objective. */
const ASK_TIMEOUT_MS = 150
/** A home that did not answer is not asked again for this long: each request would wait for it anew. */
const AVOID_HOME_MS = 1000
/** A process that knows no other member by then is the only one. */
const ALONE_AFTER_MS = 2000
const ALONE_RETRY_MS = 300
/** A home that was out of reach is asked again by then. */
const SHARE_RETRY_MS = 1000
/** Part of the tolerance that a home uses while the store takes no records; the rest is for instances cut off from it. */
const UNRECORDED_PART = 0.5

export interface TakeRequest {
  team: string
  amount: number
  /** What the asking instance has spent of its own part since a home answered it last. */
  apart: number
}

export interface TakeReply {
  /** 0 when granted, else milliseconds until it may be there; undefined where the home knows no such team. */
  waitMs: number | undefined
}

const takeCall = definePeerCall<TakeRequest, TakeReply>('allowance.take')
const giveBackNotice = definePeerNotice<Pick<TakeRequest, 'team' | 'amount'>>('allowance.give-back')

/** Who decided: the `home`, or the `share` of this instance alone. */
export interface AllowanceDecision {
  waitMs: number
  decidedBy: 'home' | 'share'
}

/** What an instance has spent of a team's allowance within the window. */
export interface TeamSpending {
  team: string
  units: number
}

export interface AllowanceLimiter {
  take (team: Team, amount: number): Promise<AllowanceDecision>
  /** Gives back what was taken for a request that no server ran. */
  refund (team: Team, amount: number): void
  /** What this instance has spent, for the others to know. */
  ownSpending (): readonly TeamSpending[]
  /** A process told what it has spent. What it told stands for a window after its end. */
  notePeerSpending (incarnation: string, amounts: readonly TeamSpending[]): void
  /** What this instance and those who told it have spent. */
  subtreeSpending (): readonly TeamSpending[]
  /** What all have spent, as far as they told this instance. */
  fleetSpending (): readonly TeamSpending[]
  /** One who hears everybody told what all have spent. */
  noteFleetSpending (amounts: readonly TeamSpending[]): void
}

/** What a team may get beyond its limit, since instances count apart. */
export interface AllowanceTolerance {
  /** Part of the limit. */
  ratio: number
  /** Beside that, in the unit of the allowance. */
  slack: number
}

export interface AllowanceLimiterOptions {
  peers: Peers
  /** The team as configured now. */
  findTeam: (name: string) => Team | undefined
  /** Length of the window in which rate and burst are counted, milliseconds. */
  windowMs: number
  /** Nothing was spent before this process: the whole system starts for the first time. */
  isFirstStart: boolean
  store: Pick<Store, 'get' | 'transact'>
  /** Of the store: it rises whenever the store goes on from an older copy of itself. */
  era: () => number
  tolerance: AllowanceTolerance
  clock: Clock
  logger: Logger
}

interface Told {
  spent: ReadonlyMap<string, number>
  atMs: number
}

const MS_PER_SECOND = 1000

export function createAllowanceLimiter (options: AllowanceLimiterOptions): AllowanceLimiter {
  const { peers, findTeam: teamNamed, windowMs, clock, logger } = options
  /** As home, for all instances. */
  const ledgers = new Map<string, HomeLedger>()
  /** By this instance. */
  const own = new Map<string, SlidingWindowCounter>()
  /** By incarnation: a process that starts anew has forgotten what the one before it spent. */
  const told = new Map<string, Told>()
  let toldOfAll: Told | undefined
  /** By this instance of its own part, by team: no home has counted it yet. */
  const apart = new Map<string, number>()
  const startedMs = clock.monotonic()
  const avoidedUntilMs = new Map<string, number>()

  const limitOf = (team: Team): number => team.rate * windowMs / MS_PER_SECOND + team.burst
  const toleranceOf = (team: Team): number => limitOf(team) * options.tolerance.ratio + options.tolerance.slack
  /** Has not heard what was spent in the window, and others may have spent it. */
  const isYoung = (): boolean => !options.isFirstStart && clock.monotonic() - startedMs < windowMs
  /** Whether the other members are known. Alone, each would take itself for the home of every team. */
  const isSettled = (): boolean => options.isFirstStart || peers.members().length > 1 || clock.monotonic() - startedMs > ALONE_AFTER_MS
  const ownOf = (team: string): SlidingWindowCounter => {
    const found = own.get(team) ?? createSlidingWindowCounter(windowMs)
    own.set(team, found)
    return found
  }
  const isStanding = (each: Told): boolean => clock.monotonic() - each.atMs < windowMs
  /** What a process told as it ended leaves the window bit by bit: it counts for less the older it is. */
  const toldBy = (team: string): number[] => [...told.values()].filter(isStanding)
    .map(each => (each.spent.get(team) ?? 0) * (1 - (clock.monotonic() - each.atMs) / windowMs))
  const spentWithTold = (team: string): number => toldBy(team).reduce((sum, units) => sum + units, ownOf(team).spent(clock.monotonic()))
  /** Each process tells this instance, or one tells it of all: both are the same sum, and one of the two may be older. */
  const spentOverall = (team: string): number => {
    const ofAll = toldOfAll !== undefined && isStanding(toldOfAll) ? toldOfAll.spent.get(team) ?? 0 : 0
    return Math.max(spentWithTold(team), ofAll)
  }
  const sumsBy = (sumOf: (team: string) => number): TeamSpending[] => {
    const teams = new Set([...own.keys(), ...[...told.values()].flatMap(each => [...each.spent.keys()])])
    return [...teams].map(team => ({ team, units: Math.round(sumOf(team)) })).filter(({ units }) => units > 0)
  }
  const toTold = (spent: readonly TeamSpending[]): Told => ({ spent: new Map(spent.map(({ team, units }) => [team, units])), atMs: clock.monotonic() })
  /** The whole allowance, but for the equal parts of those who cannot ask. */
  const ledgerLimit = (team: Team): LedgerLimit => {
    const members = peers.members()
    const cutOff = members.filter(member => !peers.isConnected(member.id)).length
    const heldBack = limitOf(team) * cutOff / Math.max(1, members.length)
    return { allowed: limitOf(team) - heldBack, heldBack, tolerance: toleranceOf(team) * UNRECORDED_PART }
  }
  const createLedger = (team: Team): HomeLedger => createHomeLedger({
    team: team.name,
    home: peers.self.incarnation,
    windowMs,
    store: options.store,
    limit: () => ledgerLimit(teamNamed(team.name) ?? team),
    isYoung,
    toldSpent: () => spentOverall(team.name),
    era: options.era,
    clock,
    logger
  })
  const takeHere = (team: Team, amount: number, spentApart: number): Promise<number> => {
    const ledger = ledgers.get(team.name) ?? createLedger(team)
    ledgers.set(team.name, ledger)
    ledger.noteApart(spentApart)
    return ledger.take(amount)
  }
  const dropLedger = (team: string): void => {
    ledgers.get(team)?.close()
    ledgers.delete(team)
  }
  peers.serve(takeCall, async ({ team: name, amount, apart: spentApart }) => {
    const team = teamNamed(name)
    // One that has just started knows no team: whatever it let through would come on top of what the team has spent.
    if (team === undefined) return { waitMs: undefined }
    return { waitMs: team.rate === 0 ? 0 : await takeHere(team, amount, spentApart) }
  })
  peers.listen(giveBackNotice, ({ team: name, amount }) => ledgers.get(name)?.giveBack(amount))
  const noteOwn = (team: Team, amount: number, waitMs: number): AllowanceDecision => {
    if (waitMs === 0) ownOf(team.name).note(amount, clock.monotonic())
    return { waitMs, decidedBy: 'home' }
  }
  const takeShare = (team: Team, amount: number): AllowanceDecision => {
    const parts = Math.max(1, peers.members().length)
    const ownSpent = ownOf(team.name).spent(clock.monotonic())
    // What the home itself had spent before the cut is in nobody's part: all that was told comes off first.
    const leftPart = Math.max(0, limitOf(team) - spentOverall(team.name)) / parts
    const knownPart = Math.min(limitOf(team) / parts, ownSpent + leftPart)
    // What was spent before a young process started is not known: its part is one of the tolerance.
    const limit = isYoung() ? toleranceOf(team) * (1 - UNRECORDED_PART) / parts : knownPart
    // What is larger than any allowance passes an empty window, but what is larger than a part alone does not: each of
    // the instances that start anew in a cut would let one through.
    if (amount > limit && amount <= limitOf(team)) return { waitMs: SHARE_RETRY_MS, decidedBy: 'share' }
    const waitMs = ownOf(team.name).take(amount, limit, clock.monotonic())
    if (waitMs === 0) addCount(apart, team.name, amount)
    return { waitMs, decidedBy: 'share' }
  }
  /** Each question takes along what no other under way does. */
  const takeApart = (team: string): number => {
    const units = apart.get(team) ?? 0
    apart.delete(team)
    return units
  }
  /**
   * What was spent apart goes with what is asked next: a home that learned only what each has spent in all could not
   * tell it from what it had granted itself, or had taken over from the home before, and granted it once more.
   */
  const askHome = async (home: string, team: string, amount: number): Promise<Result<TakeReply, PeerError>> => {
    const spentApart = takeApart(team)
    const reply = await peers.call(home, takeCall, { team, amount, apart: spentApart }, { timeoutMs: ASK_TIMEOUT_MS })
    if (reply.err || reply.val.waitMs === undefined) addCount(apart, team, spentApart)
    return reply
  }
  peers.onConnected(member => [...apart.keys()]
    .filter(team => homeInstanceOf(peers, team) === member.id)
    .forEach(team => askHome(member.id, team, 0)))

  return {
    take: async (team, amount) => {
      if (team.rate === 0) return { waitMs: 0, decidedBy: 'share' }
      if (!isSettled()) return { waitMs: ALONE_RETRY_MS, decidedBy: 'share' }
      const home = homeInstanceOf(peers, team.name)
      if (home === peers.self.id) return noteOwn(team, amount, await takeHere(team, amount, takeApart(team.name)))
      // What was counted here is out of date as soon as another counts.
      dropLedger(team.name)
      if (!peers.isConnected(home) || (avoidedUntilMs.get(home) ?? 0) > clock.monotonic()) return takeShare(team, amount)
      const reply = await askHome(home, team.name, amount)
      if (reply.ok && reply.val.waitMs !== undefined) return noteOwn(team, amount, reply.val.waitMs)
      avoidedUntilMs.set(home, clock.monotonic() + AVOID_HOME_MS)
      logger.warn('allowance-home-unreached', { team: team.name, home, reason: reply.ok ? 'knows no such team' : reply.val.kind })
      return takeShare(team, amount)
    },
    refund: (team, amount) => {
      if (team.rate === 0) return
      ownOf(team.name).giveBack(amount, clock.monotonic())
      // What no home has counted yet is not to be given back there.
      if ((apart.get(team.name) ?? 0) >= amount) return addCount(apart, team.name, -amount)
      const home = homeInstanceOf(peers, team.name)
      if (home === peers.self.id) ledgers.get(team.name)?.giveBack(amount)
      else peers.notify(home, giveBackNotice, { team: team.name, amount })
    },
    ownSpending: () => [...own]
      .map(([team, spending]) => ({ team, units: Math.round(spending.spent(clock.monotonic())) }))
      .filter(({ units }) => units > 0),
    notePeerSpending: (incarnation, spent) => {
      told.forEach((each, key) => { if (clock.monotonic() - each.atMs > windowMs) told.delete(key) })
      told.set(incarnation, toTold(spent))
    },
    subtreeSpending: () => sumsBy(spentWithTold),
    fleetSpending: () => sumsBy(spentOverall),
    noteFleetSpending: spent => { toldOfAll = toTold(spent) }
  }
}
