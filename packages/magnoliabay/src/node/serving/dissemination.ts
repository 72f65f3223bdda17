/**
 * Brings configuration, members and server list to every instance. The leader watches the store for all and tells what
 * changed; whoever hears it tells those who report to it in turn. An instance that hears neither the leader nor the
 * store asks a peer.
 */
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import { definePeerCall } from '../members'
import type { MemberList, MemberRecord, PeerCall, Peers } from '../members'
import type { ServingConfigProvider } from './servingConfigProvider'
import { configNotice, evacuationNotice, membersNotice, serversNotice } from './fleetMessages'
import type { FleetSummary, LeadershipTerm, ListedServer } from './fleetMessages'
import { packText, unpackText } from './compressedText'
import type { EvacuationState, Evacuations } from './evacuations'
import type { ServerList } from './serverList'

/** What an instance knows of the store, for one that does not reach it. */
export interface News {
  configVersion: number
  storeAgeMs: number
  /** The claim by which an instance leads, as far as it knows. */
  leading: LeadershipTerm | undefined
  leavingServers: readonly string[]
  isListKnown: boolean
  evacuation: EvacuationState
}

const configCall = definePeerCall<Record<string, never>, { packed: Uint8Array | undefined }>('serving.config')
const serversCall = definePeerCall<Record<string, never>, { servers: readonly ListedServer[] }>('serving.servers')
const membersCall = definePeerCall<Record<string, never>, { members: readonly MemberRecord[] }>('serving.members')
const newsCall = definePeerCall<Record<string, never>, News>('serving.news')

/** Changes of a list are gathered for this long, milliseconds, for each who is told and at least. */
const GATHER_PER_FOLLOWER_MS = 0.5
const MIN_GATHER_MS = 4
/** The same for a leader whom relays stand below: each change goes to everybody, and wakes hundreds, milliseconds. */
const RELAYED_GATHER_MS = 80
/** A configuration that is told about comes with a notice of its own within this time, unless that was lost. */
const CONFIG_PATIENCE_MS = 100
/** A whole list is asked for at most this often. */
const LIST_PERIOD_MS = 700
/** An instance that hears nothing of the store asks a peer this often. */
const NEWS_PERIOD_MS = 250
/** Own contact with the store that is older than this counts as lost: its watch would have brought something. */
const STORE_LOST_MS = 5500
const CALL_TIMEOUT_MS = 700

export interface SpreadOptions {
  peers: Peers
  cfg: ServingConfigProvider
  servers: ServerList
  evacuations: Evacuations
  members: MemberList
  /** Milliseconds since the store last answered here. */
  storeAgeMs: () => number
  /** The claim by which an instance leads, as far as known here. */
  leading: () => LeadershipTerm | undefined
  /** Those who report here, and follow what this instance knows. */
  followers: () => readonly string[]
  /** This instance leads, and relays pass on what it tells. */
  isLeadingRelays: () => boolean
  /** Another tells this instance what changes. */
  isFollowing: () => boolean
  /** Whether a link to the member stands. */
  isLinked: (member: string) => boolean
  /** Whether the member watches the store for this instance. */
  isProxy: (member: string) => boolean
  /** A peer tells who leads. */
  onLeaderTold: (leading: LeadershipTerm) => void
  clock: Clock
  logger: Logger
  random: () => number
}

export interface Spread {
  start (signal: AbortSignal): void
  /** To be called with each summary that is news, and who told it. */
  noteSummary (member: string, summary: FleetSummary): void
  /** Another watches the store for this instance from now on: takes over what it knows. */
  noteProxy (member: string): void
  /** Tells now what has changed: a summary that shows it would else come first, and the whole lists be fetched. */
  tellChanges (): void
}

export function createSpread (options: SpreadOptions): Spread {
  const { peers, cfg, servers, members, storeAgeMs, clock, logger } = options
  let isFetchingConfig = false
  let behindSinceMs: number | undefined
  let isTelling = false
  let configTold = 0
  /** Revision. */
  let evacuationTold = 0
  let packedOf = { version: 0, packed: undefined as Uint8Array | undefined }

  const packedConfig = (): Uint8Array | undefined => {
    const text = cfg.text()
    if (text !== undefined && packedOf.version !== cfg.version()) packedOf = { version: cfg.version(), packed: packText(text) }
    return packedOf.packed
  }
  const takeConfig = (member: string, packed: Uint8Array): void => {
    const text = unpackText(packed)
    if (text.ok) cfg.applyIfNewer(text.val, 'peer')
    else logger.warn('config-unreadable', { source: 'peer', peer: member, reason: text.val })
  }

  peers.serve(configCall, () => ({ packed: packedConfig() }))
  peers.serve(serversCall, () => ({ servers: servers.isKnown() ? servers.listed() : [] }))
  peers.serve(membersCall, () => ({ members: members.records() }))
  peers.serve(newsCall, () => ({ configVersion: cfg.version(), storeAgeMs: storeAgeMs(), leading: options.leading(), leavingServers: servers.leaving(), isListKnown: servers.isKnown(), evacuation: options.evacuations.state() }))
  peers.listen(serversNotice, notice => servers.applyChanges(notice))
  peers.listen(evacuationNotice, state => options.evacuations.noteTold(state))
  peers.listen(configNotice, ({ packed }, from) => takeConfig(from.id, packed))
  // One who reads the members itself is not to go back to what another knew before.
  peers.listen(membersNotice, (changes, from) => { if (options.isFollowing() || options.isProxy(from.id)) members.applyChanges(changes) })

  const fetchConfig = async (member: string): Promise<void> => {
    if (isFetchingConfig) return
    isFetchingConfig = true
    const reply = await peers.call(member, configCall, {}, { timeoutMs: CALL_TIMEOUT_MS })
    isFetchingConfig = false
    if (reply.err) return logger.info('config-not-fetched', { peer: member, reason: reply.val.kind })
    if (reply.val.packed !== undefined) takeConfig(member, reply.val.packed)
  }
  /** Fetches a whole list, never twice within a short time. */
  const createFetch = <Res>(call: PeerCall<Record<string, never>, Res>, adopt: (res: Res) => void): (member: string) => Promise<void> => {
    let fetchedMs = -Infinity
    return async member => {
      if (clock.monotonic() - fetchedMs < LIST_PERIOD_MS) return
      fetchedMs = clock.monotonic()
      const reply = await peers.call(member, call, {}, { timeoutMs: CALL_TIMEOUT_MS })
      if (reply.ok) adopt(reply.val)
      else logger.info('list-not-fetched', { list: call.kind, peer: member, reason: reply.val.kind })
    }
  }
  const fetchServers = createFetch(serversCall, reply => { if (reply.servers.length > 0) servers.replaceAll(reply.servers) })
  const fetchMembers = createFetch(membersCall, reply => { if (reply.members.length > 0) members.replaceAll(reply.members) })

  /** All changes of a moment go in one notice for each list. */
  const tellChanges = (): void => {
    isTelling = false
    const followers = options.followers()
    const changedServers = servers.takeChanges()
    const changedMembers = members.takeChanges()
    if (followers.length === 0) return
    if (changedServers !== undefined) peers.notifyLinked(followers, serversNotice, changedServers)
    if (changedMembers !== undefined) peers.notifyLinked(followers, membersNotice, changedMembers)
    const evacuation = options.evacuations.state()
    if (evacuation.revision !== evacuationTold) peers.notifyLinked(followers, evacuationNotice, evacuation)
    evacuationTold = evacuation.revision
    if (cfg.version() === configTold) return
    configTold = cfg.version()
    const packed = packedConfig()
    if (packed !== undefined) peers.notifyLinked(followers, configNotice, { packed })
  }
  const gatherMs = (): number =>
    options.isLeadingRelays() ? RELAYED_GATHER_MS : Math.max(MIN_GATHER_MS, options.followers().length * GATHER_PER_FOLLOWER_MS)
  const tellSoon = (): void => {
    if (isTelling || options.followers().length === 0) return
    isTelling = true
    clock.schedule(gatherMs(), () => { if (isTelling) tellChanges() })
  }
  servers.onChanged(tellSoon)
  members.onChanged(tellSoon)
  cfg.onChanged(tellSoon)
  options.evacuations.onChanged(tellSoon)

  const isLacking = (): boolean => cfg.version() === 0 || !servers.isKnown()
  const isBlind = (): boolean => isLacking() || (!options.isFollowing() && storeAgeMs() > STORE_LOST_MS)
  const anyPeer = (): string | undefined => {
    const linked = peers.members().map(member => member.id).filter(member => member !== peers.self.id && options.isLinked(member))
    return linked[Math.floor(options.random() * linked.length)]
  }
  const askNews = async (): Promise<void> => {
    const member = isBlind() ? anyPeer() : undefined
    if (member === undefined) return
    const reply = await peers.call(member, newsCall, {}, { timeoutMs: CALL_TIMEOUT_MS })
    if (reply.err) return logger.info('news-not-heard', { peer: member, reason: reply.val.kind })
    const news = reply.val
    if (news.configVersion > cfg.version()) await fetchConfig(member)
    news.leavingServers.forEach(servers.recordLeaving)
    options.evacuations.noteTold(news.evacuation)
    const isPeerBetter = news.storeAgeMs < storeAgeMs()
    if (news.leading !== undefined) options.onLeaderTold(news.leading)
    // Without members it could report to nobody, and be told nothing.
    if (members.records().length === 0) await fetchMembers(member)
    if (news.isListKnown && (isPeerBetter || !servers.isKnown())) await fetchServers(member)
  }
  const noteConfigVersion = (member: string, version: number): void => {
    if (version <= cfg.version()) {
      behindSinceMs = undefined
      return
    }
    behindSinceMs ??= clock.monotonic()
    if (cfg.version() === 0 || clock.monotonic() - behindSinceMs >= CONFIG_PATIENCE_MS) fetchConfig(member)
  }

  return {
    start: signal => repeat(clock, NEWS_PERIOD_MS, signal, askNews),
    tellChanges,
    noteProxy: member => {
      fetchServers(member)
      fetchMembers(member)
    },
    noteSummary: (member, summary) => {
      options.onLeaderTold(summary.leading)
      summary.leavingServers.forEach(servers.recordLeaving)
      options.evacuations.noteTold(summary.evacuation)
      noteConfigVersion(member, summary.configVersion)
      if (!options.isFollowing()) return
      if (summary.listDigest !== servers.digest()) fetchServers(member)
      if (summary.membersDigest !== members.digest()) fetchMembers(member)
    }
  }
}
