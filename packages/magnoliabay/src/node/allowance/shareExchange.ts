/**
 * Moves shares between members: fetches tokens before a request is refused, collects tokens spread over the fleet, and
 * responds to other members that ask for them.
 */
import { inBackground } from '../background'
import { sleep } from '../clock'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { MemberRecord, Peers } from '../members'
import { ASK_TIMEOUT_MS, FIRST_TRANSFER_PAUSE_MS, KNOWN_TOTAL_TTL_MS, MAX_COLLECTION_PEERS, MAX_TRANSFER_WAIT_MS, MS_PER_SECOND, TOTAL_UNITS, UNKNOWN_TOTAL_RETRY_MS } from './constants'
import { NO_TRANSFER, transferAmountFor, isIdle } from './transferPolicy'
import type { HomeMembers } from './homeMembers'
import { askCall, holdingNotice } from './messages'
import type { AskMode, AskReply, AskRequest } from './messages'
import { createMissingUnits } from './missingUnits'
import type { MissingUnits } from './missingUnits'
import type { Ticket } from './share'
import type { TransferCounters } from './transferCounters'
import type { TeamShares, TeamShare } from './teamShares'
import { stableHash } from '../utils'

/** The second attempt is for tokens that another request of this member took in the meantime. */
const MAX_FETCH_ATTEMPTS = 2

export interface ShareExchangeOptions {
  peers: Peers
  shares: TeamShares
  counters: TransferCounters
  homes: HomeMembers
  clock: Clock
  logger: Logger
  /** Whether this process is registered in the store. Without that its share could not be reclaimed, so it may hold none. */
  mayHold: () => boolean
}

/** The tokens that were taken, or the time until they may be available. */
export type TakeResult =
  | { kind: 'taken', ticket: Ticket }
  | { kind: 'short', waitMs: number }

export interface ShareExchange {
  /** Takes `tokens` from the own share. Collects them from the fleet first if it has them. */
  take (own: TeamShare, tokens: number): Promise<TakeResult>
  /** Takes over the idle share of another member. */
  collectIdle (team: string, memberId: string): Promise<void>
  /** Asks another home for units, so that no home holds nearly all of them. */
  evenOut (own: TeamShare): Promise<void>
  /** Asks members again whose replies were lost. */
  recoverLostTransfers (): Promise<void>
}

/** Total found by the last collection. Until it expires, requests beyond it are refused without asking other members. */
interface KnownTotal {
  tokens: number
  atMs: number
  /** False when a member did not reply or units were being transferred: there may be more tokens. */
  isComplete: boolean
}

/** What the members of one collection hold. */
interface CollectedTotal {
  tokens: number
  units: number
}

interface AskParameters {
  mode: AskMode
  tokens: number
}

interface TeamState {
  known: KnownTotal
  /** Units held by other members, as last reported. A member that has not reported is asked as well. */
  holdings: Map<string, number>
  collecting: Promise<void> | undefined
  missingUnits: MissingUnits
}

function createTeamState (): TeamState {
  return {
    known: { tokens: 0, atMs: -Infinity, isComplete: false },
    holdings: new Map(),
    collecting: undefined,
    missingUnits: createMissingUnits()
  }
}

export function createShareExchange (options: ShareExchangeOptions): ShareExchange {
  const { peers, shares, counters, homes, clock, logger, mayHold } = options
  const states = new Map<string, TeamState>()
  /** Number of the last request of each process. */
  const lastAskNumbers = new Map<string, number>()
  let nextNumber = 0
  /** Homes are asked in rotation, since any of them may be the one that holds the most units. */
  let nextHomeIndex = 0
  const lostTransfers = new Map<string, { team: string, memberId: string }>()

  const now = (): number => clock.monotonic()
  const stateOf = (team: string): TeamState => {
    const state = states.get(team) ?? createTeamState()
    states.set(team, state)
    return state
  }
  const isKnownInsufficient = (own: TeamShare, tokens: number): boolean => {
    const { known } = stateOf(own.team)
    const ageMs = now() - known.atMs
    return ageMs < KNOWN_TOTAL_TTL_MS && tokens > known.tokens + own.share.size().rate * ageMs / MS_PER_SECOND
  }
  const recordKnownTotal = (own: TeamShare, tokens: number, isComplete: boolean): void => {
    stateOf(own.team).known = { tokens, atMs: now(), isComplete }
  }

  const ask = async (own: TeamShare, memberId: string, parameters: AskParameters): Promise<AskReply | undefined> => {
    if (!mayHold()) return undefined
    nextNumber += 1
    const req: AskRequest = {
      number: nextNumber,
      team: own.team,
      mode: parameters.mode,
      tokens: parameters.tokens,
      demand: own.demand.rate(now()),
      units: own.share.units()
    }
    const reply = await peers.call(memberId, askCall, req, { timeoutMs: ASK_TIMEOUT_MS })
    const lostTransferKey = `${own.team} ${memberId}`
    if (reply.err) {
      // The peer may have lowered its share for a reply that was lost, and those units would stay unused for ever.
      if (reply.val.kind !== 'not-connected') lostTransfers.set(lostTransferKey, { team: own.team, memberId })
      return undefined
    }
    lostTransfers.delete(lostTransferKey)
    counters.accept(reply.val.transfer)
    stateOf(own.team).holdings.set(memberId, reply.val.unitsLeft)
    return reply.val
  }
  const collectionPeers = (team: string): string[] => {
    const { holdings } = stateOf(team)
    const mayHoldUnits = (member: MemberRecord): boolean => homes.isHome(team, member.id) || holdings.get(member.id) !== 0
    const isReachable = (member: MemberRecord): boolean => member.id !== peers.self.id && peers.isConnected(member.id)
    const held = (member: MemberRecord): number => holdings.get(member.id) ?? 0
    return peers.members()
      .filter(isReachable)
      .filter(mayHoldUnits)
      .sort((left, right) => held(right) - held(left))
      .slice(0, MAX_COLLECTION_PEERS)
      .map(member => member.id)
  }
  const collectModeFor = (team: string, memberId: string): AskMode => homes.isHome(team, memberId) ? 'rebalance' : 'collect'
  /** Returns undefined unless all members replied: one that didn't may hold enough. */
  const collectOnce = async (own: TeamShare, tokens: number): Promise<CollectedTotal | undefined> => {
    const asked = collectionPeers(own.team)
    const replies = await Promise.all(asked.map(id => ask(own, id, { mode: collectModeFor(own.team, id), tokens })))
    const received = replies.filter(reply => reply !== undefined)
    if (received.length < asked.length) return undefined
    return {
      tokens: received.reduce((sum, reply) => sum + Math.max(0, reply.tokensLeft), own.share.level(now())),
      units: received.reduce((sum, reply) => sum + reply.unitsLeft, own.share.units())
    }
  }
  /** Returns how many tokens units that were counted nowhere may have. */
  const hiddenTokens = (own: TeamShare, total: CollectedTotal): number => {
    const missing = TOTAL_UNITS - total.units
    return missing < 0 ? Infinity : own.share.size().burst * missing / TOTAL_UNITS
  }
  /**
   * Collects again while units are missing that may be on their way between members. Without that, a request that
   * arrives while homes transfer units is refused for as long as the refill of those units would take, although the
   * tokens exist. The wait is bounded; units that stay missing, or are too few for the request, are not waited for.
   */
  const collect = async (own: TeamShare, tokens: number): Promise<void> => {
    const endMs = now() + MAX_TRANSFER_WAIT_MS
    for (let pauseMs = FIRST_TRANSFER_PAUSE_MS; ; pauseMs *= 2) {
      const total = await collectOnce(own, tokens)
      if (total === undefined) return
      const mayArrive = stateOf(own.team).missingUnits.mayArrive(TOTAL_UNITS - total.units, now())
      if (!mayArrive) return recordKnownTotal(own, total.tokens, true)
      const possibleTokens = total.tokens + hiddenTokens(own, total)
      if (possibleTokens < tokens) return recordKnownTotal(own, possibleTokens, true)
      if (own.share.level(now()) >= tokens) return
      if (now() >= endMs) return recordKnownTotal(own, total.tokens, false)
      await sleep(clock, Math.min(pauseMs, endMs - now()))
    }
  }
  /** Collects, with at most one collection in flight for a team. */
  const collectExclusively = async (own: TeamShare, tokens: number): Promise<void> => {
    const state = stateOf(own.team)
    if (state.collecting !== undefined) await state.collecting
    if (own.share.level(now()) >= tokens || isKnownInsufficient(own, tokens)) return
    state.collecting ??= collect(own, tokens).finally(() => { state.collecting = undefined })
    await state.collecting
  }
  /** Tokens over the fleet as last collected, with the refill since. */
  const knownTotal = (own: TeamShare): number => {
    const { known } = stateOf(own.team)
    const ageMs = Math.min(now() - known.atMs, KNOWN_TOTAL_TTL_MS)
    return Math.max(own.share.level(now()), known.tokens + own.share.size().rate * ageMs / MS_PER_SECOND)
  }
  /** Time until the team may have `tokens`, in milliseconds. */
  const waitFor = (own: TeamShare, tokens: number): number => {
    const refillMs = Math.max(1, (tokens - knownTotal(own)) / own.share.size().rate * MS_PER_SECOND)
    return stateOf(own.team).known.isComplete ? refillMs : Math.min(refillMs, UNKNOWN_TOTAL_RETRY_MS)
  }
  /**
   * Whether this member keeps its tokens from the taker, since it collects for a request itself. Of two homes that collect
   * at once, one gives and the other doesn't. Without that they would swap their tokens until neither has enough, and
   * both requests would be refused although there are tokens for one.
   */
  const isCollectingBefore = (req: AskRequest, from: MemberRecord): boolean => {
    if (stateOf(req.team).collecting === undefined) return false
    if (req.mode === 'even') return true
    return isCollectMode(req.mode) && precedes(req.team, peers.self.id, from.id)
  }
  const createReply = (own: TeamShare, req: AskRequest, from: MemberRecord): AskReply => {
    const isBusy = isCollectingBefore(req, from) || (req.mode === 'return' && !isIdle(own, peers.self.leaving, now()))
    // A duplicate, or one overtaken by a later request, whose reply already carried the counter to the taker.
    const isStale = req.number <= (lastAskNumbers.get(from.incarnation) ?? 0)
    if (!isStale) lastAskNumbers.set(from.incarnation, req.number)
    const amount = isBusy || isStale ? NO_TRANSFER : transferAmountFor(own, req, now())
    const transfer = counters.give(req.team, from.incarnation, amount.units, amount.tokens)
    stateOf(req.team).holdings.set(from.id, req.units + amount.units)
    return { transfer, unitsLeft: own.share.units(), tokensLeft: own.share.level(now()) }
  }

  peers.serve(askCall, (req, from) => {
    const own = shares.of(req.team)
    if (own === undefined) return { transfer: counters.give(req.team, from.incarnation, 0, 0), unitsLeft: 0, tokensLeft: 0 }
    return createReply(own, req, from)
  })
  const collectIdle: ShareExchange['collectIdle'] = async (team, memberId) => {
    const own = shares.of(team)
    if (own === undefined) return
    const reply = await ask(own, memberId, { mode: 'return', tokens: 0 })
    logger.debug('share-taken-home', { team, from: memberId, units: own.share.units(), reason: reply === undefined ? 'no reply' : 'idle at that member' })
  }
  peers.listen(holdingNotice, (notice, from) => {
    stateOf(notice.team).holdings.set(from.id, notice.units)
    if (notice.isIdle && !peers.self.leaving) inBackground('collect-idle', collectIdle(notice.team, from.id))
  })

  return {
    collectIdle,
    take: async (own, tokens) => {
      for (let attempt = 0; attempt < MAX_FETCH_ATTEMPTS && own.share.level(now()) < tokens && !isKnownInsufficient(own, tokens); attempt += 1) {
        await collectExclusively(own, tokens)
      }
      // Taken here and not by the caller: until it resumes, another request that waited for the same collection may take
      // them, and this one would be refused with the time to retry of tokens that are available, 1 s.
      const ticket = own.share.tryTake(tokens, now())
      if (ticket !== undefined) return { kind: 'taken', ticket }
      if (!isKnownInsufficient(own, tokens)) recordKnownTotal(own, own.share.level(now()), false)
      return { kind: 'short', waitMs: waitFor(own, tokens) }
    },
    evenOut: async own => {
      const others = homes.inOwnRegion(own.team).filter(home => home.id !== peers.self.id && peers.isConnected(home.id))
      nextHomeIndex += 1
      const giver = others[nextHomeIndex % others.length]
      if (giver !== undefined) await ask(own, giver.id, { mode: 'even', tokens: 0 })
    },
    recoverLostTransfers: async () => {
      const lost = [...lostTransfers.values()]
      await Promise.all(lost.map(async ({ team, memberId }) => {
        const own = shares.of(team)
        if (own !== undefined) await ask(own, memberId, { mode: 'heal', tokens: 0 })
      }))
    }
  }
}

function isCollectMode (mode: AskMode): boolean {
  return mode === 'collect' || mode === 'rebalance'
}

/** An order of members that all of them agree on, and that differs between teams. */
function precedes (team: string, one: string, other: string): boolean {
  return stableHash(`${team} ${one}`) < stableHash(`${team} ${other}`)
}
