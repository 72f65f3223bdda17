/**
 * Moves shares between members: fetches tokens before a request is refused, collects what is spread
 * over the fleet, answers those who ask.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { MemberRecord, Peers } from '../members'
import { ASK_TIMEOUT_MS, KNOWN_TOTAL_MS, MAX_COLLECTED_FROM, MS_PER_SECOND } from './constants'
import { NO_GIFT, giftFor, isIdle } from './transferPolicy'
import type { Homes } from './homeMembers'
import { askCall, holdingNotice } from './messages'
import type { AskMode, AskReply, AskRequest } from './messages'
import type { Pairs } from './transferCounters'
import type { Shares, TeamShare } from './teamShares'

/** A second try meets tokens that another request here took in between. */
const MAX_FETCH_TRIES = 2

export interface ShareExchangeOptions {
  peers: Peers
  shares: Shares
  pairs: Pairs
  homes: Homes
  clock: Clock
  logger: Logger
  /** Only a process that the store lists may hold anything: else its share could not be reclaimed. */
  mayHold: () => boolean
}

export interface ShareExchange {
  /** Brings `tokens` here if the fleet has them. Returns milliseconds until they may be there, 0 when they are. */
  fetch (own: TeamShare, tokens: number): Promise<number>
  /** Takes over what another member holds without use. */
  takeHome (team: string, memberId: string): Promise<void>
  /** Asks another home for a part, so that no home holds nearly all. */
  even (own: TeamShare): Promise<void>
  /** Asks again those whose answers were lost. */
  heal (): Promise<void>
}

/** What the last collection found. Until it is old, tokens beyond it are refused without asking anybody. */
interface KnownTotal {
  tokens: number
  atMs: number
}

interface Wanted {
  mode: AskMode
  tokens: number
}

interface TeamState {
  known: KnownTotal
  /** Units held by others, as far as told; a member that never told is asked as well. */
  holdings: Map<string, number>
  collecting: Promise<void> | undefined
}

export function createShareExchange (options: ShareExchangeOptions): ShareExchange {
  const { peers, shares, pairs, homes, clock, logger, mayHold } = options
  const states = new Map<string, TeamState>()
  /** Number of the last ask of each process. */
  const lastAsk = new Map<string, number>()
  let nextNumber = 0
  /** Homes are asked in turn: which of them holds the most may have changed with the members. */
  let evenTurn = 0
  const unhealed = new Map<string, { team: string, memberId: string }>()

  const now = (): number => clock.monotonic()
  const stateOf = (team: string): TeamState => {
    const state = states.get(team) ?? { known: { tokens: 0, atMs: -Infinity }, holdings: new Map(), collecting: undefined }
    states.set(team, state)
    return state
  }
  const isKnownShort = (own: TeamShare, tokens: number): boolean => {
    const { known } = stateOf(own.team)
    const ageMs = now() - known.atMs
    return ageMs < KNOWN_TOTAL_MS && tokens > known.tokens + own.share.size().rate * ageMs / MS_PER_SECOND
  }
  const setKnown = (own: TeamShare, tokens: number): void => {
    stateOf(own.team).known = { tokens, atMs: now() }
  }

  const ask = async (own: TeamShare, memberId: string, wanted: Wanted): Promise<AskReply | undefined> => {
    if (!mayHold()) return undefined
    nextNumber += 1
    const req: AskRequest = {
      number: nextNumber,
      team: own.team,
      mode: wanted.mode,
      tokens: wanted.tokens,
      demand: own.demand.rate(now()),
      units: own.share.units()
    }
    const reply = await peers.call(memberId, askCall, req, { timeoutMs: ASK_TIMEOUT_MS })
    const unhealedKey = `${own.team} ${memberId}`
    if (reply.err) {
      // The peer may have lowered itself for an answer that was lost: its units would lie idle for good.
      if (reply.val.kind !== 'not-connected') unhealed.set(unhealedKey, { team: own.team, memberId })
      return undefined
    }
    unhealed.delete(unhealedKey)
    pairs.accept(reply.val.transfer)
    stateOf(own.team).holdings.set(memberId, reply.val.unitsLeft)
    return reply.val
  }
  const candidates = (team: string): string[] => {
    const { holdings } = stateOf(team)
    const mayHaveSome = (member: MemberRecord): boolean => homes.isHome(team, member.id) || holdings.get(member.id) !== 0
    const isReachable = (member: MemberRecord): boolean => member.id !== peers.self.id && peers.isConnected(member.id)
    const held = (member: MemberRecord): number => holdings.get(member.id) ?? 0
    return peers.members()
      .filter(isReachable)
      .filter(mayHaveSome)
      .sort((left, right) => held(right) - held(left))
      .slice(0, MAX_COLLECTED_FROM)
      .map(member => member.id)
  }
  const collectModeFor = (team: string, memberId: string): AskMode => homes.isHome(team, memberId) ? 'rebalance' : 'collect'
  const collect = async (own: TeamShare, tokens: number): Promise<void> => {
    const asked = candidates(own.team)
    const replies = await Promise.all(asked.map(id => ask(own, id, { mode: collectModeFor(own.team, id), tokens })))
    const elsewhere = replies.reduce((sum, reply) => sum + Math.max(0, reply?.tokensLeft ?? 0), 0)
    // What didn't answer may have enough: then it is worth another try.
    if (!replies.includes(undefined)) setKnown(own, own.share.level(now()) + elsewhere)
  }
  /** Collects, but never twice at once for a team. */
  const gather = async (own: TeamShare, tokens: number): Promise<void> => {
    const state = stateOf(own.team)
    if (state.collecting !== undefined) await state.collecting
    if (own.share.level(now()) >= tokens || isKnownShort(own, tokens)) return
    state.collecting ??= collect(own, tokens).finally(() => { state.collecting = undefined })
    await state.collecting
  }
  /** Tokens over the fleet as last collected, and what has grown since. */
  const totalKnown = (own: TeamShare): number => {
    const { known } = stateOf(own.team)
    const ageMs = Math.min(now() - known.atMs, KNOWN_TOTAL_MS)
    return Math.max(own.share.level(now()), known.tokens + own.share.size().rate * ageMs / MS_PER_SECOND)
  }
  const answer = (own: TeamShare, req: AskRequest, from: MemberRecord): AskReply => {
    const isBusy = req.mode === 'return' && !isIdle(own, peers.self.leaving, now())
    // Doubled, or overtaken by a later ask, whose answer has told the taker all that it will be told.
    const isStale = req.number <= (lastAsk.get(from.incarnation) ?? 0)
    if (!isStale) lastAsk.set(from.incarnation, req.number)
    const gift = isBusy || isStale ? NO_GIFT : giftFor(own, req, now())
    const transfer = pairs.give(req.team, from.incarnation, gift.units, gift.tokens)
    stateOf(req.team).holdings.set(from.id, req.units + gift.units)
    return { transfer, unitsLeft: own.share.units(), tokensLeft: own.share.level(now()) }
  }

  peers.serve(askCall, (req, from) => {
    const own = shares.of(req.team)
    if (own === undefined) return { transfer: pairs.give(req.team, from.incarnation, 0, 0), unitsLeft: 0, tokensLeft: 0 }
    return answer(own, req, from)
  })
  const takeHome: ShareExchange['takeHome'] = async (team, memberId) => {
    const own = shares.of(team)
    if (own === undefined) return
    const reply = await ask(own, memberId, { mode: 'return', tokens: 0 })
    logger.debug('share-taken-home', { team, from: memberId, units: own.share.units(), reason: reply === undefined ? 'no answer' : 'idle there' })
  }
  peers.listen(holdingNotice, (notice, from) => {
    stateOf(notice.team).holdings.set(from.id, notice.units)
    if (notice.isIdle && !peers.self.leaving) takeHome(notice.team, from.id)
  })

  return {
    takeHome,
    fetch: async (own, tokens) => {
      for (let tries = 0; tries < MAX_FETCH_TRIES && own.share.level(now()) < tokens && !isKnownShort(own, tokens); tries += 1) {
        await gather(own, tokens)
      }
      if (own.share.level(now()) >= tokens) return 0
      if (!isKnownShort(own, tokens)) setKnown(own, own.share.level(now()))
      return Math.max(1, (tokens - totalKnown(own)) / own.share.size().rate * MS_PER_SECOND)
    },
    even: async own => {
      const others = homes.near(own.team).filter(home => home.id !== peers.self.id && peers.isConnected(home.id))
      evenTurn += 1
      const giver = others[evenTurn % others.length]
      if (giver !== undefined) await ask(own, giver.id, { mode: 'even', tokens: 0 })
    },
    heal: async () => {
      const lost = [...unhealed.values()]
      await Promise.all(lost.map(async ({ team, memberId }) => {
        const own = shares.of(team)
        if (own !== undefined) await ask(own, memberId, { mode: 'heal', tokens: 0 })
      }))
    }
  }
}
