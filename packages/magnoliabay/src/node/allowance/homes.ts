/**
 * Which members hold a team's allowance: by rendezvous hashing, those of the own region first, so that a
 * region goes on by itself while it can't reach the others.
 */
import type { MemberRecord, Peers } from '../members'
import { rankByRendezvous } from '../utils'

export interface Homes {
  /** All members that stay, best first, those of the own region before the others. */
  ranked (team: string): readonly MemberRecord[]
  /** First home of the own region, or undefined while every member leaves. */
  regional (team: string): MemberRecord | undefined
  /** First home over all regions. */
  global (team: string): MemberRecord | undefined
  /** First home of each other region. */
  far (team: string): readonly MemberRecord[]
}

export function createHomes (peers: Peers): Homes {
  const cache = new Map<string, readonly MemberRecord[]>()
  peers.onMembersChanged(() => cache.clear())

  const rank = (team: string): readonly MemberRecord[] => {
    const cached = cache.get(team)
    if (cached !== undefined) return cached
    const staying = peers.members().filter(member => !member.leaving)
    const ranked = rankByRendezvous(team, staying, member => member.id)
    cache.set(team, ranked)
    return ranked
  }
  const isNear = (member: MemberRecord): boolean => member.region === peers.self.region
  const isFirstOfRegion = (member: MemberRecord, index: number, all: readonly MemberRecord[]): boolean =>
    all.findIndex(other => other.region === member.region) === index
  return {
    ranked: team => [...rank(team).filter(isNear), ...rank(team).filter(member => !isNear(member))],
    regional: team => rank(team).find(isNear),
    global: team => rank(team)[0],
    far: team => rank(team).filter(isFirstOfRegion).filter(member => !isNear(member))
  }
}
