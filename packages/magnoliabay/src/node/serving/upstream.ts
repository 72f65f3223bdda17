/** Chooses the member to which an instance reports: the leader, or in a large fleet a relay, and another when that one stops responding. */
import type { Clock } from '../clock'
import type { MemberRecord, Peers } from '../members'
import { chooseRelays, rankRelays } from './relays'

/** A relay that sent no summary in time is not tried again for this long, milliseconds. */
const RELAY_AVOIDANCE_MS = 5000

export interface UpstreamOptions {
  peers: Pick<Peers, 'self' | 'members' | 'isConnected'>
  /** The leader, as far as known here. */
  leader: () => string | undefined
  /** A relay that sent no summary for this long is replaced by another, milliseconds. */
  silenceTimeoutMs: () => number
  clock: Clock
}

export interface Upstream {
  /** Undefined while no leader is known; this instance itself while it leads. */
  current (): string | undefined
  /** Whether relays stand between the leader and others. */
  isRelayed (): boolean
  /** Whether this instance is a relay. */
  isRelay (): boolean
  /** Records that a summary came from this member. */
  recordSummary (member: string): void
}

interface Ranking {
  isRelayed: boolean
  isRelay: boolean
  /** Relays in the order in which this instance tries them. */
  relays: readonly string[]
}

interface Attachment {
  relay: string
  /** When the relay was chosen or last sent a summary, monotonic milliseconds. */
  lastSummaryMs: number
}

export function createUpstream ({ peers, leader, silenceTimeoutMs, clock }: UpstreamOptions): Upstream {
  const self = peers.self
  let rankedMembers: readonly MemberRecord[] | undefined
  let ranking: Ranking = { isRelayed: false, isRelay: false, relays: [] }
  let attached: Attachment | undefined
  const avoidedUntilMs = new Map<string, number>()

  const currentRanking = (): Ranking => {
    const members = peers.members()
    if (rankedMembers === members) return ranking
    rankedMembers = members
    const relays = chooseRelays(members)
    ranking = {
      isRelayed: relays.size > 0,
      isRelay: [...relays.values()].some(ids => ids.includes(self.id)),
      relays: rankRelays(self, relays)
    }
    return ranking
  }
  const isUsable = (relay: string): boolean => peers.isConnected(relay) && (avoidedUntilMs.get(relay) ?? -Infinity) <= clock.monotonic()
  const detachIfSilent = (): void => {
    if (attached === undefined || clock.monotonic() - attached.lastSummaryMs <= silenceTimeoutMs()) return
    avoidedUntilMs.set(attached.relay, clock.monotonic() + RELAY_AVOIDANCE_MS)
    attached = undefined
  }
  const relayOf = ({ relays }: Ranking): string | undefined => {
    detachIfSilent()
    if (attached !== undefined && relays.includes(attached.relay) && isUsable(attached.relay)) return attached.relay
    const relay = relays.find(isUsable)
    attached = relay === undefined ? undefined : { relay, lastSummaryMs: clock.monotonic() }
    return relay
  }

  return {
    current: () => {
      const leaderId = leader()
      const ranks = currentRanking()
      if (leaderId === self.id || ranks.isRelay || !ranks.isRelayed) return leaderId
      return relayOf(ranks) ?? leaderId
    },
    isRelayed: () => currentRanking().isRelayed,
    isRelay: () => currentRanking().isRelay,
    recordSummary: member => { if (attached?.relay === member) attached.lastSummaryMs = clock.monotonic() }
  }
}
