/**
 * Selects the members that hold a team's allowance: a few in each region, in different failure domains, by rendezvous
 * hashing. A region continues by itself while it can't reach the others, and losing a failure domain loses only a part.
 */
import type { MemberRecord, Peers } from '../members'
import { rankByRendezvous } from '../utils'

/** Homes of a team in a region. With a single one, its failure would make the region's whole share unavailable. */
export const HOMES_PER_REGION = 3

export interface HomeMembers {
  /** All members that are not leaving: own region first, and within it the first member of each failure domain first. */
  ranked (team: string): readonly MemberRecord[]
  /** Homes in this member's region, in order of preference. */
  inOwnRegion (team: string): readonly MemberRecord[]
  /** Homes in the other regions. */
  inOtherRegions (team: string): readonly MemberRecord[]
  /** First home over all regions; it creates the team's ledger. */
  primary (team: string): MemberRecord | undefined
  isHome (team: string, memberId: string): boolean
}

interface Ranking {
  ownRegion: readonly MemberRecord[]
  otherRegions: readonly MemberRecord[]
  homesInOtherRegions: readonly MemberRecord[]
  primary: MemberRecord | undefined
}

export function createHomeMembers (peers: Peers): HomeMembers {
  const cache = new Map<string, Ranking>()
  peers.onMembersChanged(() => cache.clear())

  const isInOwnRegion = (member: MemberRecord): boolean => member.region === peers.self.region
  const rank = (team: string): Ranking => {
    const cached = cache.get(team)
    if (cached !== undefined) return cached
    const candidates = peers.members().filter(member => !member.leaving)
    const ranked = rankByRendezvous(team, candidates, member => member.id)
    const otherRegions = ranked.filter(member => !isInOwnRegion(member))
    const regions = [...new Set(otherRegions.map(member => member.region))]
    const homesInOtherRegions = regions.flatMap(region => spreadOverFailureDomains(otherRegions.filter(member => member.region === region)).slice(0, HOMES_PER_REGION))
    const ranking = { ownRegion: spreadOverFailureDomains(ranked.filter(isInOwnRegion)), otherRegions, homesInOtherRegions, primary: ranked[0] }
    cache.set(team, ranking)
    return ranking
  }
  const inOwnRegion = (team: string): readonly MemberRecord[] => rank(team).ownRegion.slice(0, HOMES_PER_REGION)
  return {
    inOwnRegion,
    ranked: team => [...rank(team).ownRegion, ...rank(team).otherRegions],
    inOtherRegions: team => rank(team).homesInOtherRegions,
    primary: team => rank(team).primary,
    isHome: (team, memberId) => [...inOwnRegion(team), ...rank(team).homesInOtherRegions].some(member => member.id === memberId)
  }
}

function spreadOverFailureDomains (ranked: readonly MemberRecord[]): readonly MemberRecord[] {
  const isFirstOfDomain = (member: MemberRecord, index: number): boolean =>
    ranked.findIndex(other => other.failureDomain === member.failureDomain) === index
  return [...ranked.filter(isFirstOfDomain), ...ranked.filter((member, index) => !isFirstOfDomain(member, index))]
}
