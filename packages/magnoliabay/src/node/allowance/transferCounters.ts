/**
 * What this process has given to and received from every other process, team by team.
 *
 * Counters only grow, and a transfer carries the giver's counter rather than an amount. The taker takes
 * the difference to what it has already, so a doubled or late transfer brings nothing, and the units
 * of a lost one come with the next. Tokens count only with the newest transfer: those of a lost one are lost.
 */
import type { Shares } from './teamShares'

/** `given` is the giver's counter for this taker and team. */
export interface Transfer {
  team: string
  /** Incarnation of the giver. */
  from: string
  /** Incarnation of the taker. */
  to: string
  given: number
  tokens: number
}

/** Final counters between a live process and a dead one. */
export interface PairReport {
  team: string
  /** Incarnation of the dead process. */
  dead: string
  given: number
  received: number
}

export interface Pairs {
  /** Lowers the own share first, then tells the transfer to be sent. Gives nothing to a closed process. */
  give (team: string, to: string, units: number, tokens: number): Transfer
  /** Raises the own share by what is new in the transfer; returns the units gained. */
  accept (transfer: Transfer): number
  /**
   * Ends all transfers with dead processes, for good, and reports the counters. Repeated, it reports
   * the same: whatever of theirs is still on its way is refused from now on.
   */
  close (dead: readonly string[]): readonly PairReport[]
}

interface Pair {
  given: number
  received: number
}

export interface PairsOptions {
  /** Incarnation of this process. */
  process: string
  shares: Shares
  monotonic: () => number
}

export function createPairs (options: PairsOptions): Pairs {
  const { process, shares, monotonic } = options
  const pairs = new Map<string, Map<string, Pair>>()
  const closed = new Set<string>()

  const pairOf = (other: string, team: string): Pair => {
    const teams = pairs.get(other) ?? new Map<string, Pair>()
    pairs.set(other, teams)
    const pair = teams.get(team) ?? { given: 0, received: 0 }
    teams.set(team, pair)
    return pair
  }
  return {
    give: (team, to, units, tokens) => {
      const pair = pairOf(to, team)
      const own = shares.of(team)
      const isGiving = own !== undefined && units > 0 && !closed.has(to)
      if (isGiving) {
        own.share.give(units, tokens, monotonic())
        pair.given += units
      }
      return { team, from: process, to, given: pair.given, tokens: isGiving ? tokens : 0 }
    },
    accept: transfer => {
      const own = shares.of(transfer.team)
      if (own === undefined || transfer.to !== process || closed.has(transfer.from)) return 0
      const pair = pairOf(transfer.from, transfer.team)
      const gained = transfer.given - pair.received
      if (gained <= 0) return 0
      pair.received = transfer.given
      own.share.receive(gained, transfer.tokens, monotonic())
      return gained
    },
    close: dead => {
      dead.forEach(other => closed.add(other))
      return dead.flatMap(other => [...(pairs.get(other) ?? [])]
        .filter(([, pair]) => pair.given > 0 || pair.received > 0)
        .map(([team, pair]) => ({ team, dead: other, given: pair.given, received: pair.received })))
    }
  }
}
