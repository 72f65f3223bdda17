/**
 * By way of whom an instance reports to the leader and hears from it. In a small fleet everybody talks to the leader. In
 * a large one some instances of each failure domain are relays: they add up reports on the way to the leader, and pass on
 * what it tells, so that the leader's links, messages and bytes grow with the root of the number of members.
 */
import type { MemberRecord } from '../members'
import { rankByRendezvous, stableHash } from '../utils'

/** Up to so many members everybody talks to the leader. */
export const MAX_MEMBERS_WITHOUT_RELAYS = 32

export type RelayCandidate = Pick<MemberRecord, 'id' | 'failureDomain' | 'leaving' | 'processorShare'>

/** Ids of relays by failure domain; none in a small fleet. */
export type Relays = ReadonlyMap<string, readonly string[]>

/** Those with the most processor time in each failure domain: a relay hears some dozens of reports a second. */
export function chooseRelays (members: readonly RelayCandidate[]): Relays {
  const staying = members.filter(member => !member.leaving)
  if (staying.length <= MAX_MEMBERS_WITHOUT_RELAYS) return new Map()
  const byDomain = new Map<string, RelayCandidate[]>()
  staying.forEach(member => byDomain.set(member.failureDomain, [...byDomain.get(member.failureDomain) ?? [], member]))
  const perDomain = Math.ceil(Math.sqrt(staying.length) / byDomain.size)
  return new Map([...byDomain].map(([domain, candidates]) => [domain, sortByProcessorShare(candidates).slice(0, perDomain).map(({ id }) => id)]))
}

function sortByProcessorShare (members: readonly RelayCandidate[]): RelayCandidate[] {
  const hashes = new Map(members.map(({ id }) => [id, stableHash(id)]))
  return [...members].sort((left, right) => right.processorShare - left.processorShare || hashes.get(left.id)! - hashes.get(right.id)!)
}

/** Relays in the order in which an instance tries them: of its own failure domain first, each instance in an order of its own. */
export function rankRelays (self: Pick<RelayCandidate, 'id' | 'failureDomain'>, relays: Relays): string[] {
  const near = relays.get(self.failureDomain) ?? []
  const far = [...relays].filter(([domain]) => domain !== self.failureDomain).flatMap(([, ids]) => ids)
  const ranked = (ids: readonly string[]): string[] => rankByRendezvous(self.id, ids, id => id)
  return [...ranked(near), ...ranked(far)].filter(id => id !== self.id)
}
