/**
 * Reservations at a home for requests at other members. Each takes one round trip and is charged to the home's share as
 * if the request had arrived there. So the shares stay with the homes, however requests are spread over members.
 */
import type { CancelTimer, Clock } from '../clock'
import type { Peers } from '../members'
import { ASK_TIMEOUT_MS, KNOWN_TOTAL_TTL_MS, REMOTE_RESERVATION_TTL_MS } from './constants'
import type { ShareExchange } from './shareExchange'
import type { HomeMembers } from './homeMembers'
import { reserveCall, settleNotice } from './messages'
import type { Ticket } from './share'
import type { TeamShares, TeamShare } from './teamShares'
import { stableHash } from '../utils'

/** A reservation held by another member. */
export interface RemoteTicket {
  member: string
  number: number
}

export type RemoteReservationResult =
  | { kind: 'granted', ticket: RemoteTicket }
  | { kind: 'refused', waitMs: number }
  | { kind: 'unreachable' }

export interface RemoteReservations {
  /** Reserves at a home of the team, or at the next one when a home can't be reached. */
  reserve (team: string, tokens: number): Promise<RemoteReservationResult>
  settle (ticket: RemoteTicket, used: number): void
}

export interface RemoteReservationsOptions {
  peers: Peers
  shares: TeamShares
  homes: HomeMembers
  exchange: ShareExchange
  clock: Clock
}

interface HeldReservation {
  own: TeamShare
  ticket: Ticket
  cancelExpiry: CancelTimer
}

interface RecentRefusal {
  /** Until then requests for as many tokens are refused without asking a home. */
  untilMs: number
  /** When the home expects the tokens to be available. */
  availableAtMs: number
  tokens: number
}

export function createRemoteReservations (options: RemoteReservationsOptions): RemoteReservations {
  const { peers, shares, homes, exchange, clock } = options
  const held = new Map<string, HeldReservation>()
  const refusals = new Map<string, RecentRefusal>()
  let nextNumber = 0

  const heldKey = (incarnation: string, number: number): string => `${incarnation} ${number}`
  /**
   * A request whose instance terminated, or whose notice was lost, never settles, and its open reservation would block
   * refunds permanently. After a time longer than any request, it counts as fully used.
   */
  const holdReservation = (key: string, own: TeamShare, ticket: Ticket): void => {
    const cancelExpiry = clock.schedule(REMOTE_RESERVATION_TTL_MS, () => endReservation(key, ticket.tokens))
    held.set(key, { own, ticket, cancelExpiry })
  }
  const endReservation = (key: string, used: number): void => {
    const reservation = held.get(key)
    if (reservation === undefined) return
    held.delete(key)
    reservation.cancelExpiry()
    reservation.own.share.settle(reservation.ticket, used, clock.monotonic())
  }
  peers.serve(reserveCall, async ({ team, tokens, number }, from) => {
    const own = shares.of(team)
    const key = heldKey(from.incarnation, number)
    if (own === undefined || held.has(key)) return { isGranted: false, waitMs: 0 }
    own.demand.record(tokens, clock.monotonic())
    const taken = await exchange.take(own, tokens)
    if (taken.kind === 'short') return { isGranted: false, waitMs: Math.max(1, taken.waitMs) }
    holdReservation(key, own, taken.ticket)
    return { isGranted: true, waitMs: 0 }
  })
  peers.listen(settleNotice, ({ number, used }, from) => endReservation(heldKey(from.incarnation, number), used))

  /**
   * Returns the reachable homes in an order that is constant for this member and team, so that the demand at each home is
   * stable. Other members start at other homes.
   */
  const reachableHomes = (team: string): readonly string[] => {
    const near = homes.inOwnRegion(team).filter(home => home.id !== peers.self.id).map(home => home.id)
    const first = near.length === 0 ? 0 : stableHash(`${team} ${peers.self.id}`) % near.length
    return [...near.slice(first), ...near.slice(0, first)].filter(peers.isConnected)
  }
  /** Finds a refusal that still applies, so that a home that has just refused is not asked for every request of a flood. */
  const findRecentRefusal = (team: string, tokens: number): RecentRefusal | undefined => {
    const last = refusals.get(team)
    return last !== undefined && clock.monotonic() < last.untilMs && tokens >= last.tokens ? last : undefined
  }
  return {
    reserve: async (team, tokens) => {
      const last = findRecentRefusal(team, tokens)
      if (last !== undefined) return { kind: 'refused', waitMs: last.availableAtMs - clock.monotonic() }
      for (const member of reachableHomes(team)) {
        nextNumber += 1
        const number = nextNumber
        const reply = await peers.call(member, reserveCall, { number, team, tokens }, { timeoutMs: ASK_TIMEOUT_MS })
        if (reply.err) continue
        if (reply.val.isGranted) return { kind: 'granted', ticket: { member, number } }
        const { waitMs } = reply.val
        const refusedAtMs = clock.monotonic()
        refusals.set(team, { untilMs: refusedAtMs + Math.min(waitMs, KNOWN_TOTAL_TTL_MS), availableAtMs: refusedAtMs + waitMs, tokens })
        return { kind: 'refused', waitMs }
      }
      return { kind: 'unreachable' }
    },
    settle: ({ member, number }, used) => peers.notify(member, settleNotice, { number, used })
  }
}
