/**
 * Reservations at a home for requests at other members: one round trip, after which the home's share is spent
 * as if the request were there. So the shares stay whole with the homes, however callers spread.
 */
import type { CancelTimer, Clock } from '../clock'
import type { Peers } from '../members'
import { ASK_TIMEOUT_MS, KNOWN_TOTAL_MS, REMOTE_RESERVATION_MS } from './constants'
import type { ShareExchange } from './shareExchange'
import type { Homes } from './homeMembers'
import { reserveCall, settleNotice } from './messages'
import type { Ticket } from './share'
import type { Shares, TeamShare } from './teamShares'
import { stableHash } from '../utils'

/** A reservation held by another member. */
export interface RemoteTicket {
  member: string
  number: number
}

export type RemoteAnswer =
  | { kind: 'granted', ticket: RemoteTicket }
  | { kind: 'refused', waitMs: number }
  | { kind: 'unreachable' }

export interface Remote {
  /** Reserves at a home of the team, at the next one when the first can't be reached. */
  reserve (team: string, tokens: number): Promise<RemoteAnswer>
  settle (ticket: RemoteTicket, used: number): void
}

export interface RemoteOptions {
  peers: Peers
  shares: Shares
  homes: Homes
  exchange: ShareExchange
  clock: Clock
}

interface HeldReservation {
  own: TeamShare
  ticket: Ticket
  cancelExpiry: CancelTimer
}

interface RefusedUntil {
  atMs: number
  tokens: number
}

export function createRemote (options: RemoteOptions): Remote {
  const { peers, shares, homes, exchange, clock } = options
  const held = new Map<string, HeldReservation>()
  const refused = new Map<string, RefusedUntil>()
  let nextNumber = 0

  const heldKey = (incarnation: string, number: number): string => `${incarnation} ${number}`
  /**
   * A request whose instance died, or whose notice was lost, never settles. Its reservation would shut out
   * refunds for good; after a time that no request lasts, it counts as used up.
   */
  const hold = (key: string, own: TeamShare, ticket: Ticket): void => {
    const cancelExpiry = clock.schedule(REMOTE_RESERVATION_MS, () => end(key, ticket.tokens))
    held.set(key, { own, ticket, cancelExpiry })
  }
  const end = (key: string, used: number): void => {
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
    own.demand.note(tokens, clock.monotonic())
    const waitMs = await exchange.fetch(own, tokens)
    const ticket = own.share.take(tokens, clock.monotonic())
    if (ticket === undefined) return { isGranted: false, waitMs: Math.max(1, waitMs) }
    hold(key, own, ticket)
    return { isGranted: true, waitMs: 0 }
  })
  peers.listen(settleNotice, ({ number, used }, from) => end(heldKey(from.incarnation, number), used))

  /** The same home each time, so that a team's demand settles; others spread over the homes. */
  const homesInTurn = (team: string): readonly string[] => {
    const near = homes.near(team).filter(home => home.id !== peers.self.id).map(home => home.id)
    const first = near.length === 0 ? 0 : stableHash(`${team} ${peers.self.id}`) % near.length
    return [...near.slice(first), ...near.slice(0, first)].filter(peers.isConnected)
  }
  /** A home that has just refused would refuse again; a flood need not ask it each time. */
  const isRefused = (team: string, tokens: number): RefusedUntil | undefined => {
    const last = refused.get(team)
    return last !== undefined && clock.monotonic() < last.atMs && tokens >= last.tokens ? last : undefined
  }
  return {
    reserve: async (team, tokens) => {
      const last = isRefused(team, tokens)
      if (last !== undefined) return { kind: 'refused', waitMs: last.atMs - clock.monotonic() }
      for (const member of homesInTurn(team)) {
        nextNumber += 1
        const number = nextNumber
        const reply = await peers.call(member, reserveCall, { number, team, tokens }, { timeoutMs: ASK_TIMEOUT_MS })
        if (reply.err) continue
        if (reply.val.isGranted) return { kind: 'granted', ticket: { member, number } }
        const { waitMs } = reply.val
        refused.set(team, { atMs: clock.monotonic() + Math.min(waitMs, KNOWN_TOTAL_MS), tokens })
        return { kind: 'refused', waitMs }
      }
      return { kind: 'unreachable' }
    },
    settle: ({ member, number }, used) => peers.notify(member, settleNotice, { number, used })
  }
}
