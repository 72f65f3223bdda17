/** Chooses the instance that counts for all instances: units of a team's allowance, or requests to a cold server. */
import type { Peers } from '../members'
import { rankByRendezvous } from '../utils'

/** Depends only on the ids of members that are not leaving, so that all instances agree while members restart. */
export function homeInstanceOf (peers: Pick<Peers, 'self' | 'members'>, key: string): string {
  const staying = peers.members().filter(member => !member.leaving)
  return rankByRendezvous(key, staying, member => member.id)[0]?.id ?? peers.self.id
}
