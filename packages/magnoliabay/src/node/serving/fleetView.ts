/**
 * Keeps the state that an instance knows of the others. Each instance reports to the leader a few times a second; the
 * leader aggregates the reports and sends summaries to all instances. In a large fleet relays (`upstream.ts`) aggregate
 * the reports of their downstream and forward the summaries at once.
 */
import { delayToNextWallClockPeriod, delayToNextPeriod } from '../clock'
import type { Clock } from '../clock'
import type { MemberRecord, Peers } from '../members'
import type { SpeedExchange } from './choice/speedExchange'
import { reportNotice, summaryNotice } from './fleetMessages'
import type { FleetSummary, InstanceReport, LeadershipTerm, MemberState } from './fleetMessages'
import { createFleetTotals } from './fleetTotals'
import { STORE_RECOVERY_MS } from './serverList'
import { decideOnPartition } from './partitionedMembers'
import type { PartitionDecision } from './partitionedMembers'
import { createUpstream } from './upstream'

/** Time between two reports for each member, which keeps the leader's work constant as the fleet grows, milliseconds. */
const REPORT_INTERVAL_PER_MEMBER_MS = 6
const MIN_REPORT_INTERVAL_MS = 125
/** Time between two reports in a fleet with relays, milliseconds. */
const RELAYED_REPORT_INTERVAL_MS = 500
/**
 * In a fleet with relays all instances report at the same moment, so that messages from several senders wake an instance
 * once. A relay reports this much later, after its downstream, and the leader sends the summary after the relays,
 * milliseconds.
 */
const RELAY_REPORT_OFFSET_MS = 20
const SUMMARY_OFFSET_MS = 40
/** Urgent changes are batched for this long for each member, and at least for the minimum below, milliseconds. */
const URGENT_DELAY_PER_MEMBER_MS = 1
const MIN_URGENT_DELAY_MS = 15
/** The same for a relay that receives an urgent report, milliseconds. */
const RELAY_URGENT_DELAY_MS = 100
/** Reports and summaries are dropped after this many intervals without a new one, and not before this many milliseconds. */
const STALE_INTERVALS = 4
const MIN_STALE_MS = 2500
/** An instance reads the store itself once the last summary is older than this many intervals and this many milliseconds. */
const FRESH_INTERVALS = 3
const MIN_FRESH_MS = 750
/** A leader without contact to the store for longer than this cannot report its changes. */
const MAX_LEADER_STORE_AGE_MS = 1500

export interface FleetView {
  /** Requests in flight at a server, of other instances. */
  inFlightElsewhere (server: string): number
  /**
   * The same, exactly as of the last summary. `inFlightElsewhere` subtracts the latest report of this instance, which the
   * last summary may not include, so that requests between the two would not count.
   */
  inFlightElsewhereAtSummary (server: string): number
  /** Number of instances. */
  instanceCount (): number
  /** Time that a server takes now relative to the mean of all engines: 2 takes twice as long. */
  speedOf (server: string): number
  /** Requests in flight for a model at a server, including this instance's; known to the leader. */
  inFlight (server: string, model: string): number
  /** Requests in flight for a model at all servers; known to the leader. */
  inFlightOfModel (model: string): number
  /** Request rate and waiting requests of a model; known to the leader. */
  demand (model: string): { rate: number, waiting: number }
  /** Models with a request rate or waiting requests; known to the leader. */
  modelsInDemand (): readonly string[]
  /** Whether callers may be directed to a member. */
  isAvailable (member: string): boolean
  /** Number of instances to which a server does not respond; known to the leader. */
  silenceReportCount (server: string): number
}

export interface FleetViewOptions {
  peers: Peers
  clock: Clock
  /** Whether the link to the member is up. */
  isLinked: (member: string) => boolean
  /** Returns a number from 0 to below 1. @default () => 0 */
  random?: () => number
  /** The leader, if known. */
  leader: () => string | undefined
  /** The report of this instance alone. */
  own: () => InstanceReport
  /** Spending of this instance and its downstream. */
  spendingWithDownstream: () => InstanceReport['spent']
  /** The claim by which this instance leads. */
  leading: () => LeadershipTerm | undefined
  /** Revision of the latest known claim. */
  latestClaim: () => number
  /** Fields of the summary that this module does not maintain. */
  summary: () => Pick<FleetSummary, 'configVersion' | 'storeAgeMs' | 'storeSteadyMs' | 'spent' | 'limits' | 'brittle' | 'evacuation' | 'listDigest' | 'membersDigest'>
  /** Exchanges the speeds of engines. @default speeds are neither sent nor known */
  speedExchange?: SpeedExchange
  /** Called before a summary is sent, to send the changes that the summary reflects. */
  beforeSummary: () => void
  /** Called with each report of another instance. */
  onReport: (member: MemberRecord, report: InstanceReport) => void
  /** Called with each summary that is newer than those before; `member` sent or forwarded it. */
  onSummary: (member: MemberRecord, summary: FleetSummary) => void
}

export interface FleetReporter {
  /** Starts sending reports and summaries. */
  start (signal: AbortSignal): void
  /** Sends a report before its regular time, after a change that affects decisions of others. */
  reportSoon (): void
  /** Members that report to this instance. */
  reporters (): readonly string[]
  /** The linked peer with the latest contact to the store, by its report; known to the leader. */
  peerWithLatestStoreContact (): string | undefined
  /** Peers that probably reach the store, the likeliest first. */
  peersWithStoreAccess (): readonly string[]
  /** Instances that connect partitioned ones to servers; empty without a partition. */
  forwarders (): readonly string[]
  /** Whether the fleet uses relays. */
  isRelayed (): boolean
  /** Whether this instance is a relay. */
  isRelay (): boolean
  /** Whether another instance with contact to the store sends its changes to this one. */
  isFollowing (): boolean
}

/** A report includes its requests in the summaries that arrive at least this much later, milliseconds. */
const MIN_INCLUSION_DELAY_MS = SUMMARY_OFFSET_MS - RELAY_REPORT_OFFSET_MS
/** Reports since the last summary that are kept, which bounds memory while no summary arrives. */
const MAX_KEPT_REPORTS = 64

const NO_LOADS: ReadonlyMap<string, number> = new Map()

interface SentReport {
  atMs: number
  loads: ReadonlyMap<string, number>
}

interface ReceivedSummary {
  /** The member that sent or forwarded it. */
  sender: string
  summary: FleetSummary
  loads: ReadonlyMap<string, number>
  unavailable: ReadonlySet<string>
  /** Requests of this instance by server that `loads` includes. */
  ownLoads: ReadonlyMap<string, number>
  atMs: number
}

export function createFleetView (options: FleetViewOptions): FleetView & FleetReporter {
  const { peers, clock, own, leader, speedExchange } = options
  const self = peers.self.id
  const totals = createFleetTotals()
  /** Requests in flight by server in the last report of this instance, which the sums include. */
  let ownReportedLoads = new Map<string, number>()
  let sentReports: readonly SentReport[] = []
  let latestSummary: ReceivedSummary | undefined
  let leadingSinceMs = Infinity
  let summaryCount = 0
  let isReportPending = false
  let reportNow = (): void => {}
  let cancelNextReport = (): void => {}

  const scaledByMembers = (perMemberMs: number, minMs: number): number => Math.max(minMs, peers.members().length * perMemberMs)
  const upstream = createUpstream({ peers, leader, silenceTimeoutMs: () => staleMs(), clock })
  const reportIntervalMs = (): number => upstream.isRelayed() ? RELAYED_REPORT_INTERVAL_MS : scaledByMembers(REPORT_INTERVAL_PER_MEMBER_MS, MIN_REPORT_INTERVAL_MS)
  const delayToNextMs = (offsetMs: number): number =>
    upstream.isRelayed() ? delayToNextWallClockPeriod(clock, reportIntervalMs(), offsetMs) : delayToNextPeriod(clock, reportIntervalMs())
  const staleMs = (): number => Math.max(MIN_STALE_MS, STALE_INTERVALS * reportIntervalMs())
  const isLeading = (): boolean => leader() === self
  const currentSummary = (): ReceivedSummary | undefined =>
    latestSummary !== undefined && clock.monotonic() - latestSummary.atMs < staleMs() ? latestSummary : undefined
  const totalInFlightAt = (server: string): number => isLeading() ? totals.inFlightAtServer(server) : currentSummary()?.loads.get(server) ?? 0
  const reporters = (): string[] => totals.reporters().filter(member => member !== self)

  const buildSummary = (leading: LeadershipTerm): FleetSummary => {
    options.beforeSummary()
    summaryCount += 1
    const loads = speedExchange?.withSpeeds(totals.loads()) ?? totals.loads()
    speedExchange?.apply(loads, staleMs())
    const { avoided, forwarders } = partition()
    return {
      leading,
      count: summaryCount,
      ...options.summary(),
      loads,
      unavailable: [...new Set([...unavailable(), ...avoided])],
      ...(forwarders.length > 0 ? { forwarders } : {}),
      leavingServers: totals.leavingServers()
    }
  }
  /** Adds the time since a summary arrived to the ages in it. */
  const withCurrentAge = ({ summary, atMs }: ReceivedSummary): FleetSummary => {
    const ageMs = clock.monotonic() - atMs
    return { ...summary, storeAgeMs: summary.storeAgeMs + ageMs, storeSteadyMs: summary.storeSteadyMs + ageMs }
  }
  /** Sends a summary at once to a member that has started to report here, instead of at the next regular time. */
  const sendLatestSummary = (member: string): void => {
    const leading = isLeading() ? options.leading() : undefined
    const current = currentSummary()
    if (leading !== undefined) peers.notifyLinked([member], summaryNotice, buildSummary(leading))
    else if (current !== undefined) peers.notifyLinked([member], summaryNotice, withCurrentAge(current))
  }
  peers.listen(reportNotice, (report, from) => {
    // Instances whose lists of members differ may report to each other, and would add the same numbers repeatedly.
    if (report.below.some(({ id }) => id === self)) return
    const isNew = totals.report(from.id) === undefined
    totals.put(from.id, report, clock.monotonic())
    speedExchange?.add(report.speeds ?? [])
    options.onReport(from, report)
    if (isNew) sendLatestSummary(from.id)
    if (report.isUrgent && !isLeading()) scheduleReport(RELAY_URGENT_DELAY_MS)
  })
  /** Returns false for summaries of a former leader, or of a relay that was paused: they are out of date. */
  const isNewer = ({ leading, count }: FleetSummary): boolean => {
    if (leading.claim.holder === self || leading.revision < options.latestClaim()) return false
    const known = latestSummary?.summary
    if (known === undefined || leading.revision !== known.leading.revision) return leading.revision > (known?.leading.revision ?? 0)
    return count > known.count
  }
  peers.listen(summaryNotice, (summary, from) => {
    upstream.recordSummary(from.id)
    if (!isNewer(summary)) return
    latestSummary = {
      sender: from.id,
      summary,
      loads: new Map(summary.loads.map(({ server, count }) => [server, count])),
      unavailable: new Set(summary.unavailable),
      ownLoads: takeIncludedLoads(),
      atMs: clock.monotonic()
    }
    speedExchange?.apply(summary.loads, staleMs())
    options.onSummary(from, summary)
    const downstream = reporters()
    if (downstream.length === 0) return
    options.beforeSummary()
    peers.notifyLinked(downstream, summaryNotice, summary)
  })

  /** For a member that reports here directly, the end of its link is noticed before its reports are missed. */
  const isReadyAndLinked = ({ id, isReady, via }: MemberState & { via: string }): boolean => isReady && (via !== id || options.isLinked(id))
  const isUnavailable = (member: string): boolean => {
    const state = totals.stateOf(member)
    if (state !== undefined) return !isReadyAndLinked(state)
    // A new leader has not received all reports yet.
    return clock.monotonic() - leadingSinceMs > staleMs()
  }
  const unavailable = (): string[] => peers.members().map(member => member.id).filter(member => member !== self && isUnavailable(member))
  const partition = (): PartitionDecision => decideOnPartition(totals.states(), (options.random ?? (() => 0))())
  const recordReportedLoads = (report: InstanceReport): void => {
    ownReportedLoads = new Map()
    report.inFlight.forEach(({ server, count }) => ownReportedLoads.set(server, (ownReportedLoads.get(server) ?? 0) + count))
    sentReports = [...sentReports, { atMs: clock.monotonic(), loads: ownReportedLoads }].slice(-MAX_KEPT_REPORTS)
  }
  /** Returns the loads of the latest report that a summary arriving now includes, and drops the reports before it. */
  const takeIncludedLoads = (): ReadonlyMap<string, number> => {
    const latestMs = clock.monotonic() - MIN_INCLUSION_DELAY_MS
    const included = sentReports.findLast(({ atMs }) => atMs <= latestMs)
    sentReports = sentReports.filter(report => report === included || report.atMs > latestMs)
    return included?.loads ?? NO_LOADS
  }
  /** Adds the reports of the downstream to that of this instance. */
  const withDownstream = (current: InstanceReport): InstanceReport => {
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
      spent: options.spendingWithDownstream(),
      below: states.map(state => ({ ...state, isReady: isReadyAndLinked(totals.stateOf(state.id)!) }))
    }
  }
  const takeSpeeds = (): Pick<InstanceReport, 'speeds'> => {
    const samples = speedExchange?.take()
    return samples === undefined ? {} : { speeds: samples }
  }
  const sendReport = (): void => {
    const receiver = upstream.current()
    const current = { ...own(), isUrgent: isReportPending }
    recordReportedLoads(current)
    if (receiver === self) totals.put(self, current, clock.monotonic())
    else if (receiver !== undefined) peers.notify(receiver, reportNotice, withDownstream({ ...current, ...takeSpeeds() }))
  }
  const sendSummary = (): void => {
    totals.expire(staleMs(), clock.monotonic())
    const leading = isLeading() ? options.leading() : undefined
    const downstream = reporters()
    if (leading !== undefined && downstream.length > 0) peers.notifyLinked(downstream, summaryNotice, buildSummary(leading))
  }
  const trackLeadership = (): void => {
    if (!isLeading()) leadingSinceMs = Infinity
    else if (leadingSinceMs === Infinity) leadingSinceMs = clock.monotonic()
  }
  const scheduleReport = (delayMs: number): void => {
    if (isReportPending) return
    isReportPending = true
    clock.schedule(delayMs, () => { if (isReportPending) reportNow() })
  }

  const reportersByStoreAge = (): string[] => {
    const ages = reporters().filter(options.isLinked).map(member => ({ member, ageMs: totals.report(member)?.storeAgeMs ?? Infinity }))
    return ages.sort((left, right) => left.ageMs - right.ageMs).map(({ member }) => member)
  }
  const isSentByLeader = (): boolean => latestSummary !== undefined && latestSummary.sender === latestSummary.summary.leading.claim.holder

  return {
    inFlightElsewhere: server => Math.max(0, totalInFlightAt(server) - (ownReportedLoads.get(server) ?? 0)),
    inFlightElsewhereAtSummary: server => {
      const ownLoads = isLeading() ? ownReportedLoads : currentSummary()?.ownLoads
      return Math.max(0, totalInFlightAt(server) - (ownLoads?.get(server) ?? 0))
    },
    instanceCount: () => peers.members().length,
    speedOf: server => speedExchange?.speedOf(server) ?? 1,
    inFlight: totals.inFlight,
    inFlightOfModel: totals.inFlightOfModel,
    demand: totals.demand,
    modelsInDemand: totals.modelsInDemand,
    silenceReportCount: totals.silenceReportCount,
    forwarders: () => (isLeading() ? partition().forwarders : currentSummary()?.summary.forwarders) ?? [],
    isAvailable: member => isLeading() ? !isUnavailable(member) && !partition().avoided.includes(member) : !(currentSummary()?.unavailable.has(member) ?? false),
    reporters,
    isRelayed: upstream.isRelayed,
    isRelay: upstream.isRelay,
    peerWithLatestStoreContact: () => reportersByStoreAge()[0],
    peersWithStoreAccess: () => {
      const upstreamMembers = latestSummary === undefined ? [] : [latestSummary.summary.leading.claim.holder, latestSummary.sender]
      return [...new Set([...upstreamMembers, ...reportersByStoreAge()])].filter(member => member !== self)
    },
    isFollowing: () => {
      if (isLeading() || latestSummary === undefined) return false
      const ageMs = clock.monotonic() - latestSummary.atMs
      // A leader that has just regained contact to the store delays removals, since the entries may only have expired
      // meanwhile. An instance that did not lose contact to the store would get them too late, and uses its own watch.
      if (latestSummary.summary.storeSteadyMs + ageMs < STORE_RECOVERY_MS) return false
      // Relays are the first to notice that the leader has ended. Their downstream waits for summaries of the next leader.
      if (upstream.isRelayed() && isSentByLeader() && !options.isLinked(latestSummary.sender)) return false
      return ageMs < Math.max(MIN_FRESH_MS, FRESH_INTERVALS * reportIntervalMs()) && latestSummary.summary.storeAgeMs + ageMs < MAX_LEADER_STORE_AGE_MS
    },
    start: signal => {
      const runReport = (): void => {
        if (signal.aborted) return
        cancelNextReport()
        sendReport()
        isReportPending = false
        cancelNextReport = clock.schedule(delayToNextMs(upstream.isRelay() ? RELAY_REPORT_OFFSET_MS : 0), runReport)
      }
      const runSummary = (): void => {
        if (signal.aborted) return
        trackLeadership()
        sendSummary()
        clock.schedule(delayToNextMs(SUMMARY_OFFSET_MS), runSummary)
      }
      reportNow = runReport
      cancelNextReport = clock.schedule(MIN_REPORT_INTERVAL_MS, runReport)
      clock.schedule(MIN_REPORT_INTERVAL_MS, runSummary)
    },
    reportSoon: () => scheduleReport(upstream.isRelayed() ? MIN_URGENT_DELAY_MS : scaledByMembers(URGENT_DELAY_PER_MEMBER_MS, MIN_URGENT_DELAY_MS))
  }
}
