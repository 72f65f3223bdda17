/**
 * What an instance knows of the others. Each reports to the leader a few times a second; the leader adds the reports
 * up and tells everybody the sums. In a large fleet relays in between (`upstream.ts`) add up what those below report,
 * and pass on what the leader tells as it comes.
 */
import { delayToNextWallClockPeriod, delayToNextPeriod } from '../clock'
import type { Clock } from '../clock'
import type { MemberRecord, Peers } from '../members'
import { reportNotice, summaryNotice } from './fleetMessages'
import type { FleetSummary, InstanceReport, LeadershipTerm, MemberState } from './fleetMessages'
import { createFleetTotals } from './fleetTotals'
import { STORE_RECOVERY_MS } from './serverList'
import { createUpstream } from './upstream'

/** Time between two reports, for each member, so that the leader's work stays the same in a larger fleet, milliseconds. */
const PERIOD_PER_MEMBER_MS = 6
const MIN_PERIOD_MS = 125
/** The same where relays add up reports, milliseconds. */
const RELAYED_PERIOD_MS = 500
/**
 * Where relays add up reports all report at one moment, so that what several send wakes an instance once; a relay does so
 * by so much later, when those below it have, and the leader tells the sums when the relays have, milliseconds.
 */
const RELAY_OFFSET_MS = 20
const SUM_OFFSET_MS = 40
/** Changes that cannot wait are gathered for this long, milliseconds, for each member and at least. */
const SOON_PER_MEMBER_MS = 1
const MIN_SOON_MS = 15
/** The same for a relay that is told something urgent, milliseconds. */
const RELAY_SOON_MS = 100
/** What was told is dropped after so many periods without a word, and not before so many milliseconds. */
const STALE_PERIODS = 4
const MIN_STALE_MS = 2500
/** Sums older than this many periods no longer stand for the store's list of servers, and not before so long. */
const FRESH_PERIODS = 3
const MIN_FRESH_MS = 750
/** A leader that has not heard the store for longer than this cannot tell what changed in it. */
const MAX_LEADER_STORE_AGE_MS = 1500

export interface FleetView {
  /** Requests that other instances have at a server. */
  inFlightElsewhere (server: string): number
  /** Requests under way for a model at a server, this instance's included; known to the leader. */
  inFlight (server: string, model: string): number
  /** Requests under way for a model at all servers; known to the leader. */
  inFlightOfModel (model: string): number
  /** Known to the leader. */
  demand (model: string): { rate: number, waiting: number }
  /** Models that are asked for; known to the leader. */
  modelsInDemand (): readonly string[]
  /** Whether callers may be sent to a member. */
  isAvailable (member: string): boolean
  /** Instances that hear nothing from a server; known to the leader. */
  silenceReportCount (server: string): number
}

export interface FleetViewOptions {
  peers: Peers
  clock: Clock
  /** Whether a link to the member stands. */
  isLinked: (member: string) => boolean
  /** The instance that leads, as far as known here. */
  leader: () => string | undefined
  own: () => InstanceReport
  /** What this instance and those below it have spent. */
  spentWithBelow: () => InstanceReport['spent']
  /** By what this instance leads. */
  leading: () => LeadershipTerm | undefined
  /** The latest claim that is known here, by its revision. */
  latestClaim: () => number
  /** What the leader tells beside the sums that this module keeps. */
  summary: () => Pick<FleetSummary, 'configVersion' | 'storeAgeMs' | 'storeSteadyMs' | 'spent' | 'evacuation' | 'listDigest' | 'membersDigest'>
  /** What has changed is to be told before a summary that shows it. */
  beforeSummary: () => void
  /** Called with each report that comes in from another instance. */
  onReport: (member: MemberRecord, report: InstanceReport) => void
  /** Called with each summary that is newer than those before; `member` is who told it or passed it on. */
  onSummary: (member: MemberRecord, summary: FleetSummary) => void
}

export interface FleetReporter {
  /** Begins telling. */
  start (signal: AbortSignal): void
  /** Something changed that others decide by: tells it ahead of time. */
  tellSoon (): void
  /** Members whose reports come here. */
  reporters (): readonly string[]
  /** The linked peer that heard the store last, by its report; known to the leader. */
  peerWithLatestStoreContact (): string | undefined
  /** Peers that are likely in touch with the store, the likeliest first. */
  peersWithStoreAccess (): readonly string[]
  /** Relays stand between the leader and others. */
  isRelayed (): boolean
  /** This instance is one of them. */
  isRelay (): boolean
  /** Another instance, in touch with the store, tells what changes there. */
  isFollowing (): boolean
}

interface HeldSummary {
  /** Who told it or passed it on. */
  from: string
  summary: FleetSummary
  loads: ReadonlyMap<string, number>
  unavailable: ReadonlySet<string>
  atMs: number
}

export function createFleetView (options: FleetViewOptions): FleetView & FleetReporter {
  const { peers, clock, own, leader } = options
  const self = peers.self.id
  const totals = createFleetTotals()
  /** What this instance told last, by server: part of the sums. */
  let toldLoads = new Map<string, number>()
  let held: HeldSummary | undefined
  let leadingSinceMs = Infinity
  let summaries = 0
  let isSoon = false
  let tellNow = (): void => {}
  let cancelNext = (): void => {}

  const perMember = (ms: number, least: number): number => Math.max(least, peers.members().length * ms)
  const upstream = createUpstream({ peers, leader, silenceTimeoutMs: () => staleMs(), clock })
  const periodMs = (): number => upstream.isRelayed() ? RELAYED_PERIOD_MS : perMember(PERIOD_PER_MEMBER_MS, MIN_PERIOD_MS)
  const untilNextMs = (offsetMs: number): number =>
    upstream.isRelayed() ? delayToNextWallClockPeriod(clock, periodMs(), offsetMs) : delayToNextPeriod(clock, periodMs())
  const staleMs = (): number => Math.max(MIN_STALE_MS, STALE_PERIODS * periodMs())
  const isLeading = (): boolean => leader() === self
  const standing = (): HeldSummary | undefined =>
    held !== undefined && clock.monotonic() - held.atMs < staleMs() ? held : undefined
  const sumAt = (server: string): number => isLeading() ? totals.atServer(server) : standing()?.loads.get(server) ?? 0
  const reporters = (): string[] => totals.reporters().filter(member => member !== self)

  const summaryNow = (leading: LeadershipTerm): FleetSummary => {
    options.beforeSummary()
    summaries += 1
    return { leading, count: summaries, ...options.summary(), loads: totals.loads(), unavailable: unavailable(), leavingServers: totals.leavingServers() }
  }
  /** What is passed on later than it came is older by so much. */
  const aged = ({ summary, atMs }: HeldSummary): FleetSummary => {
    const ageMs = clock.monotonic() - atMs
    return { ...summary, storeAgeMs: summary.storeAgeMs + ageMs, storeSteadyMs: summary.storeSteadyMs + ageMs }
  }
  /** One that has just begun to report here is told at once what it would else learn with the next summary. */
  const answer = (member: string): void => {
    const leading = isLeading() ? options.leading() : undefined
    const last = standing()
    if (leading !== undefined) peers.notifyLinked([member], summaryNotice, summaryNow(leading))
    else if (last !== undefined) peers.notifyLinked([member], summaryNotice, aged(last))
  }
  peers.listen(reportNotice, (report, from) => {
    // Two that report to each other, as their lists of members differ, would add up the same again and again.
    if (report.below.some(({ id }) => id === self)) return
    const isNew = totals.report(from.id) === undefined
    totals.put(from.id, report, clock.monotonic())
    options.onReport(from, report)
    if (isNew) answer(from.id)
    if (report.isUrgent && !isLeading()) tellSoonIn(RELAY_SOON_MS)
  })
  /** A former leader that goes on, or a relay that stood still, tells what is out of date. */
  const isNews = ({ leading, count }: FleetSummary): boolean => {
    if (leading.claim.holder === self || leading.revision < options.latestClaim()) return false
    const known = held?.summary
    if (known === undefined || leading.revision !== known.leading.revision) return leading.revision > (known?.leading.revision ?? 0)
    return count > known.count
  }
  peers.listen(summaryNotice, (summary, from) => {
    upstream.recordSummary(from.id)
    if (!isNews(summary)) return
    held = {
      from: from.id,
      summary,
      loads: new Map(summary.loads.map(({ server, count }) => [server, count])),
      unavailable: new Set(summary.unavailable),
      atMs: clock.monotonic()
    }
    options.onSummary(from, summary)
    const below = reporters()
    if (below.length === 0) return
    options.beforeSummary()
    peers.notifyLinked(below, summaryNotice, summary)
  })

  /** A link that has ended tells of those who report here sooner than their silence. */
  const isThere = ({ id, isReady, via }: MemberState & { via: string }): boolean => isReady && (via !== id || options.isLinked(id))
  const isAway = (member: string): boolean => {
    const state = totals.stateOf(member)
    if (state !== undefined) return !isThere(state)
    // One that has just begun to lead has not heard everybody yet.
    return clock.monotonic() - leadingSinceMs > staleMs()
  }
  const unavailable = (): string[] => peers.members().map(member => member.id).filter(member => member !== self && isAway(member))
  const noteTold = (report: InstanceReport): void => {
    toldLoads = new Map()
    report.inFlight.forEach(({ server, count }) => toldLoads.set(server, (toldLoads.get(server) ?? 0) + count))
  }
  /** Adds up what those below reported. */
  const withBelow = (current: InstanceReport): InstanceReport => {
    totals.drop(self)
    totals.expire(staleMs(), clock.monotonic())
    const states = totals.states()
    if (states.length === 0) return current
    return {
      ...current,
      inFlight: [...current.inFlight, ...totals.inFlightByServer()],
      demand: [...current.demand, ...totals.demandByModel()],
      leavingServers: [...new Set([...current.leavingServers, ...totals.leavingServers()])],
      silentServers: [...current.silentServers, ...totals.silentServers()],
      spent: options.spentWithBelow(),
      below: states.map(({ id }) => ({ id, isReady: isThere(totals.stateOf(id)!) }))
    }
  }
  const report = (): void => {
    const to = upstream.current()
    const current = { ...own(), isUrgent: isSoon }
    noteTold(current)
    if (to === self) totals.put(self, current, clock.monotonic())
    else if (to !== undefined) peers.notify(to, reportNotice, withBelow(current))
  }
  const summarize = (): void => {
    totals.expire(staleMs(), clock.monotonic())
    const leading = isLeading() ? options.leading() : undefined
    const below = reporters()
    if (leading !== undefined && below.length > 0) peers.notifyLinked(below, summaryNotice, summaryNow(leading))
  }
  const noteLeading = (): void => {
    if (!isLeading()) leadingSinceMs = Infinity
    else if (leadingSinceMs === Infinity) leadingSinceMs = clock.monotonic()
  }
  const tellSoonIn = (delayMs: number): void => {
    if (isSoon) return
    isSoon = true
    clock.schedule(delayMs, () => { if (isSoon) tellNow() })
  }

  const byStoreAge = (): string[] => {
    const ages = reporters().filter(options.isLinked).map(member => ({ member, ageMs: totals.report(member)?.storeAgeMs ?? Infinity }))
    return ages.sort((left, right) => left.ageMs - right.ageMs).map(({ member }) => member)
  }
  const isToldByLeader = (): boolean => held !== undefined && held.from === held.summary.leading.claim.holder

  return {
    inFlightElsewhere: server => Math.max(0, sumAt(server) - (toldLoads.get(server) ?? 0)),
    inFlight: totals.inFlight,
    inFlightOfModel: totals.running,
    demand: totals.demand,
    modelsInDemand: totals.models,
    silenceReportCount: totals.silentFor,
    isAvailable: member => isLeading() ? !isAway(member) : !(standing()?.unavailable.has(member) ?? false),
    reporters,
    isRelayed: upstream.isRelayed,
    isRelay: upstream.isRelay,
    peerWithLatestStoreContact: () => byStoreAge()[0],
    peersWithStoreAccess: () => {
      const above = held === undefined ? [] : [held.summary.leading.claim.holder, held.from]
      return [...new Set([...above, ...byStoreAge()])].filter(member => member !== self)
    },
    isFollowing: () => {
      if (isLeading() || held === undefined) return false
      const ageMs = clock.monotonic() - held.atMs
      // A leader that has the store back holds removals for a while, since they may be lapses. For one who heard the
      // store all the time that would be too long: it goes by its own watch.
      if (held.summary.storeSteadyMs + ageMs < STORE_RECOVERY_MS) return false
      // Relays are the first to know that the leader has ended, and those below wait for the next one through them.
      if (upstream.isRelayed() && isToldByLeader() && !options.isLinked(held.from)) return false
      return ageMs < Math.max(MIN_FRESH_MS, FRESH_PERIODS * periodMs()) && held.summary.storeAgeMs + ageMs < MAX_LEADER_STORE_AGE_MS
    },
    start: signal => {
      const tell = (): void => {
        if (signal.aborted) return
        cancelNext()
        report()
        isSoon = false
        cancelNext = clock.schedule(untilNextMs(upstream.isRelay() ? RELAY_OFFSET_MS : 0), tell)
      }
      const sum = (): void => {
        if (signal.aborted) return
        noteLeading()
        summarize()
        clock.schedule(untilNextMs(SUM_OFFSET_MS), sum)
      }
      tellNow = tell
      cancelNext = clock.schedule(MIN_PERIOD_MS, tell)
      clock.schedule(MIN_PERIOD_MS, sum)
    },
    tellSoon: () => tellSoonIn(upstream.isRelayed() ? MIN_SOON_MS : perMember(SOON_PER_MEMBER_MS, MIN_SOON_MS))
  }
}
