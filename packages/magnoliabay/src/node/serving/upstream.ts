/** To whom an instance reports: the leader, or in a large fleet one of the relays, and another when that one says nothing. */
import type { Clock } from '../clock'
import type { MemberRecord, Peers } from '../members'
import { chooseRelays, rankRelays } from './relays'

/** A relay that told nothing is not tried again for this long, milliseconds. */
const AVOID_RELAY_MS = 5000

export interface UpstreamOptions {
  peers: Pick<Peers, 'self' | 'members' | 'isConnected'>
  /** The instance that leads, as far as known here. */
  leader: () => string | undefined
  /** A relay that told nothing for this long is given up, milliseconds. */
  silentMs: () => number
  clock: Clock
}

export interface Upstream {
  /** Undefined where nobody is known; this instance itself where it leads. */
  current (): string | undefined
  /** Whether relays stand between the leader and others. */
  isRelayed (): boolean
  /** Whether this instance is one of them. */
  isRelay (): boolean
  /** A summary came from this member. */
  noteHeard (member: string): void
}

interface Ranking {
  isRelayed: boolean
  isRelay: boolean
  /** Relays in the order in which this instance tries them. */
  relays: readonly string[]
}

interface Attachment {
  relay: string
  /** Since it was chosen, or told something last. */
  heardMs: number
}

export function createUpstream ({ peers, leader, silentMs, clock }: UpstreamOptions): Upstream {
  const self = peers.self
  let rankedOf: readonly MemberRecord[] | undefined
  let ranking: Ranking = { isRelayed: false, isRelay: false, relays: [] }
  let attached: Attachment | undefined
  const avoidedUntilMs = new Map<string, number>()

  const ranked = (): Ranking => {
    const members = peers.members()
    if (rankedOf === members) return ranking
    rankedOf = members
    const relays = chooseRelays(members)
    ranking = {
      isRelayed: relays.size > 0,
      isRelay: [...relays.values()].some(ids => ids.includes(self.id)),
      relays: rankRelays(self, relays)
    }
    return ranking
  }
  const isUsable = (relay: string): boolean => peers.isConnected(relay) && (avoidedUntilMs.get(relay) ?? -Infinity) <= clock.monotonic()
  const giveUpSilent = (): void => {
    if (attached === undefined || clock.monotonic() - attached.heardMs <= silentMs()) return
    avoidedUntilMs.set(attached.relay, clock.monotonic() + AVOID_RELAY_MS)
    attached = undefined
  }
  const relayOf = ({ relays }: Ranking): string | undefined => {
    giveUpSilent()
    if (attached !== undefined && relays.includes(attached.relay) && isUsable(attached.relay)) return attached.relay
    const relay = relays.find(isUsable)
    attached = relay === undefined ? undefined : { relay, heardMs: clock.monotonic() }
    return relay
  }

  return {
    current: () => {
      const at = leader()
      const place = ranked()
      if (at === self.id || place.isRelay || !place.isRelayed) return at
      return relayOf(place) ?? at
    },
    isRelayed: () => ranked().isRelayed,
    isRelay: () => ranked().isRelay,
    noteHeard: member => { if (attached?.relay === member) attached.heardMs = clock.monotonic() }
  }
}
