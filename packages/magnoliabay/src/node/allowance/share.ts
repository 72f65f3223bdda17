/**
 * The part of one team's allowance that this process holds: units, and the tokens in the burst capacity
 * that the units stand for.
 *
 * Over the fleet the units sum to at most {@link TOTAL_UNITS}, so rates sum to the team's rate and
 * capacities to its burst.
 *
 * Were the unused tokens of a reservation simply put back, a bucket that has filled up behind a long answer would
 * hand the same burst out twice. So for every moment since, what older reservations bring back stays within
 * the room that the share had at that moment. Then what is used by the requests let in within any time t
 * stays within rate * t + burst.
 */
import { MS_PER_SECOND, TOTAL_UNITS } from './constants'

export interface AllowanceSize {
  /** Tokens a second, over the fleet. */
  rate: number
  /** Most tokens at once, over the fleet. */
  burst: number
}

/** A reservation at the share that granted it. */
export interface Ticket {
  tokens: number
  /**
   * Least room of the share between this reservation and the next open one, less what older reservations
   * (this one included) have brought back since.
   */
  room: number
}

export interface Share {
  units (): number
  /** Tokens there now; less than 0 after an answer that used more than was reserved. */
  level (nowMs: number): number
  /** Tokens of reservations not settled yet. */
  outstanding (): number
  /** Takes `tokens` if they are there. */
  take (tokens: number, nowMs: number): Ticket | undefined
  /** Ends a reservation: unused tokens come back as far as there is room, what was used beyond is owed. */
  settle (ticket: Ticket, used: number, nowMs: number): void
  /** Lowers the share. `tokens` must fit into the capacity of `units`. */
  give (units: number, tokens: number, nowMs: number): void
  /** Raises the share. */
  receive (units: number, tokens: number, nowMs: number): void
  /** Changes rate and burst; units are kept, tokens cut to the new capacity. */
  resize (size: AllowanceSize, nowMs: number): void
  size (): AllowanceSize
}

/** Rounding of sums of tokens that is overlooked; what is taken too much stays behind as a debt. */
const ROUNDING_TOKENS = 1e-6

/** Fewest units whose capacity holds `tokens`. */
export function unitsFor (tokens: number, burst: number): number {
  return Math.ceil(tokens * TOTAL_UNITS / burst)
}

export function createShare (initial: AllowanceSize, nowMs: number): Share {
  let size = initial
  let units = 0
  let level = 0
  let filledAtMs = nowMs
  /** Reservations not settled yet, oldest first. */
  const open: Ticket[] = []

  const capacity = (): number => size.burst * units / TOTAL_UNITS
  const cut = (): void => {
    level = Math.min(level, capacity())
    const newest = open.at(-1)
    if (newest !== undefined) newest.room = Math.min(newest.room, capacity() - level)
  }
  const fill = (now: number): void => {
    const elapsedMs = Math.max(0, now - filledAtMs)
    filledAtMs = Math.max(filledAtMs, now)
    level += size.rate * units / TOTAL_UNITS * elapsedMs / MS_PER_SECOND
    cut()
  }
  /** Ends a reservation and brings back `unused` as far as there was room all the time since. */
  const close = (ticket: Ticket, unused: number): void => {
    const index = open.indexOf(ticket)
    if (index < 0) return
    const since = open.slice(index)
    const room = Math.min(...since.map(other => other.room))
    const refund = Math.min(unused, Math.max(0, room))
    level += refund
    since.forEach(other => { other.room -= Math.max(0, refund) })
    open.splice(index, 1)
    const older = open[index - 1]
    if (older !== undefined) older.room = Math.min(older.room, ticket.room)
    cut()
  }
  return {
    units: () => units,
    outstanding: () => open.reduce((sum, ticket) => sum + ticket.tokens, 0),
    size: () => size,
    level: now => {
      fill(now)
      return level
    },
    take: (tokens, now) => {
      fill(now)
      if (tokens > level + ROUNDING_TOKENS) return undefined
      level -= tokens
      const ticket = { tokens, room: Infinity }
      open.push(ticket)
      cut()
      return ticket
    },
    settle: (ticket, used, now) => {
      fill(now)
      close(ticket, ticket.tokens - used)
    },
    give: (givenUnits, tokens, now) => {
      fill(now)
      units -= givenUnits
      level -= tokens
      cut()
    },
    receive: (receivedUnits, tokens, now) => {
      fill(now)
      units += receivedUnits
      level += tokens
      cut()
    },
    resize: (next, now) => {
      fill(now)
      size = next
      cut()
    }
  }
}
