/** The instance that counts for something on behalf of all: for a team's allowance, or for requests to a cold server. */
import type { Peers } from '../members'
import { rankByRendezvous } from '../utils'

/** By ids of the members that stay alone: all must agree on it while members start anew. */
export function homeInstanceOf (peers: Pick<Peers, 'self' | 'members'>, key: string): string {
  const staying = peers.members().filter(member => !member.leaving)
  return rankByRendezvous(key, staying, member => member.id)[0]?.id ?? peers.self.id
}
