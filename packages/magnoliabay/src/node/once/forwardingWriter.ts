/**
 * Forwards the claim writes of all instances to one of them, so that the store gets few large batches in
 * place of many small ones. The writer is the connected instance that ranks first. It keeps no state: the
 * store decides each write, and any instance may write directly.
 */
import { definePeerCall } from '../members'
import type { MemberRecord, Peers } from '../members'
import { rankByRendezvous } from '../utils'
import { claimWriteSchema, sizeOf, writeOutcomeSchema } from './claimWriter'
import type { ClaimWrite, ClaimWriter, WriteOutcome } from './claimWriter'

const writeClaim = definePeerCall<ClaimWrite, WriteOutcome>('once.write', { req: claimWriteSchema, res: writeOutcomeSchema })

const RANKING_KEY = 'once-writer'
const CALL_TIMEOUT_MS = 2000
/** Longer writes would delay other messages on the link to the writer, so they go directly to the store. */
const MAX_FORWARDED_BYTES = 32_768

export interface ForwardingWriterOptions {
  peers: Pick<Peers, 'self' | 'members' | 'isConnected' | 'onMembersChanged' | 'call' | 'serve'>
  /** Writes to the store from this instance. */
  localWriter: ClaimWriter
}

export function createForwardingWriter (options: ForwardingWriterOptions): ClaimWriter {
  const { peers, localWriter: local } = options
  peers.serve(writeClaim, async write => await local.write(write))

  // Ranking hashes every member's id, so the result is cached until the members change.
  const rank = (): MemberRecord[] => rankByRendezvous(RANKING_KEY, peers.members(), member => member.id)
  let ranked: MemberRecord[] | undefined
  peers.onMembersChanged(() => { ranked = undefined })
  const chooseWriter = (): MemberRecord | undefined => {
    ranked ??= rank()
    return ranked.find(member => !member.leaving && peers.isConnected(member.id))
  }
  return {
    write: async write => {
      const writer = chooseWriter()
      if (writer === undefined || writer.id === peers.self.id || sizeOf(write) > MAX_FORWARDED_BYTES) return await local.write(write)
      const answer = await peers.call(writer.id, writeClaim, write, { timeoutMs: CALL_TIMEOUT_MS })
      if (answer.ok) return answer.val
      // Only an undelivered write may be repeated locally; a delivered one could take effect after the repeat has failed.
      return answer.val.kind === 'not-connected' || answer.val.kind === 'no-handler' ? await local.write(write) : 'unknown'
    }
  }
}
