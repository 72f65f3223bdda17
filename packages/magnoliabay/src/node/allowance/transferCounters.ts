/**
 * Counts the units that this process has given to and received from every other process, by team.
 *
 * Counters only grow, and a transfer carries the giver's counters rather than amounts. The taker adds the difference to
 * what it has received already, so a duplicate or late transfer adds nothing, and the units and tokens of a lost one
 * arrive with the next.
 */
import type { TeamShares } from './teamShares'

/** `given` and `givenTokens` are the giver's counters for this taker and team. */
export interface Transfer {
  team: string
  /** Incarnation of the giver. */
  from: string
  /** Incarnation of the taker. */
  to: string
  given: number
  /** Tokens of this transfer alone. */
  tokens: number
  /** Missing from a giver of an earlier version, whose lost tokens stay lost. */
  givenTokens?: number
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
  givenTokens: number
  receivedTokens: number
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
    const pair = teams.get(team) ?? { given: 0, received: 0, givenTokens: 0, receivedTokens: 0 }
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
        pair.givenTokens += tokens
      }
      return { team, from: process, to, given: pair.given, tokens: isGiving ? tokens : 0, givenTokens: pair.givenTokens }
    },
    accept: transfer => {
      const own = shares.of(transfer.team)
      if (own === undefined || transfer.to !== process || closed.has(transfer.from)) return 0
      const pair = pairOf(transfer.from, transfer.team)
      const gained = transfer.given - pair.received
      if (gained <= 0) return 0
      const givenTokens = transfer.givenTokens ?? pair.receivedTokens + transfer.tokens
      own.share.receive(gained, givenTokens - pair.receivedTokens, monotonic())
      pair.received = transfer.given
      pair.receivedTokens = givenTokens
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
