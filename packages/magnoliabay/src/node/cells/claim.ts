/**
 * Who may become steward of a cell, and the claim itself. Time alone never makes a steward: a holder whose lease
 * has lapsed may be paused, and wakes up believing that it still holds the cell.
 */
import type { TerminationProofs, MemberRecord, ProcessId } from '../members'
import type { Store } from '../store'
import { createId } from '../utils'
import { cellLeaderKey } from './records'
import type { FormerLeader, CellLeaderRecord } from './records'

/** The steward key as last seen; revision 0 when there is none. */
export interface Leadership {
  record: CellLeaderRecord | undefined
  modRevision: number
}

export const NO_LEADERSHIP: Leadership = { record: undefined, modRevision: 0 }

/**
 * `held`: leave it alone. Waiting for the lease of a holder that died costs every cold start of the cell ten
 * seconds; where the engines check fencing numbers, that no member reaches it is reason enough, since a
 * holder that lives after all is refused by the engines and sees the key change hands.
 * `free`: nobody can act for the cell any more. `fence`: the holder may be paused; a new steward may act on
 * engines that check fencing numbers, and leaves the others alone. `ask`: only the holder's consent helps.
 */
export type ClaimDecision =
  | { kind: 'free', reason: string, unproven: readonly FormerLeader[] }
  | { kind: 'fence', reason: string, unproven: readonly FormerLeader[] }
  | { kind: 'ask', leader: MemberRecord }
  | { kind: 'held' }

export interface ClaimConditions {
  leadership: Leadership
  self: MemberRecord
  proofs: TerminationProofs
  /** Whether the holder's record still stands in the store. */
  isRegistered: (process: ProcessId) => boolean
  /** Whether any engine of the cell refuses orders with an old fencing number. */
  hasFencedEngines: boolean
  /** Whether no member gets an answer from the holder. */
  isLeaderUnreachable: boolean
}

export function decideClaim (conditions: ClaimConditions): ClaimDecision {
  const { leadership, self, proofs } = conditions
  const leader = leadership.record?.holder
  const unproven = (leadership.record?.unproven ?? []).filter(process => proofs.proofFor(process) === undefined)
  if (leader === undefined) return { kind: 'free', reason: leadership.record === undefined ? 'never held' : 'given up', unproven }
  if (leader.incarnation === self.incarnation) return { kind: 'free', reason: 'held by this process before', unproven }
  const process: ProcessId = { member: leader.id, incarnation: leader.incarnation }
  const proof = proofs.proofFor(process)
  if (proof !== undefined) return { kind: 'free', reason: `the holder is gone: ${proof}`, unproven }
  const isRegistered = conditions.isRegistered(process)
  if (isRegistered && !(conditions.hasFencedEngines && conditions.isLeaderUnreachable)) return { kind: 'held' }
  const reason = isRegistered ? 'no member reaches the holder' : 'the holder\'s lease has lapsed'
  if (conditions.hasFencedEngines) return { kind: 'fence', reason, unproven: [...unproven, { ...process, fence: leadership.modRevision }] }
  return { kind: 'ask', leader }
}

export interface Claimer {
  /**
   * Claims the cell by compare-and-swap against `holding`. Undefined when another was faster, or when the outcome
   * is not known: then the watch tells, and {@link isOwn} recognises the claim.
   */
  claim (cell: string, leadership: Leadership, unproven: readonly FormerLeader[]): Promise<Leadership | undefined>
  /** Whether the record comes from a claim of this process that has not been taken up yet. */
  isOwn (record: CellLeaderRecord): boolean
  /** Writes that nobody holds the cell, if this claim still stands. */
  release (cell: string, fence: number, unproven: readonly FormerLeader[]): Promise<void>
}

export function createClaimer (store: Store, self: MemberRecord): Claimer {
  const pendingClaimIds = new Set<string>()
  return {
    isOwn: record => pendingClaimIds.has(record.claimId),
    claim: async (cell, leadership, unproven) => {
      const record: CellLeaderRecord = { holder: { ...self }, claimId: createId('claim'), unproven }
      pendingClaimIds.add(record.claimId)
      const answer = await store.transact({
        compares: [{ key: cellLeaderKey(cell), target: 'mod', equals: leadership.modRevision }],
        writes: [{ kind: 'put', key: cellLeaderKey(cell), value: JSON.stringify(record) }]
      }, { priority: 'ownership' })
      if (answer.ok) return answer.val.succeeded ? { record, modRevision: answer.val.revision } : undefined
      if (answer.val.kind !== 'unknown') return undefined
      // The answer was lost. The claim id tells whether what the key holds now is ours.
      const found = await store.get(cellLeaderKey(cell), { priority: 'ownership' })
      if (found.err || found.val === undefined) return undefined
      const current = JSON.parse(found.val.value) as CellLeaderRecord
      return current.claimId === record.claimId ? { record, modRevision: found.val.modRevision } : undefined
    },
    release: async (cell, fence, unproven) => {
      const record: CellLeaderRecord = { claimId: createId('claim'), unproven }
      await store.transact({
        compares: [{ key: cellLeaderKey(cell), target: 'mod', equals: fence }],
        writes: [{ kind: 'put', key: cellLeaderKey(cell), value: JSON.stringify(record) }]
      }, { priority: 'ownership' })
    }
  }
}
