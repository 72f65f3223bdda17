/** Chooses the instance that counts for all instances: units of a team's allowance, or requests to a server. */
import type { Peers } from './peers'
import { rankByRendezvous } from '../utils'

/**
 * Returns the members in the order in which they count. It depends only on the ids of members that are not leaving, so that
 * all instances agree while members restart.
 */
export function rankHomeInstances (peers: Pick<Peers, 'members'>, key: string): string[] {
  const staying = peers.members().filter(member => !member.leaving)
  return rankByRendezvous(key, staying, member => member.id).map(member => member.id)
}

export function homeInstanceOf (peers: Pick<Peers, 'self' | 'members'>, key: string): string {
  return rankHomeInstances(peers, key)[0] ?? peers.self.id
}
