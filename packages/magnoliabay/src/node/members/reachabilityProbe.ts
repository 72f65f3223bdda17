/**
 * Checks whether any member can still reach another. That none can does not prove that its process has ended: it may be
 * paused, or cut off. It is a reason to act early only where acting early is safe, as on engines that refuse orders
 * with an older fencing token.
 */
import * as v from 'valibot'
import { NO_BODY, definePeerCall } from './peers'
import type { Peers } from './peers'

export interface ReachabilityProbe {
  /**
   * Resolves to true when neither this member nor any of a few others gets an answer from `memberId`. Never resolves to
   * true without the answer of another member: a member that is itself cut off reaches no other, and must not conclude
   * that `memberId` is unreachable.
   */
  isUnreachable (memberId: string): Promise<boolean>
}

const pingCall = definePeerCall<null, true>('members.ping', { req: NO_BODY, res: v.literal(true) })
const witnessCall = definePeerCall<{ member: string }, { isReached: boolean }>('members.witness', { req: v.object({ member: v.string() }), res: v.object({ isReached: v.boolean() }) })

const PING_TIMEOUT_MS = 1000
/** Longer than a ping, so that a witness whose ping times out can still answer. */
const WITNESS_TIMEOUT_MS = 1500
const MAX_WITNESSES = 3

export function createReachabilityProbe (peers: Peers): ReachabilityProbe {
  const ping = async (memberId: string): Promise<boolean> => {
    const reply = await peers.call(memberId, pingCall, null, { timeoutMs: PING_TIMEOUT_MS })
    return reply.ok
  }
  /** Resolves to undefined if the witness itself doesn't answer. */
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
