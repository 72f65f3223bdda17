/** What operators changed: who, what, when, from which version. Kept in the store, bounded. */
import * as v from 'valibot'
import { STORE_KEY_PREFIX } from '../constants'
import type { PutOperation, Store, StoreError, WriteOperation } from '../store'
import type { Result } from '../result'
import { createId, parseJson } from '../utils'

const AUDIT_PREFIX = `${STORE_KEY_PREFIX}/audit/`
/** Records kept; older ones are dropped {@link DROPPED_TOGETHER} at a time. */
const KEPT_RECORDS = 500
const DROPPED_TOGETHER = 50
const TIME_DIGITS = 15

export type AuditAction = 'config-applied' | 'key-created' | 'key-withdrawn' | 'drained' | 'declared-gone'

const recordSchema = v.object({
  atMs: v.number(),
  operator: v.string(),
  action: v.string(),
  /** Document, key id or instance that was changed. */
  subject: v.string(),
  /** What it was before and is now, such as `version 3 -> 4`. */
  detail: v.string(),
  /** Instance that carried it out. */
  instance: v.string()
})

export type AuditRecord = Omit<v.InferOutput<typeof recordSchema>, 'action'> & { action: AuditAction }

/** The write that records a change; goes into the same transaction as the change itself. */
export function auditWrite (record: AuditRecord): PutOperation {
  const time = String(record.atMs).padStart(TIME_DIGITS, '0')
  return { kind: 'put', key: `${AUDIT_PREFIX}${time}-${createId('audit')}`, value: JSON.stringify(record) }
}

/** The newest first. Damaged records are left out. */
export async function readAudit (store: Store): Promise<Result<AuditRecord[], StoreError>> {
  const range = await store.range(AUDIT_PREFIX, { priority: 'ledger' })
  return range.map(({ entries }) => entries
    .flatMap(entry => {
      const checked = v.safeParse(recordSchema, parseJson(entry.value))
      return checked.success ? [checked.output as AuditRecord] : []
    })
    .sort((left, right) => right.atMs - left.atMs))
}

/** Keeps the records bounded. Never rejects; what is left over now goes next time. */
export async function dropOldAudit (store: Store): Promise<void> {
  const range = await store.range(AUDIT_PREFIX, { priority: 'ledger' })
  if (range.err) return
  const keys = range.val.entries.map(entry => entry.key).sort()
  const excess = keys.length - KEPT_RECORDS
  if (excess < DROPPED_TOGETHER) return
  const writes = keys.slice(0, DROPPED_TOGETHER).map((key): WriteOperation => ({ kind: 'delete', key }))
  await store.transact({ compares: [], writes }, { priority: 'ledger' })
}
