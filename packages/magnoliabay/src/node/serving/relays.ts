/**
 * Chooses the relays through which instances report to the leader and receive its summaries. In a small fleet all
 * instances talk to the leader directly. In a large one some instances of each failure domain are relays: they aggregate
 * reports for the leader and forward its summaries, so that the leader's links, messages and bytes grow with the square
 * root of the number of members.
 */
import type { MemberRecord } from '../members'
import { rankByRendezvous, stableHash } from '../utils'

/** Up to this many members, all talk to the leader directly. */
export const MAX_MEMBERS_WITHOUT_RELAYS = 32

export type RelayCandidate = Pick<MemberRecord, 'id' | 'failureDomain' | 'leaving' | 'processorShare'>

/** Ids of relays by failure domain; none in a small fleet. */
export type Relays = ReadonlyMap<string, readonly string[]>

/** Chooses the members with the most processor time in each failure domain: a relay receives some dozens of reports per second. */
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

/** Returns relays in the order in which an instance tries them: its own failure domain first, and otherwise in an order that differs between instances. */
export function rankRelays (self: Pick<RelayCandidate, 'id' | 'failureDomain'>, relays: Relays): string[] {
  const near = relays.get(self.failureDomain) ?? []
  const far = [...relays].filter(([domain]) => domain !== self.failureDomain).flatMap(([, ids]) => ids)
  const ranked = (ids: readonly string[]): string[] => rankByRendezvous(self.id, ids, id => id)
  return [...ranked(near), ...ranked(far)].filter(id => id !== self.id)
}
