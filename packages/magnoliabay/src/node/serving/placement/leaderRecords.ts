/**
 * The leader's records in the store: a claim under a lease and, without a lease, the machine that may have sent the last
 * order. An instance may order while it holds the claim and its machine is named in the last-order record. It writes that
 * record only after the time that must separate the orders of two machines. Both records change by compare-and-swap, so
 * a machine that finds itself named knows that no other has ordered since, and need not wait.
 */
import * as v from 'valibot'
import { STORE_KEY_PREFIX } from '../../constants'
import { checkInput } from '../../inputs'
import type { InputMonitor } from '../../inputs'
import { Ok } from '../../result'
import type { Result } from '../../result'
import type { Compare, KeyValue, Store, StoreError, StoreErrorKind, WriteOperation } from '../../store'
import { createId, parseJson } from '../../utils'

export const LEADER_KEY = `${STORE_KEY_PREFIX}/orderer`
export const LAST_ORDER_KEY = `${STORE_KEY_PREFIX}/last-orderer`

/** A claim to lead. */
export interface LeaderClaim {
  /** Instance id. */
  holder: string
  /** Id of the machine, the same for all of its processes. */
  machine: string
  /** Unique for each claim. */
  claim: string
}

export const leaderClaimSchema = v.object({ holder: v.string(), machine: v.string(), claim: v.string() })
const lastOrderSchema = v.object({ machine: v.string(), era: v.number(), mark: v.string() })

/** The machine that may have sent the last order. */
export interface LastOrderRecord {
  machine: string
  /**
   * Era of the store when the record was written. If the store is in a later era, the record predates a rollback, and
   * another machine may have ordered since.
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
  lastOrder: Versioned<LastOrderRecord>
}

/** Result of a conditional write; `lost`: another write came first. */
export type ConditionalWriteResult = { kind: 'done', revision: number } | { kind: 'lost' } | { kind: 'failed', reason: string }

/** Errors after which the write may have taken effect. */
const AMBIGUOUS_ERRORS: readonly StoreErrorKind[] = ['unknown', 'unavailable']

type StoredEntry = Pick<KeyValue, 'value' | 'modRevision'> & { leaseId?: string } | undefined

/** Logs and counts records that cannot be read. */
export type RecordMonitor = Pick<InputMonitor, 'recordRefused'>

/** A value without the form of a record counts as no record, of its revision. */
function versionedOf<Schema extends v.GenericSchema> (schema: Schema, key: string, entry: StoredEntry, inputs: RecordMonitor | undefined): Versioned<v.InferOutput<Schema>> {
  if (entry === undefined) return { revision: 0, leaseId: undefined, value: undefined }
  const checked = checkInput(schema, parseJson(entry.value))
  if (checked.err) inputs?.recordRefused('store-value', { key }, checked.val.message)
  return { revision: entry.modRevision, leaseId: entry.leaseId, value: checked.ok ? checked.val : undefined }
}

export const toLeaderClaim = (entry: StoredEntry, inputs?: RecordMonitor): Versioned<LeaderClaim> => versionedOf(leaderClaimSchema, LEADER_KEY, entry, inputs)
export const toLastOrder = (entry: StoredEntry, inputs?: RecordMonitor): Versioned<LastOrderRecord> => versionedOf(lastOrderSchema, LAST_ORDER_KEY, entry, inputs)

async function read<T> (store: Store, key: string, decode: (entry: StoredEntry) => Versioned<T>): Promise<Result<Versioned<T>, StoreError>> {
  const entry = await store.get(key, { priority: 'ownership' })
  return entry.err ? entry : Ok(decode(entry.val))
}

export async function readLeaderRecords (store: Store, inputs?: RecordMonitor): Promise<Result<LeaderRecords, StoreError>> {
  const [leader, last] = await Promise.all([read(store, LEADER_KEY, entry => toLeaderClaim(entry, inputs)), read(store, LAST_ORDER_KEY, entry => toLastOrder(entry, inputs))])
  if (leader.err) return leader
  return last.err ? last : Ok({ leader: leader.val, lastOrder: last.val })
}

const compareRevision = (key: string, revision: number): Compare => ({ key, target: 'mod', equals: revision })

/**
 * Writes on condition. After an ambiguous error it reads `expectedEntry.key` to find out whether the write took effect.
 */
async function write (store: Store, compares: readonly Compare[], writes: readonly WriteOperation[], expectedEntry: { key: string, value: string }): Promise<ConditionalWriteResult> {
  const put = await store.transact({ compares, writes }, { priority: 'ownership' })
  if (put.ok) return put.val.succeeded ? { kind: 'done', revision: put.val.revision } : { kind: 'lost' }
  if (!AMBIGUOUS_ERRORS.includes(put.val.kind)) return { kind: 'failed', reason: put.val.message }
  const entry = await store.get(expectedEntry.key, { priority: 'ownership' })
  if (entry.err) return { kind: 'failed', reason: entry.val.message }
  return entry.val?.value === expectedEntry.value ? { kind: 'done', revision: entry.val.modRevision } : { kind: 'failed', reason: put.val.message }
}

export function createLeaderClaim (holder: string, machine: string): LeaderClaim {
  return { holder, machine, claim: createId('claim') }
}

const createLastOrderRecord = (machine: string, era: number): LastOrderRecord => ({ machine, era, mark: createId('last') })

export interface ClaimContext {
  leaseId: string
  /** Era of the store when the records were read. */
  era: number
  /** Whether the machine was the last to order. */
  isLastToOrder: boolean
}

/**
 * Writes the claim if neither record has changed since it was read. A machine that was the last to order also rewrites
 * the last-order record, so that others see that orders may have been sent since.
 */
export function writeLeaderClaim (store: Store, records: LeaderRecords, claim: LeaderClaim, { leaseId, era, isLastToOrder }: ClaimContext): Promise<ConditionalWriteResult> {
  const { machine } = claim
  const value = JSON.stringify(claim)
  return write(store, [compareRevision(LEADER_KEY, records.leader.revision), compareRevision(LAST_ORDER_KEY, records.lastOrder.revision)], [
    { kind: 'put', key: LEADER_KEY, value, leaseId },
    ...(isLastToOrder ? [{ kind: 'put' as const, key: LAST_ORDER_KEY, value: JSON.stringify(createLastOrderRecord(machine, era)) }] : [])
  ], { key: LEADER_KEY, value })
}

/**
 * Records the machine as the last to order, if its claim of that revision is still current and no machine has ordered
 * meanwhile.
 */
export function writeLastOrderRecord (store: Store, record: Pick<LastOrderRecord, 'machine' | 'era'>, claimRevision: number, lastOrderRevision: number): Promise<ConditionalWriteResult> {
  const value = JSON.stringify(createLastOrderRecord(record.machine, record.era))
  return write(store, [compareRevision(LEADER_KEY, claimRevision), compareRevision(LAST_ORDER_KEY, lastOrderRevision)], [
    { kind: 'put', key: LAST_ORDER_KEY, value }
  ], { key: LAST_ORDER_KEY, value })
}
