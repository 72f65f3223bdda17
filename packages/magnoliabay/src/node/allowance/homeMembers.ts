/**
 * Which members hold a team's allowance: a few in each region, in different failure domains, by rendezvous
 * hashing. A region goes on by itself while it can't reach the others, and losing a failure domain loses a part.
 */
import type { MemberRecord, Peers } from '../members'
import { rankByRendezvous } from '../utils'

/** Homes of a team in a region. One would be the simplest bucket, and the whole allowance would be gone with it. */
export const HOMES_PER_REGION = 3

export interface Homes {
  /** All members that stay: those of the own region before the others, in them each failure domain's first before the rest. */
  ranked (team: string): readonly MemberRecord[]
  /** Homes in the own region, best first. */
  near (team: string): readonly MemberRecord[]
  /** Homes in the other regions. */
  far (team: string): readonly MemberRecord[]
  /** First home over all regions. */
  global (team: string): MemberRecord | undefined
  isHome (team: string, memberId: string): boolean
}

interface Ranking {
  near: readonly MemberRecord[]
  elsewhere: readonly MemberRecord[]
  far: readonly MemberRecord[]
  first: MemberRecord | undefined
}

export function createHomes (peers: Peers): Homes {
  const cache = new Map<string, Ranking>()
  peers.onMembersChanged(() => cache.clear())

  const isNear = (member: MemberRecord): boolean => member.region === peers.self.region
  const rank = (team: string): Ranking => {
    const cached = cache.get(team)
    if (cached !== undefined) return cached
    const staying = peers.members().filter(member => !member.leaving)
    const ranked = rankByRendezvous(team, staying, member => member.id)
    const elsewhere = ranked.filter(member => !isNear(member))
    const regions = [...new Set(elsewhere.map(member => member.region))]
    const far = regions.flatMap(region => spread(elsewhere.filter(member => member.region === region)).slice(0, HOMES_PER_REGION))
    const ranking = { near: spread(ranked.filter(isNear)), elsewhere, far, first: ranked[0] }
    cache.set(team, ranking)
    return ranking
  }
  const near = (team: string): readonly MemberRecord[] => rank(team).near.slice(0, HOMES_PER_REGION)
  return {
    near,
    ranked: team => [...rank(team).near, ...rank(team).elsewhere],
    far: team => rank(team).far,
    global: team => rank(team).first,
    isHome: (team, memberId) => [...near(team), ...rank(team).far].some(member => member.id === memberId)
  }
}

function spread (ranked: readonly MemberRecord[]): readonly MemberRecord[] {
  const isFirstOfDomain = (member: MemberRecord, index: number): boolean =>
    ranked.findIndex(other => other.failureDomain === member.failureDomain) === index
  return [...ranked.filter(isFirstOfDomain), ...ranked.filter((member, index) => !isFirstOfDomain(member, index))]
}
