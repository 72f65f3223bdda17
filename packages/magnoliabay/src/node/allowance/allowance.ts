/**
 * One home member holds a team's bucket; the others ask it for tokens.
 */
import type { Clock } from '../clock'
import type { ConfigHolder, TeamConfig } from '../config'
import { refusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import { definePeerCall } from '../members'
import type { Peers } from '../members'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { rankByRendezvous } from '../utils'
import { createBucket } from './bucket'
import type { Bucket } from './bucket'

export interface Reservation {
  team: string
  tokens: number
}

export interface Allowance {
  /** Takes `tokens` from the team's allowance, or tells when they will be there. */
  reserve (team: string, tokens: number): Promise<Result<Reservation, Failure>>
  /** Gives back what a request didn't use. */
  settle (reservation: Reservation, usedTokens: number): void
  /** Members at which the team's tokens are held, best first. */
  homes (team: string): readonly string[]
}

interface TakeRequest {
  team: string
  tokens: number
}

interface TakeReply {
  taken: boolean
  /** Until the tokens will be there, in milliseconds. */
  waitMs: number
}

const takeTokens = definePeerCall<TakeRequest, TakeReply>('allowance.take')
const giveTokens = definePeerCall<TakeRequest, boolean>('allowance.give')

const RETRY_AFTER_UNREACHABLE_S = 1
const MS_PER_SECOND = 1000

export interface AllowanceOptions {
  cfg: ConfigHolder
  peers: Peers
  clock: Clock
  logger: Logger
}

export function createAllowance (options: AllowanceOptions): Allowance {
  const { cfg, peers, clock } = options
  const buckets = new Map<string, Bucket>()

  const sizeOf = (team: TeamConfig): { rate: number, burst: number } => ({ rate: team.tokensPerSecond, burst: team.burstTokens })
  const bucketOf = (team: TeamConfig): Bucket => {
    const existing = buckets.get(team.name)
    if (existing !== undefined) return existing
    const created = createBucket(sizeOf(team), clock.monotonic())
    buckets.set(team.name, created)
    return created
  }
  const homes = (team: string): string[] => {
    const ids = peers.members().filter(member => !member.leaving).map(member => member.id)
    return rankByRendezvous(team, ids, id => id)
  }

  peers.serve(takeTokens, req => {
    const team = cfg.team(req.team)
    if (team === undefined) return { taken: false, waitMs: MS_PER_SECOND }
    const bucket = bucketOf(team)
    const taken = bucket.take(req.tokens, clock.monotonic())
    return { taken, waitMs: taken ? 0 : bucket.waitFor(req.tokens, clock.monotonic()) }
  })
  peers.serve(giveTokens, req => {
    const team = cfg.team(req.team)
    if (team !== undefined) bucketOf(team).give(req.tokens, clock.monotonic())
    return true
  })
  cfg.onChanged(() => {
    const teams = cfg.inForce().fleet.team
    teams.forEach(team => bucketOf(team).resize(sizeOf(team), clock.monotonic()))
  })

  return {
    homes,
    reserve: async (team, tokens) => {
      const home = homes(team)[0]!
      const reply = await peers.call(home, takeTokens, { team, tokens })
      if (reply.err) return Err(refusal('over_allowance', 'The allowance cannot be checked just now.', RETRY_AFTER_UNREACHABLE_S))
      if (reply.val.taken) return Ok({ team, tokens })
      if (!Number.isFinite(reply.val.waitMs)) return Err(refusal('over_allowance', `The request needs ${tokens} tokens, more than the team's burst.`))
      const waitSeconds = Math.max(1, Math.ceil(reply.val.waitMs / MS_PER_SECOND))
      return Err(refusal('over_allowance', `The team's allowance is spent. ${tokens} tokens will be there in ${waitSeconds} s.`, waitSeconds))
    },
    settle: (reservation, usedTokens) => {
      const unused = reservation.tokens - usedTokens
      const home = homes(reservation.team)[0]
      if (unused > 0 && home !== undefined) peers.call(home, giveTokens, { team: reservation.team, tokens: unused })
    }
  }
}
