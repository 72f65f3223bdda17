/**
 * Keeps the requests of all instances together to the rate that a backend server states. One instance, the server's home,
 * counts for all, and each request to a limited server asks it first. An instance that cannot reach the home asks the
 * deputy, the next in the same ranking; one that reaches neither has an equal part of a small share. The shares of all
 * three together stay within one and a half times the limit, also while members change and two instances take themselves
 * for the home for a moment.
 */
import * as v from 'valibot'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerCall, rankHomeInstances } from '../members'
import type { Peers } from '../members'
import { createRateBucket } from './rateBucket'
import type { Grant, RateBucket } from './rateBucket'
import type { ServerLimits } from './serverLimits'

type Role = 'home' | 'deputy' | 'apart'

interface AdmitRequest {
  process: string
  /** Tokens that the request leaves to others. */
  reserve: number
  role: Role
  requestsPerSecond: number
}

const admitCall = definePeerCall<AdmitRequest, Grant>('serving.admit-limited', {
  req: v.object({ process: v.string(), reserve: v.number(), role: v.picklist(['home', 'deputy', 'apart']), requestsPerSecond: v.number() }),
  res: v.object({ freeInMs: v.number(), retryInMs: v.number() })
})

/**
 * What an instance grants in each role: its part of the limit (for `apart` divided by the number of members), the burst, and
 * the tokens at the beginning. Few tokens: in sum over a home and the one that takes over from it they must stay within
 * what a server tolerates in a few seconds. None for those that are cut off: many may be at once.
 */
const ROLES: Record<Role, { share: number, burst: number, initialTokens: number }> = {
  home: { share: 1, burst: 3, initialTokens: 1 },
  deputy: { share: 0.25, burst: 2, initialTokens: 1 },
  apart: { share: 0.25, burst: 2, initialTokens: 0 }
}
/**
 * A request that another server can take leaves one token: busy models would otherwise take every place of an engine, and
 * the callers of a rare model that only this engine has would be refused.
 */
const RESERVE_WITH_ALTERNATIVE = 1
/** A limit of zero would never be lifted, since only an answer lifts it. */
const MIN_REQUESTS_PER_SECOND = 0.1
/** The home replies within a round trip. Waiting longer would cost more than sending the request elsewhere. */
const ASK_TIMEOUT_MS = 200
/** An instance that has not replied is asked again after this time, milliseconds. */
const ASK_RETRY_MS = 1000
/**
 * After a refusal of a request that can go elsewhere an instance pauses, so that all instances together ask in vain this
 * often: at least the first number a second, so that a small limit is used, and for a large limit this multiple of it.
 */
const MIN_ASKS_PER_SECOND = 20
const ASKS_PER_GRANT = 2
/** Longest mean pause before a request that nobody else can take asks again: there are few, and each would be refused. */
const MAX_MEAN_PAUSE_MS = 500
const MS_PER_SECOND = 1000
/** Above this number of records, those of processes that have ended are dropped with all others. */
const MAX_RECORDS = 1000

export interface LimitedServers {
  /**
   * Takes a request for the server's process; the grant is immediate for one that states no limit. `hasAlternative`: a
   * server without a limit can take the request.
   */
  admit (process: string, hasAlternative: boolean): Promise<Grant>
  /** Time for which the process certainly takes no request, as far as known without asking, milliseconds. */
  refusedForMs (process: string): number
}

export interface LimitedServersOptions {
  peers: Peers
  limits: Pick<ServerLimits, 'limitOf'>
  clock: Clock
  logger: Logger
  /** Returns a number from 0 to below 1. */
  random: () => number
}

const GRANTED: Grant = { freeInMs: 0, retryInMs: 0 }

export function createLimitedServers ({ peers, limits, clock, logger, random }: LimitedServersOptions): LimitedServers {
  const buckets = new Map<string, RateBucket>()
  /** The last refusal for each process and reserve: until it has a free place again, and for the pause, nobody is asked. */
  const refusals = new Map<string, { grant: Grant, atMs: number }>()
  const unreachedUntilMs = new Map<string, number>()
  /** Home and deputy by process, until members change. */
  const rankings = new Map<string, readonly string[]>()
  peers.onMembersChanged(() => rankings.clear())

  const bucketOf = (process: string, role: Role): RateBucket => {
    const key = `${role} ${process}`
    if (buckets.size > MAX_RECORDS) buckets.clear()
    const bucket = buckets.get(key) ?? createRateBucket({ ...ROLES[role], nowMs: clock.monotonic() })
    buckets.set(key, bucket)
    return bucket
  }
  const take = ({ process, reserve, role, requestsPerSecond }: AdmitRequest): Grant => {
    const limit = Math.max(MIN_REQUESTS_PER_SECOND, limits.limitOf(process) ?? requestsPerSecond)
    const parts = role === 'apart' ? Math.max(1, peers.members().length) : 1
    return bucketOf(process, role).take(limit * ROLES[role].share / parts, clock.monotonic(), reserve)
  }
  peers.serve(admitCall, take)

  const rankingOf = (process: string): readonly string[] => {
    const ranking = rankings.get(process) ?? rankHomeInstances(peers, process).slice(0, 2)
    rankings.set(process, ranking)
    return ranking
  }
  /** Returns undefined if the instance does not reply. */
  const ask = async (member: string, req: AdmitRequest): Promise<Grant | undefined> => {
    if (member === peers.self.id) return take(req)
    if (!peers.isConnected(member) || (unreachedUntilMs.get(member) ?? -Infinity) > clock.monotonic()) return undefined
    const reply = await peers.call(member, admitCall, req, { timeoutMs: ASK_TIMEOUT_MS })
    if (reply.ok) return reply.val
    unreachedUntilMs.set(member, clock.monotonic() + ASK_RETRY_MS)
    logger.info('limited-server-not-asked', { server: req.process, home: member, role: req.role, reason: reply.val.kind })
    return undefined
  }
  const askRanked = async (req: Omit<AdmitRequest, 'role'>): Promise<Grant> => {
    const { process } = req
    const [home, deputy] = rankingOf(process)
    const granted = (home === undefined ? undefined : await ask(home, { ...req, role: 'home' })) ??
      (deputy === undefined ? undefined : await ask(deputy, { ...req, role: 'deputy' }))
    if (granted === undefined) return take({ ...req, role: 'apart' })
    buckets.delete(`apart ${process}`)
    return granted
  }
  const withPause = ({ freeInMs, retryInMs }: Grant, limit: number, hasAlternative: boolean): Grant => {
    const sharedPauseMs = peers.members().length * MS_PER_SECOND / Math.max(MIN_ASKS_PER_SECOND, ASKS_PER_GRANT * limit)
    const meanPauseMs = hasAlternative ? sharedPauseMs : Math.min(sharedPauseMs, MAX_MEAN_PAUSE_MS)
    // Instances that hear of the limit at the same moment must not ask at the same moment from then on.
    const pauseMs = 2 * random() * meanPauseMs
    return { freeInMs: Math.max(freeInMs, pauseMs), retryInMs: Math.max(retryInMs, pauseMs) }
  }
  const refusalKey = (process: string, reserve: number): string => `${reserve} ${process}`
  const pendingRefusal = (process: string, reserve: number): Grant | undefined => {
    const refusal = refusals.get(refusalKey(process, reserve))
    if (refusal === undefined) return undefined
    const elapsedMs = clock.monotonic() - refusal.atMs
    if (elapsedMs >= refusal.grant.freeInMs) return undefined
    return { freeInMs: refusal.grant.freeInMs - elapsedMs, retryInMs: Math.max(1, refusal.grant.retryInMs - elapsedMs) }
  }

  return {
    refusedForMs: process => limits.limitOf(process) === undefined ? 0 : pendingRefusal(process, 0)?.freeInMs ?? 0,
    admit: async (process, hasAlternative) => {
      const limit = limits.limitOf(process)
      if (limit === undefined) return GRANTED
      const reserve = hasAlternative ? RESERVE_WITH_ALTERNATIVE : 0
      const pending = pendingRefusal(process, reserve)
      if (pending !== undefined) return pending
      const grant = await askRanked({ process, reserve, requestsPerSecond: limit })
      if (grant.freeInMs === 0) return grant
      const refused = withPause(grant, limit, hasAlternative)
      if (refusals.size > MAX_RECORDS) refusals.clear()
      refusals.set(refusalKey(process, reserve), { grant: refused, atMs: clock.monotonic() })
      return refused
    }
  }
}
