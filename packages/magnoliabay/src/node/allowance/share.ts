/**
 * The part of one team's allowance that this process holds: units, and the tokens in the burst capacity
 * that the units stand for.
 *
 * Over the fleet the units sum to at most {@link TOTAL_UNITS}, so rates sum to the team's rate and
 * capacities to its burst. Beside its level a share keeps credits: what each open reservation may still
 * bring back. Level and credits together never exceed the capacity. Were unused tokens simply put back, a
 * bucket that has filled up behind a long answer would hand the same burst out twice; with credits, what is
 * used by the requests let in within any time t stays within rate * t + burst.
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
  /** The reservation's part of all credits, in the epoch in which it was made. */
  weight: number
  epoch: number
}

export interface Share {
  units (): number
  /** Tokens there now; less than 0 after an answer that used more than was reserved. */
  level (nowMs: number): number
  /** Tokens of reservations not settled yet. */
  outstanding (): number
  /** Takes `tokens` if they are there. */
  take (tokens: number, nowMs: number): Ticket | undefined
  /** Ends a reservation: unused tokens come back as far as its credit goes, what was used beyond is owed. */
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
/** Below this all credits count as nothing. */
const LEAST_SCALE = 1e-6

/** Fewest units whose capacity holds `tokens`. */
export function unitsFor (tokens: number, burst: number): number {
  return Math.ceil(tokens * TOTAL_UNITS / burst)
}

export function createShare (initial: AllowanceSize, nowMs: number): Share {
  let size = initial
  let units = 0
  let level = 0
  let outstanding = 0
  let filledAtMs = nowMs
  // A credit is weight * scale, so that all credits shrink at once, in proportion. Once they have come to
  // nothing a new epoch begins, and tickets of the old one have none.
  let weights = 0
  let scale = 1
  let epoch = 0

  const capacity = (): number => size.burst * units / TOTAL_UNITS
  const cut = (): void => {
    level = Math.min(level, capacity())
    const room = capacity() - level
    if (weights * scale <= room) return
    scale = room / weights
    if (scale > LEAST_SCALE) return
    epoch += 1
    weights = 0
    scale = 1
  }
  const fill = (now: number): void => {
    const elapsedMs = Math.max(0, now - filledAtMs)
    filledAtMs = Math.max(filledAtMs, now)
    level += size.rate * units / TOTAL_UNITS * elapsedMs / MS_PER_SECOND
    cut()
  }
  return {
    units: () => units,
    outstanding: () => outstanding,
    size: () => size,
    level: now => {
      fill(now)
      return level
    },
    take: (tokens, now) => {
      fill(now)
      if (tokens > level + ROUNDING_TOKENS) return undefined
      const ticket = { tokens, weight: tokens / scale, epoch }
      level -= tokens
      outstanding += tokens
      weights += ticket.weight
      cut()
      return ticket
    },
    settle: (ticket, used, now) => {
      fill(now)
      const isCredited = ticket.epoch === epoch
      const credit = isCredited ? ticket.weight * scale : 0
      level += Math.min(ticket.tokens - used, credit)
      outstanding = Math.max(0, outstanding - ticket.tokens)
      if (isCredited) weights = Math.max(0, weights - ticket.weight)
      cut()
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
