/**
 * Lets one instance write the claims of all, so that few large groups reach the store in place of many
 * small ones. It is chosen by rank among those connected, and holds nothing: whoever writes, the store
 * decides, and any instance may write for itself.
 */
import { definePeerCall } from '../members'
import type { MemberRecord, Peers } from '../members'
import { rankByRendezvous } from '../utils'
import { sizeOf } from './claimWriter'
import type { ClaimWrite, ClaimWriter, WriteOutcome } from './claimWriter'

const writeClaim = definePeerCall<ClaimWrite, WriteOutcome>('once.write')

const RANKING = 'once-writer'
const CALL_TIMEOUT_MS = 2000
/** Longer writes would hold up the link to the writer; they go to the store straight. */
const MAX_CARRIED_BYTES = 32_768

export interface ForwardingWriterOptions {
  peers: Pick<Peers, 'self' | 'members' | 'isConnected' | 'onMembersChanged' | 'call' | 'serve'>
  /** Writes to the store from here. */
  localWriter: ClaimWriter
}

export function createForwardingWriter (options: ForwardingWriterOptions): ClaimWriter {
  const { peers, localWriter: local } = options
  peers.serve(writeClaim, async write => await local.write(write))

  // Ranking hashes every member's name: done once for each change of members, not for each write.
  const rank = (): MemberRecord[] => rankByRendezvous(RANKING, peers.members(), member => member.id)
  let ranked: MemberRecord[] | undefined
  peers.onMembersChanged(() => { ranked = undefined })
  const chooseWriter = (): MemberRecord | undefined => {
    ranked ??= rank()
    return ranked.find(member => !member.leaving && peers.isConnected(member.id))
  }
  return {
    write: async write => {
      const writer = chooseWriter()
      if (writer === undefined || writer.id === peers.self.id || sizeOf(write) > MAX_CARRIED_BYTES) return await local.write(write)
      const answer = await peers.call(writer.id, writeClaim, write, { timeoutMs: CALL_TIMEOUT_MS })
      if (answer.ok) return answer.val
      // Only an undelivered write may be sent again: another could take effect long after this one was refused.
      return answer.val.kind === 'not-connected' || answer.val.kind === 'no-handler' ? await local.write(write) : 'unknown'
    }
  }
}
