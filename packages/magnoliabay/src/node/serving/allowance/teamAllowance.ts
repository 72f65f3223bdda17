/**
 * Teams' allowances over the fleet. One instance, a team's home, counts for all; an instance that cannot reach the
 * home spends an equal part of the allowance, and the home counts on that part being spent.
 */
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import { definePeerCall, definePeerNotice } from '../../members'
import type { MemberRecord, Peers } from '../../members'
import { rankByRendezvous } from '../../utils'
import type { Team } from '../types'
import { createBucket } from './bucket'
import type { Bucket } from './bucket'

/** A home answers within a round trip; longer than this, the request would be late for its objective. */
const ASK_TIMEOUT_MS = 150
/** A home that did not answer is not asked again for this long: each request would wait for it anew. */
const AVOID_HOME_MS = 1000
/**
 * What a bucket holds when its process begins to count: a new home does not know what was spent before it. A whole
 * burst at each change of homes would let a team spend a multiple; nothing at all would refuse those within their rate.
 */
const START_PART = 0.25
/** Part of the burst that the shares of all instances cut off from the home may spend at once. */
const OWN_SHARE_BURST_PART = 0.5

/**
 * Part of the tolerated excess that the home grants as a larger burst. Requests come in clumps, and a team within its
 * rate would be refused for a clump that comes a moment early; the rest of the excess covers changes of homes.
 */
const MARGIN_PART = 0.5

export interface TakeRequest {
  team: string
  amount: number
}

export interface TakeReply {
  /** 0 when granted, else milliseconds until it may be there. */
  waitMs: number
}

const takeCall = definePeerCall<TakeRequest, TakeReply>('allowance.take')
const giveBackNotice = definePeerNotice<TakeRequest>('allowance.give-back')

/** Who decided: the `home`, or the `share` of this instance alone. */
export interface Taken {
  waitMs: number
  decidedBy: 'home' | 'share'
}

export interface TeamAllowance {
  take (team: Team, amount: number): Promise<Taken>
  /** Gives back what was taken for a request that no server ran. */
  giveBack (team: Team, amount: number): void
}

export interface TeamAllowanceOptions {
  peers: Peers
  /** The team as configured now. */
  teamNamed: (name: string) => Team | undefined
  /** What operators tolerate beyond rate and burst: a part of them, and so many units. @default nothing */
  margin?: { part: number, units: number }
  clock: Clock
  logger: Logger
}

export function createTeamAllowance (options: TeamAllowanceOptions): TeamAllowance {
  const { peers, teamNamed, clock, logger, margin = { part: 0, units: 0 } } = options
  const counted = new Map<string, Bucket>()
  const shares = new Map<string, Bucket>()
  const avoidedUntilMs = new Map<string, number>()

  const staying = (): readonly MemberRecord[] => peers.members().filter(member => !member.leaving)
  const homeOf = (team: string): string => rankByRendezvous(team, staying(), member => member.id)[0]?.id ?? peers.self.id
  const bucketIn = (buckets: Map<string, Bucket>, team: Team, part: number, burst: number): Bucket => {
    const now = clock.monotonic()
    const rate = team.rate * part
    const bucket = buckets.get(team.name) ?? createBucket(rate, burst, burst * START_PART, now)
    buckets.set(team.name, bucket)
    bucket.resize(rate, burst, now)
    return bucket
  }
  const share = (team: Team): Bucket => {
    const part = 1 / Math.max(1, peers.members().length)
    return bucketIn(shares, team, part, team.burst * part * OWN_SHARE_BURST_PART)
  }
  /** What the home may grant: all but the equal parts of those who cannot ask it. */
  const count = (team: Team): Bucket => {
    const members = peers.members()
    const cutOff = members.filter(member => !peers.isConnected(member.id)).length
    const burst = team.burst * (1 + margin.part * MARGIN_PART) + (team.unit === 'tokens' ? margin.units * MARGIN_PART : 0)
    return bucketIn(counted, team, 1 - cutOff / Math.max(1, members.length), burst)
  }
  peers.serve(takeCall, ({ team: name, amount }) => {
    const team = teamNamed(name)
    return { waitMs: team === undefined || team.rate === 0 ? 0 : count(team).take(amount, clock.monotonic()) }
  })
  peers.listen(giveBackNotice, ({ team: name, amount }) => {
    const team = teamNamed(name)
    if (team !== undefined && team.rate > 0) count(team).giveBack(amount, clock.monotonic())
  })
  const takeShare = (team: Team, amount: number): Taken => ({ waitMs: share(team).take(amount, clock.monotonic()), decidedBy: 'share' })

  return {
    take: async (team, amount) => {
      if (team.rate === 0) return { waitMs: 0, decidedBy: 'share' }
      const home = homeOf(team.name)
      if (home === peers.self.id) return { waitMs: count(team).take(amount, clock.monotonic()), decidedBy: 'home' }
      if (!peers.isConnected(home) || (avoidedUntilMs.get(home) ?? 0) > clock.monotonic()) return takeShare(team, amount)
      const reply = await peers.call(home, takeCall, { team: team.name, amount }, { timeoutMs: ASK_TIMEOUT_MS })
      if (reply.ok) return { waitMs: reply.val.waitMs, decidedBy: 'home' }
      avoidedUntilMs.set(home, clock.monotonic() + AVOID_HOME_MS)
      logger.warn('allowance-home-unreached', { team: team.name, home, reason: reply.val.kind })
      return takeShare(team, amount)
    },
    giveBack: (team, amount) => {
      if (team.rate === 0) return
      const home = homeOf(team.name)
      if (home === peers.self.id) return count(team).giveBack(amount, clock.monotonic())
      peers.notify(home, giveBackNotice, { team: team.name, amount })
    }
  }
}
