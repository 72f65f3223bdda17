/**
 * Decides whether this member may claim the leadership of a cell, and claims it. An expired lease alone is not enough:
 * its leader may be paused, and resume in the belief that it still leads the cell.
 */
import { checkInput } from '../inputs'
import type { InputMonitor } from '../inputs'
import { parseJson } from '../utils'
import type { TerminationProofs, MemberRecord, ProcessId } from '../members'
import type { Store } from '../store'
import { createId } from '../utils'
import { cellLeaderKey, cellLeaderSchema } from './records'
import type { FormerLeader, CellLeaderRecord } from './records'

/** Last known value of the leader key. The revision is 0 when the key does not exist. */
export interface Leadership {
  record: CellLeaderRecord | undefined
  modRevision: number
}

export const NO_LEADERSHIP: Leadership = { record: undefined, modRevision: 0 }

/**
 * `held`: the cell must not be claimed.
 * `free`: no process can send orders for the cell any more.
 * `fence`: the leader may be paused or unreachable. A new leader may use engines that check fencing tokens, but not the
 * others. Without this, every cold start in the cell would wait ten seconds for the lease of a terminated leader to
 * expire. It is safe because a leader that still runs is refused by the engines, and sees the key change.
 * `ask`: the cell may be claimed only if its leader releases it.
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
  /** Whether the store still has the leader's member record. */
  isRegistered: (process: ProcessId) => boolean
  /** Whether any engine of the cell refuses orders with an outdated fencing token. */
  hasFencedEngines: boolean
  /** Whether no member gets an answer from the leader. */
  isLeaderUnreachable: boolean
}

export function decideClaim (conditions: ClaimConditions): ClaimDecision {
  const { leadership, self, proofs } = conditions
  const leader = leadership.record?.holder
  const unproven = (leadership.record?.unproven ?? []).filter(process => proofs.proofFor(process) === undefined)
  if (leader === undefined) return { kind: 'free', reason: leadership.record === undefined ? 'no leader yet' : 'released', unproven }
  if (leader.incarnation === self.incarnation) return { kind: 'free', reason: 'led by this process before', unproven }
  const process: ProcessId = { member: leader.id, incarnation: leader.incarnation }
  const proof = proofs.proofFor(process)
  if (proof !== undefined) return { kind: 'free', reason: `the leader has terminated: ${proof}`, unproven }
  const isRegistered = conditions.isRegistered(process)
  if (isRegistered && !(conditions.hasFencedEngines && conditions.isLeaderUnreachable)) return { kind: 'held' }
  const reason = isRegistered ? 'no member reaches the leader' : 'the leader\'s lease has expired'
  if (conditions.hasFencedEngines) return { kind: 'fence', reason, unproven: [...unproven, { ...process, fence: leadership.modRevision }] }
  return { kind: 'ask', leader }
}

export interface Claimer {
  /**
   * Claims the cell by compare-and-swap against `leadership`. Returns undefined when another member was faster, or
   * when the outcome is unknown: then the watch delivers the record, and {@link isOwn} recognises the claim.
   */
  claim (cell: string, leadership: Leadership, unproven: readonly FormerLeader[]): Promise<Leadership | undefined>
  /** Whether the record was written by a claim of this process. */
  isOwn (record: CellLeaderRecord): boolean
  /** Removes the leader from the record, if the key still has the revision `fence`. */
  release (cell: string, fence: number, unproven: readonly FormerLeader[]): Promise<void>
}

/** `inputs`: logs and counts a record that cannot be read. @default it counts as that of another member only */
export function createClaimer (store: Store, self: MemberRecord, inputs?: Pick<InputMonitor, 'recordRefused'>): Claimer {
  const pendingClaimIds = new Set<string>()
  return {
    isOwn: record => pendingClaimIds.has(record.claimId),
    claim: async (cell, leadership, unproven) => {
      const record: CellLeaderRecord = { holder: { ...self }, claimId: createId('claim'), unproven }
      pendingClaimIds.add(record.claimId)
      const written = await store.transact({
        compares: [{ key: cellLeaderKey(cell), target: 'mod', equals: leadership.modRevision }],
        writes: [{ kind: 'put', key: cellLeaderKey(cell), value: JSON.stringify(record) }]
      }, { priority: 'ownership' })
      if (written.ok) return written.val.succeeded ? { record, modRevision: written.val.revision } : undefined
      if (written.val.kind !== 'unknown') return undefined
      // The response was lost. The claim id shows whether the current record is from this claim.
      const found = await store.get(cellLeaderKey(cell), { priority: 'ownership' })
      if (found.err || found.val === undefined) return undefined
      const current = checkInput(cellLeaderSchema, parseJson(found.val.value))
      if (current.err) inputs?.recordRefused('store-value', { key: cellLeaderKey(cell) }, current.val.message)
      return current.ok && current.val.claimId === record.claimId ? { record, modRevision: found.val.modRevision } : undefined
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
