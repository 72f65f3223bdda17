/**
 * The share of one team's allowance that this process holds: units, and the tokens in the corresponding part of the
 * burst capacity.
 *
 * Over the fleet the units sum to at most {@link TOTAL_UNITS}, so rates sum to at most the team's rate and capacities to
 * at most its burst.
 *
 * If the unused tokens of a reservation were added back without a limit, a bucket that has refilled during a long
 * response would grant the same burst twice. So refunds of older reservations stay within the headroom that the share
 * had at every moment since. Then the tokens used by requests admitted within any time t stay within rate * t + burst.
 */
import { MS_PER_SECOND, TOTAL_UNITS } from './constants'

export interface AllowanceSize {
  /** Tokens per second, over the fleet. */
  rate: number
  /** Largest number of tokens at once, over the fleet. */
  burst: number
}

/** A reservation at the share that granted it. */
export interface Ticket {
  tokens: number
  /**
   * Smallest headroom of the share between this reservation and the next open one, less what older reservations
   * (including this one) have refunded since.
   */
  headroom: number
}

export interface Share {
  units (): number
  /** Tokens available now; negative after a response that used more than was reserved. */
  level (nowMs: number): number
  /** Tokens of reservations that are not settled yet. */
  outstanding (): number
  /** Takes `tokens` if they are available. */
  tryTake (tokens: number, nowMs: number): Ticket | undefined
  /** Ends a reservation: refunds unused tokens within the headroom, and charges those used beyond it as a debt. */
  settle (ticket: Ticket, used: number, nowMs: number): void
  /** Lowers the share. `tokens` must fit into the capacity of `units`. */
  give (units: number, tokens: number, nowMs: number): void
  /** Raises the share. */
  receive (units: number, tokens: number, nowMs: number): void
  /** Changes rate and burst. Units are kept, tokens are limited to the new capacity. */
  resize (size: AllowanceSize, nowMs: number): void
  size (): AllowanceSize
}

/** Rounding error tolerated in sums of tokens; an excess that is taken remains as a debt. */
const ROUNDING_TOLERANCE_TOKENS = 1e-6

/** Returns the smallest number of units whose capacity holds `tokens`. */
export function unitsFor (tokens: number, burst: number): number {
  return Math.ceil(tokens * TOTAL_UNITS / burst)
}

export function createShare (initial: AllowanceSize, nowMs: number): Share {
  let size = initial
  let units = 0
  let level = 0
  let refilledAtMs = nowMs
  /** Reservations that are not settled yet, oldest first. */
  const open: Ticket[] = []

  const capacity = (): number => size.burst * units / TOTAL_UNITS
  const clampToCapacity = (): void => {
    level = Math.min(level, capacity())
    const newest = open.at(-1)
    if (newest !== undefined) newest.headroom = Math.min(newest.headroom, capacity() - level)
  }
  const refill = (now: number): void => {
    const elapsedMs = Math.max(0, now - refilledAtMs)
    refilledAtMs = Math.max(refilledAtMs, now)
    level += size.rate * units / TOTAL_UNITS * elapsedMs / MS_PER_SECOND
    clampToCapacity()
  }
  /** Ends a reservation and refunds `unused` within the smallest headroom since it was made. */
  const closeTicket = (ticket: Ticket, unused: number): void => {
    const index = open.indexOf(ticket)
    if (index < 0) return
    const since = open.slice(index)
    const headroom = Math.min(...since.map(other => other.headroom))
    const refund = Math.min(unused, Math.max(0, headroom))
    level += refund
    since.forEach(other => { other.headroom -= Math.max(0, refund) })
    open.splice(index, 1)
    const older = open[index - 1]
    if (older !== undefined) older.headroom = Math.min(older.headroom, ticket.headroom)
    clampToCapacity()
  }
  return {
    units: () => units,
    outstanding: () => open.reduce((sum, ticket) => sum + ticket.tokens, 0),
    size: () => size,
    level: now => {
      refill(now)
      return level
    },
    tryTake: (tokens, now) => {
      refill(now)
      if (tokens > level + ROUNDING_TOLERANCE_TOKENS) return undefined
      level -= tokens
      const ticket = { tokens, headroom: Infinity }
      open.push(ticket)
      clampToCapacity()
      return ticket
    },
    settle: (ticket, used, now) => {
      refill(now)
      closeTicket(ticket, ticket.tokens - used)
    },
    give: (givenUnits, tokens, now) => {
      refill(now)
      units -= givenUnits
      level -= tokens
      clampToCapacity()
    },
    receive: (receivedUnits, tokens, now) => {
      refill(now)
      units += receivedUnits
      level += tokens
      clampToCapacity()
    },
    resize: (next, now) => {
      refill(now)
      size = next
      clampToCapacity()
    }
  }
}
