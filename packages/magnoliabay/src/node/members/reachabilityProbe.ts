/**
 * Whether anybody can still reach a member. That nobody can is no proof that its process is gone: it may be
 * paused, or cut off. It is a reason to act early only where acting early is safe, as on engines that refuse
 * the orders of an older fencing number.
 */
import { definePeerCall } from './peers'
import type { Peers } from './peers'

export interface ReachabilityProbe {
  /**
   * True when neither this member nor any of a few others gets an answer from `memberId`. Never true without
   * another member's word: one that is cut off itself can't reach anybody, and must not take that for news.
   */
  isUnreachable (memberId: string): Promise<boolean>
}

const pingCall = definePeerCall<null, true>('members.ping')
const witnessCall = definePeerCall<{ member: string }, { isReached: boolean }>('members.witness')

const PING_TIMEOUT_MS = 1000
/** Longer than a ping, so that a witness whose ping runs out can still say so. */
const WITNESS_TIMEOUT_MS = 1500
const MAX_WITNESSES = 3

export function createReachabilityProbe (peers: Peers): ReachabilityProbe {
  const ping = async (memberId: string): Promise<boolean> => {
    const reply = await peers.call(memberId, pingCall, null, { timeoutMs: PING_TIMEOUT_MS })
    return reply.ok
  }
  /** Undefined when the witness itself didn't answer. */
  const askWitness = async (witness: string, member: string): Promise<boolean | undefined> => {
    const reply = await peers.call(witness, witnessCall, { member }, { timeoutMs: WITNESS_TIMEOUT_MS })
    return reply.ok ? reply.val.isReached : undefined
  }
  peers.serve(pingCall, () => true)
  peers.serve(witnessCall, async ({ member }) => ({ isReached: await ping(member) }))

  return {
    isUnreachable: async memberId => {
      if (await ping(memberId)) return false
      const witnesses = peers.members()
        .filter(member => member.id !== memberId && member.id !== peers.self.id && peers.isConnected(member.id))
        .slice(0, MAX_WITNESSES)
      const answers = await Promise.all(witnesses.map(witness => askWitness(witness.id, memberId)))
      const received = answers.filter(isReached => isReached !== undefined)
      return received.length > 0 && received.every(isReached => !isReached)
    }
  }
}
