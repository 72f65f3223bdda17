/**
 * Distributes configuration, members and server list to every instance. The leader watches the store for all instances
 * and sends changes to those that report to it; each of them forwards the changes to its own reporters. An instance that
 * reaches neither the leader nor the store asks a peer.
 */
import * as v from 'valibot'
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import { NO_BODY, definePeerCall, memberRecordSchema } from '../members'
import type { MemberList, MemberRecord, PeerCall, Peers } from '../members'
import type { ServingConfigProvider } from './servingConfigProvider'
import { configNotice, evacuationNotice, membersNotice, serversNotice, evacuationSchema, leadershipSchema, listedServerSchema, packedSchema } from './fleetMessages'
import type { FleetSummary, LeadershipTerm, ListedServer } from './fleetMessages'
import { compressText, decompressText } from './compressedText'
import type { EvacuationState, Evacuations } from './evacuations'
import type { ServerList } from './serverList'

/** State of an instance, sent to a peer that does not reach the store. */
export interface PeerStatus {
  configVersion: number
  /** Time since the store last answered, milliseconds. */
  storeAgeMs: number
  /** The claim of the leader, if known. */
  leading: LeadershipTerm | undefined
  leavingServers: readonly string[]
  isListKnown: boolean
  evacuation: EvacuationState
}

const statusSchema = v.object({ configVersion: v.number(), storeAgeMs: v.number(), leading: v.optional(leadershipSchema), leavingServers: v.array(v.string()), isListKnown: v.boolean(), evacuation: evacuationSchema })
const configCall = definePeerCall<Record<string, never>, { packed: Uint8Array | undefined }>('serving.config', { req: NO_BODY, res: v.object({ packed: v.optional(packedSchema) }) })
const serversCall = definePeerCall<Record<string, never>, { servers: readonly ListedServer[] }>('serving.servers', { req: NO_BODY, res: v.object({ servers: v.array(listedServerSchema) }) })
const membersCall = definePeerCall<Record<string, never>, { members: readonly MemberRecord[] }>('serving.members', { req: NO_BODY, res: v.object({ members: v.array(memberRecordSchema) }) })
const statusCall = definePeerCall<Record<string, never>, PeerStatus>('serving.news', { req: NO_BODY, res: statusSchema })

/** Changes of a list are batched for this long for each follower, and at least for the minimum below, milliseconds. */
const BATCH_DELAY_PER_FOLLOWER_MS = 0.5
const MIN_BATCH_DELAY_MS = 4
/** The same for a leader with relays, where each change wakes hundreds of instances, milliseconds. */
const RELAYED_BATCH_DELAY_MS = 80
/** A configuration that a summary names is fetched if its notice has not arrived within this time, milliseconds. */
const CONFIG_NOTICE_TIMEOUT_MS = 100
/** Shortest time between two fetches of a complete list, milliseconds. */
const MIN_LIST_FETCH_INTERVAL_MS = 700
/** Interval at which an instance without contact to the leader and the store asks a peer, milliseconds. */
const STATUS_POLL_INTERVAL_MS = 250
/** Time without an answer after which the store counts as lost, milliseconds: a watch is answered sooner. */
const STORE_CONTACT_TIMEOUT_MS = 5500
const CALL_TIMEOUT_MS = 700

export interface DisseminationOptions {
  peers: Peers
  cfg: ServingConfigProvider
  servers: ServerList
  evacuations: Evacuations
  members: MemberList
  /** Milliseconds since the store last answered here. */
  storeAgeMs: () => number
  /** The claim of the leader, if known. */
  leading: () => LeadershipTerm | undefined
  /** Members that report to this instance or use it as store proxy: they receive its changes. */
  followers: () => readonly string[]
  /** Whether this instance leads and relays forward its messages. */
  isLeadingRelays: () => boolean
  /** Whether another instance sends the changes of the store to this one. */
  isFollowing: () => boolean
  /** Whether the link to the member is up. */
  isLinked: (member: string) => boolean
  /** Whether the member watches the store for this instance. */
  isProxy: (member: string) => boolean
  /** Called when a peer names the leader. */
  onLeaderLearned: (leading: LeadershipTerm) => void
  clock: Clock
  logger: Logger
  random: () => number
}

export interface Dissemination {
  start (signal: AbortSignal): void
  /** Applies a summary that is newer than those before; `member` sent or forwarded it. */
  applySummary (member: string, summary: FleetSummary): void
  /** Fetches servers and members from a member that now watches the store for this instance. */
  syncFromProxy (member: string): void
  /**
   * Sends pending changes at once. To be called before a summary with the new digests is sent: if that came first,
   * receivers would fetch the complete lists.
   */
  sendChanges (): void
}

export function createDissemination (options: DisseminationOptions): Dissemination {
  const { peers, cfg, servers, members, storeAgeMs, clock, logger } = options
  let isFetchingConfig = false
  let behindSinceMs: number | undefined
  let isSendScheduled = false
  let sentConfigVersion = 0
  let sentEvacuationRevision = 0
  let packedCache = { version: 0, packed: undefined as Uint8Array | undefined }

  const packedConfig = (): Uint8Array | undefined => {
    const text = cfg.text()
    if (text !== undefined && packedCache.version !== cfg.version()) packedCache = { version: cfg.version(), packed: compressText(text) }
    return packedCache.packed
  }
  const applyPackedConfig = (member: string, packed: Uint8Array): void => {
    const text = decompressText(packed)
    if (text.ok) cfg.applyIfNewer(text.val, 'peer')
    else logger.warn('config-unreadable', { source: 'peer', peer: member, reason: text.val })
  }

  peers.serve(configCall, () => ({ packed: packedConfig() }))
  peers.serve(serversCall, () => ({ servers: servers.isKnown() ? servers.listed() : [] }))
  peers.serve(membersCall, () => ({ members: members.records() }))
  peers.serve(statusCall, () => ({ configVersion: cfg.version(), storeAgeMs: storeAgeMs(), leading: options.leading(), leavingServers: servers.leaving(), isListKnown: servers.isKnown(), evacuation: options.evacuations.state() }))
  peers.listen(serversNotice, notice => servers.applyChanges(notice))
  peers.listen(evacuationNotice, state => options.evacuations.applyFromPeer(state))
  peers.listen(configNotice, ({ packed }, from) => applyPackedConfig(from.id, packed))
  // An instance that reads the members from the store must not revert to the older list of a peer.
  peers.listen(membersNotice, (changes, from) => { if (options.isFollowing() || options.isProxy(from.id)) members.applyChanges(changes) })

  const fetchConfig = async (member: string): Promise<void> => {
    if (isFetchingConfig) return
    isFetchingConfig = true
    const reply = await peers.call(member, configCall, {}, { timeoutMs: CALL_TIMEOUT_MS })
    isFetchingConfig = false
    if (reply.err) return logger.info('config-not-fetched', { peer: member, reason: reply.val.kind })
    if (reply.val.packed !== undefined) applyPackedConfig(member, reply.val.packed)
  }
  /** Creates a function that fetches a complete list, at most once an interval. */
  const createListFetch = <Res>(call: PeerCall<Record<string, never>, Res>, apply: (res: Res) => void): (member: string) => Promise<void> => {
    let lastFetchMs = -Infinity
    return async member => {
      if (clock.monotonic() - lastFetchMs < MIN_LIST_FETCH_INTERVAL_MS) return
      lastFetchMs = clock.monotonic()
      const reply = await peers.call(member, call, {}, { timeoutMs: CALL_TIMEOUT_MS })
      if (reply.ok) apply(reply.val)
      else logger.info('list-not-fetched', { list: call.kind, peer: member, reason: reply.val.kind })
    }
  }
  const fetchServers = createListFetch(serversCall, reply => { if (reply.servers.length > 0) servers.replaceAll(reply.servers) })
  const fetchMembers = createListFetch(membersCall, reply => { if (reply.members.length > 0) members.replaceAll(reply.members) })

  /** Sends all batched changes in one notice for each list. */
  const sendChanges = (): void => {
    isSendScheduled = false
    const followers = options.followers()
    const changedServers = servers.takeChanges()
    const changedMembers = members.takeChanges()
    if (followers.length === 0) return
    if (changedServers !== undefined) peers.notifyLinked(followers, serversNotice, changedServers)
    if (changedMembers !== undefined) peers.notifyLinked(followers, membersNotice, changedMembers)
    const evacuation = options.evacuations.state()
    if (evacuation.revision !== sentEvacuationRevision) peers.notifyLinked(followers, evacuationNotice, evacuation)
    sentEvacuationRevision = evacuation.revision
    if (cfg.version() === sentConfigVersion) return
    sentConfigVersion = cfg.version()
    const packed = packedConfig()
    if (packed !== undefined) peers.notifyLinked(followers, configNotice, { packed })
  }
  const batchDelayMs = (): number =>
    options.isLeadingRelays() ? RELAYED_BATCH_DELAY_MS : Math.max(MIN_BATCH_DELAY_MS, options.followers().length * BATCH_DELAY_PER_FOLLOWER_MS)
  const scheduleSend = (): void => {
    if (isSendScheduled || options.followers().length === 0) return
    isSendScheduled = true
    clock.schedule(batchDelayMs(), () => { if (isSendScheduled) sendChanges() })
  }
  servers.onChanged(scheduleSend)
  members.onChanged(scheduleSend)
  cfg.onChanged(scheduleSend)
  options.evacuations.onChanged(scheduleSend)

  const lacksInitialState = (): boolean => cfg.version() === 0 || !servers.isKnown()
  const isOutOfDate = (): boolean => lacksInitialState() || (!options.isFollowing() && storeAgeMs() > STORE_CONTACT_TIMEOUT_MS)
  const pickLinkedPeer = (): string | undefined => {
    const linked = peers.members().map(member => member.id).filter(member => member !== peers.self.id && options.isLinked(member))
    return linked[Math.floor(options.random() * linked.length)]
  }
  const pollPeerStatus = async (): Promise<void> => {
    const member = isOutOfDate() ? pickLinkedPeer() : undefined
    if (member === undefined) return
    const reply = await peers.call(member, statusCall, {}, { timeoutMs: CALL_TIMEOUT_MS })
    if (reply.err) return logger.info('news-not-heard', { peer: member, reason: reply.val.kind })
    const status = reply.val
    if (status.configVersion > cfg.version()) await fetchConfig(member)
    status.leavingServers.forEach(process => servers.recordLeaving(process, 'peer'))
    options.evacuations.applyFromPeer(status.evacuation)
    const isPeerBetter = status.storeAgeMs < storeAgeMs()
    if (status.leading !== undefined) options.onLeaderLearned(status.leading)
    // Without members this instance could report to nobody, and would receive no summaries.
    if (members.records().length === 0) await fetchMembers(member)
    if (status.isListKnown && (isPeerBetter || !servers.isKnown())) await fetchServers(member)
  }
  const observeConfigVersion = (member: string, version: number): void => {
    if (version <= cfg.version()) {
      behindSinceMs = undefined
      return
    }
    behindSinceMs ??= clock.monotonic()
    if (cfg.version() === 0 || clock.monotonic() - behindSinceMs >= CONFIG_NOTICE_TIMEOUT_MS) inBackground('fetch-config', fetchConfig(member))
  }

  return {
    start: signal => { inBackground('poll-peer-status', repeat(clock, STATUS_POLL_INTERVAL_MS, signal, pollPeerStatus)) },
    sendChanges,
    syncFromProxy: member => {
      inBackground('fetch-servers', fetchServers(member))
      inBackground('fetch-members', fetchMembers(member))
    },
    applySummary: (member, summary) => {
      options.onLeaderLearned(summary.leading)
      summary.leavingServers.forEach(process => servers.recordLeaving(process, 'peer'))
      options.evacuations.applyFromPeer(summary.evacuation)
      observeConfigVersion(member, summary.configVersion)
      if (!options.isFollowing()) return
      if (summary.listDigest !== servers.digest()) inBackground('fetch-servers', fetchServers(member))
      if (summary.membersDigest !== members.digest()) inBackground('fetch-members', fetchMembers(member))
    }
  }
}
