/**
 * Brings configuration and server list to every instance. The leader follows the store's list for all and tells what
 * changed; an instance that hears neither the leader nor the store asks a peer.
 */
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import { definePeerCall } from '../members'
import type { Peers } from '../members'
import type { ConfigInForce } from './configInForce'
import { serversNotice } from './fleetMessages'
import type { FleetSummary, ListedServer } from './fleetMessages'
import type { Servers } from './servers'

/** What an instance knows of the store, for one that does not reach it. */
export interface News {
  configVersion: number
  storeAgeMs: number
  /** The instance that leads, as far as it knows. */
  leader: string | undefined
  leavingServers: readonly string[]
  isListKnown: boolean
}

const configCall = definePeerCall<Record<string, never>, { text: string | undefined }>('serving.config')
const serversCall = definePeerCall<Record<string, never>, { servers: readonly ListedServer[] }>('serving.servers')
const newsCall = definePeerCall<Record<string, never>, News>('serving.news')

/** Changes of the list are gathered for this long, milliseconds, for each member and at least. */
const GATHER_PER_MEMBER_MS = 0.5
const MIN_GATHER_MS = 4
/** A configuration that the leader has comes by the instance's own watch within this time, unless that is broken. */
const CONFIG_PATIENCE_MS = 400
/** The whole list is asked for at most this often. */
const LIST_PERIOD_MS = 700
/** An instance that hears nothing of the store asks a peer this often. */
const NEWS_PERIOD_MS = 400
/** Own contact with the store that is older than this counts as lost: its watch would have brought something. */
const STORE_LOST_MS = 5500
const CALL_TIMEOUT_MS = 700

export interface SpreadOptions {
  peers: Peers
  cfg: ConfigInForce
  servers: Servers
  /** Milliseconds since the store last answered here. */
  storeAgeMs: () => number
  leader: () => string | undefined
  /** Those who report here, and follow this instance's list. */
  followers: () => readonly string[]
  /** The leader tells this instance what changes. */
  isFollowing: () => boolean
  /** Whether a link to the member stands. */
  isLinked: (member: string) => boolean
  /** A peer that hears the store names the leader. */
  onLeaderNamed: (leader: string) => void
  clock: Clock
  logger: Logger
  random: () => number
}

export interface Spread {
  start (signal: AbortSignal): void
  /** To be called with each summary that comes in. */
  noteSummary (member: string, summary: FleetSummary): void
}

export function createSpread (options: SpreadOptions): Spread {
  const { peers, cfg, servers, storeAgeMs, clock, logger } = options
  let isFetchingConfig = false
  let behindSinceMs: number | undefined
  let listFetchedMs = -Infinity
  let isTelling = false

  peers.serve(configCall, () => ({ text: cfg.text() }))
  peers.serve(serversCall, () => ({ servers: servers.isKnown() ? servers.listed() : [] }))
  peers.serve(newsCall, () => ({ configVersion: cfg.version(), storeAgeMs: storeAgeMs(), leader: options.leader(), leavingServers: servers.leaving(), isListKnown: servers.isKnown() }))
  peers.listen(serversNotice, notice => servers.follow(notice))

  const fetchConfig = async (member: string): Promise<void> => {
    if (isFetchingConfig) return
    isFetchingConfig = true
    const reply = await peers.call(member, configCall, {}, { timeoutMs: CALL_TIMEOUT_MS })
    isFetchingConfig = false
    if (reply.err) return logger.info('config-not-fetched', { peer: member, reason: reply.val.kind })
    if (reply.val.text !== undefined) cfg.offer(reply.val.text, 'peer')
  }
  const fetchServers = async (member: string): Promise<void> => {
    if (clock.monotonic() - listFetchedMs < LIST_PERIOD_MS) return
    listFetchedMs = clock.monotonic()
    const reply = await peers.call(member, serversCall, {}, { timeoutMs: CALL_TIMEOUT_MS })
    if (reply.err) return logger.info('server-list-not-fetched', { peer: member, reason: reply.val.kind })
    if (reply.val.servers.length > 0) servers.adopt(reply.val.servers)
  }
  /** Tells followers what changed. All changes of a moment go in one notice. */
  const tellChanges = (): void => {
    isTelling = false
    const changes = servers.takeChanges()
    if (changes !== undefined) peers.notifyLinked(options.followers(), serversNotice, changes)
  }
  servers.onChanged(() => {
    if (isTelling || options.followers().length === 0) return
    isTelling = true
    clock.schedule(Math.max(MIN_GATHER_MS, peers.members().length * GATHER_PER_MEMBER_MS), tellChanges)
  })

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
    news.leavingServers.forEach(servers.noteLeaving)
    const isPeerBetter = news.storeAgeMs < storeAgeMs()
    if (isPeerBetter && news.leader !== undefined) options.onLeaderNamed(news.leader)
    if (news.isListKnown && (isPeerBetter || !servers.isKnown())) await fetchServers(member)
  }

  return {
    start: signal => repeat(clock, NEWS_PERIOD_MS, signal, askNews),
    noteSummary: (member, summary) => {
      summary.leavingServers.forEach(servers.noteLeaving)
      if (summary.configVersion <= cfg.version()) behindSinceMs = undefined
      else behindSinceMs ??= clock.monotonic()
      if (behindSinceMs !== undefined && clock.monotonic() - behindSinceMs >= CONFIG_PATIENCE_MS) fetchConfig(member)
      if (summary.storeAgeMs < storeAgeMs()) options.onLeaderNamed(member)
      if (options.isFollowing() && summary.listDigest !== servers.digest()) fetchServers(member)
    }
  }
}
