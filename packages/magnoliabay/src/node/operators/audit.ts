/** Audit records of the changes that operators made; the store keeps the latest ones. */
import * as v from 'valibot'
import { STORE_KEY_PREFIX } from '../constants'
import type { PutOperation, Store, StoreError, WriteOperation } from '../store'
import type { Result } from '../result'
import { createId, parseJson } from '../utils'

const AUDIT_PREFIX = `${STORE_KEY_PREFIX}/audit/`
/** Records kept; older ones are deleted {@link DELETE_BATCH_SIZE} at a time. */
const MAX_RECORDS = 500
const DELETE_BATCH_SIZE = 50
const TIMESTAMP_DIGITS = 15

export type AuditAction = 'config-applied' | 'key-created' | 'key-withdrawn' | 'drained' | 'declared-gone'

const recordSchema = v.object({
  atMs: v.number(),
  operator: v.string(),
  action: v.string(),
  /** Document, key id or instance that the change concerns. */
  subject: v.string(),
  /** Description of the change, such as `version 3 -> 4`. */
  detail: v.string(),
  /** Instance that made the change. */
  instance: v.string()
})

export type AuditRecord = Omit<v.InferOutput<typeof recordSchema>, 'action'> & { action: AuditAction }

/** Returns the write that records a change; it belongs in the same transaction as the change itself. */
export function auditWrite (record: AuditRecord): PutOperation {
  const time = String(record.atMs).padStart(TIMESTAMP_DIGITS, '0')
  return { kind: 'put', key: `${AUDIT_PREFIX}${time}-${createId('audit')}`, value: JSON.stringify(record) }
}

/** Reads the records, newest first. Damaged records are left out. */
export async function readAudit (store: Store): Promise<Result<AuditRecord[], StoreError>> {
  const range = await store.range(AUDIT_PREFIX, { priority: 'ledger' })
  return range.map(({ entries }) => entries
    .flatMap(entry => {
      const checked = v.safeParse(recordSchema, parseJson(entry.value))
      return checked.success ? [checked.output as AuditRecord] : []
    })
    .sort((left, right) => right.atMs - left.atMs))
}

/** Deletes a batch of the oldest records if there are too many. Never rejects; records that are left are deleted by a later call. */
export async function deleteOldAuditRecords (store: Store): Promise<void> {
  const range = await store.range(AUDIT_PREFIX, { priority: 'ledger' })
  if (range.err) return
  const keys = range.val.entries.map(entry => entry.key).sort()
  const excess = keys.length - MAX_RECORDS
  if (excess < DELETE_BATCH_SIZE) return
  const writes = keys.slice(0, DELETE_BATCH_SIZE).map((key): WriteOperation => ({ kind: 'delete', key }))
  await store.transact({ compares: [], writes }, { priority: 'ledger' })
}
