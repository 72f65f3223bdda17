/**
 * Counts the units that this process has given to and received from every other process, by team.
 *
 * Counters only grow, and a transfer carries the giver's counter rather than an amount. The taker adds the difference to
 * what it has received already, so a duplicate or late transfer adds nothing, and the units of a lost one arrive with
 * the next. Tokens count only with the newest transfer; those of a lost one are lost.
 */
import type { TeamShares } from './teamShares'

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

/** Final counters between a live process and a terminated one. */
export interface PairReport {
  team: string
  /** Incarnation of the terminated process. */
  dead: string
  given: number
  received: number
}

export interface TransferCounters {
  /** Lowers the share, then returns the transfer to be sent. Gives nothing to a closed process. */
  give (team: string, to: string, units: number, tokens: number): Transfer
  /** Raises the share by what is new in the transfer, and returns the units gained. */
  accept (transfer: Transfer): number
  /**
   * Ends all transfers with terminated processes permanently, and reports the counters. Repeated, it reports the same,
   * since transfers of theirs that arrive later are refused.
   */
  close (terminated: readonly string[]): readonly PairReport[]
}

interface CounterPair {
  given: number
  received: number
}

export interface TransferCountersOptions {
  /** Incarnation of this process. */
  process: string
  shares: TeamShares
  monotonic: () => number
}

export function createTransferCounters (options: TransferCountersOptions): TransferCounters {
  const { process, shares, monotonic } = options
  const pairs = new Map<string, Map<string, CounterPair>>()
  const closed = new Set<string>()

  const pairOf = (other: string, team: string): CounterPair => {
    const teams = pairs.get(other) ?? new Map<string, CounterPair>()
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
    close: terminated => {
      terminated.forEach(other => closed.add(other))
      return terminated.flatMap(other => [...(pairs.get(other) ?? [])]
        .filter(([, pair]) => pair.given > 0 || pair.received > 0)
        .map(([team, pair]) => ({ team, dead: other, given: pair.given, received: pair.received })))
    }
  }
}
