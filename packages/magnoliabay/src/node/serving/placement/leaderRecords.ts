/**
 * What the store holds about who gives orders: a claim under a lease, and, without a lease, the machine that may have
 * sent the last order. An instance may order while it holds the claim and is named as the last to order; it names
 * itself only after the time that keeps two holders apart. Since both change by compare-and-swap, a machine that finds
 * itself named knows that no other has ordered since, and need not wait.
 */
import { STORE_KEY_PREFIX } from '../../constants'
import { Ok } from '../../result'
import type { Result } from '../../result'
import type { Compare, KeyValue, Store, StoreError, StoreErrorKind, WriteOperation } from '../../store'
import { createId, parseJson } from '../../utils'

export const LEADER_KEY = `${STORE_KEY_PREFIX}/orderer`
export const LAST_ORDERER_KEY = `${STORE_KEY_PREFIX}/last-orderer`

/** A claim to give orders. */
export interface LeaderClaim {
  /** Instance id. */
  holder: string
  /** Names the machine, whatever process runs there. */
  machine: string
  /** Unique for each claim. */
  claim: string
}

/** The machine that may have sent the last order. */
export interface LastOrderer {
  machine: string
  /**
   * Of the store as it was written. Found in a later one, the record is from before the store went back to an older copy
   * of itself, and another machine may have ordered since.
   */
  era: number
  /** Unique for each write. */
  mark: string
}

/** A record as last read; revision 0 where there is none. */
export interface Versioned<T> {
  revision: number
  leaseId: string | undefined
  value: T | undefined
}

export interface LeaderRecords {
  leader: Versioned<LeaderClaim>
  last: Versioned<LastOrderer>
}

/** What became of a write on condition: `lost` where another was there first. */
export type ConditionalWriteResult = { kind: 'done', revision: number } | { kind: 'lost' } | { kind: 'failed', reason: string }

/** The answer to these may have been lost after the write took effect. */
const UNSURE: readonly StoreErrorKind[] = ['unknown', 'unavailable']

export function versionedOf<T> (entry: Pick<KeyValue, 'value' | 'modRevision'> & { leaseId?: string } | undefined): Versioned<T> {
  if (entry === undefined) return { revision: 0, leaseId: undefined, value: undefined }
  return { revision: entry.modRevision, leaseId: entry.leaseId, value: parseJson(entry.value) as T | undefined }
}

async function read<T> (store: Store, key: string): Promise<Result<Versioned<T>, StoreError>> {
  const entry = await store.get(key, { priority: 'ownership' })
  return entry.err ? entry : Ok(versionedOf<T>(entry.val))
}

export async function readLeaderRecords (store: Store): Promise<Result<LeaderRecords, StoreError>> {
  const [leader, last] = await Promise.all([read<LeaderClaim>(store, LEADER_KEY), read<LastOrderer>(store, LAST_ORDERER_KEY)])
  if (leader.err) return leader
  return last.err ? last : Ok({ leader: leader.val, last: last.val })
}

const unchanged = (key: string, revision: number): Compare => ({ key, target: 'mod', equals: revision })

/** After a lost answer the write may or may not have taken effect: only the key itself tells. */
async function write (store: Store, compares: readonly Compare[], writes: readonly WriteOperation[], proof: { key: string, value: string }): Promise<ConditionalWriteResult> {
  const put = await store.transact({ compares, writes }, { priority: 'ownership' })
  if (put.ok) return put.val.succeeded ? { kind: 'done', revision: put.val.revision } : { kind: 'lost' }
  if (!UNSURE.includes(put.val.kind)) return { kind: 'failed', reason: put.val.message }
  const entry = await store.get(proof.key, { priority: 'ownership' })
  if (entry.err) return { kind: 'failed', reason: entry.val.message }
  return entry.val?.value === proof.value ? { kind: 'done', revision: entry.val.modRevision } : { kind: 'failed', reason: put.val.message }
}

export function createLeaderClaim (holder: string, machine: string): LeaderClaim {
  return { holder, machine, claim: createId('claim') }
}

const lastOrderer = (machine: string, era: number): LastOrderer => ({ machine, era, mark: createId('last') })

export interface ClaimBasis {
  leaseId: string
  /** Of the store, when the records were read. */
  era: number
  /** The machine was the last to order. */
  isLast: boolean
}

/**
 * Takes the claim, if neither record has changed since it was read. One who was the last to order says so anew, so
 * that others see that orders may have gone out since.
 */
export function writeLeaderClaim (store: Store, known: LeaderRecords, claim: LeaderClaim, { leaseId, era, isLast }: ClaimBasis): Promise<ConditionalWriteResult> {
  const { machine } = claim
  const value = JSON.stringify(claim)
  return write(store, [unchanged(LEADER_KEY, known.leader.revision), unchanged(LAST_ORDERER_KEY, known.last.revision)], [
    { kind: 'put', key: LEADER_KEY, value, leaseId },
    ...(isLast ? [{ kind: 'put' as const, key: LAST_ORDERER_KEY, value: JSON.stringify(lastOrderer(machine, era)) }] : [])
  ], { key: LEADER_KEY, value })
}

/** Names the machine as the last to order, if its claim of that revision stands and nobody has ordered meanwhile. */
export function writeLastOrderer (store: Store, by: Pick<LastOrderer, 'machine' | 'era'>, claimRevision: number, lastRevision: number): Promise<ConditionalWriteResult> {
  const value = JSON.stringify(lastOrderer(by.machine, by.era))
  return write(store, [unchanged(LEADER_KEY, claimRevision), unchanged(LAST_ORDERER_KEY, lastRevision)], [
    { kind: 'put', key: LAST_ORDERER_KEY, value }
  ], { key: LAST_ORDERER_KEY, value })
}
