/** Encodes and decodes the JSON of the etcd v3 gateway: keys and values in base64, 64-bit numbers as strings. */
import * as v from 'valibot'
import type { Compare, KeyValue, Transaction, WatchEvent, WriteOperation } from './store'

/** A 64-bit number; the gateway writes it as a string. */
const int64 = v.pipe(v.union([v.string(), v.number()]), v.transform(String), v.regex(/^-?\d+$/))
const header = v.object({ revision: int64 })
const keyValue = v.object({ key: v.string(), value: v.optional(v.string()), create_revision: v.optional(int64), mod_revision: v.optional(int64), lease: v.optional(int64) })

export const rangeResponse = v.object({ header, kvs: v.optional(v.array(keyValue)) })
export const txnResponse = v.object({ header, succeeded: v.optional(v.boolean()) })
export const leaseResponse = v.object({ ID: int64 })
export const keepAliveResponse = v.object({ result: v.object({ TTL: v.optional(int64) }) })
export const errorResponse = v.object({ code: v.optional(v.number()), message: v.optional(v.string()) })
export const watchMessage = v.object({
  result: v.optional(v.object({
    canceled: v.optional(v.boolean()),
    events: v.optional(v.array(v.object({ type: v.optional(v.string()), kv: keyValue })))
  })),
  error: v.optional(v.object({ message: v.optional(v.string()) }))
})

export type EtcdKeyValue = v.InferOutput<typeof keyValue>
export type EtcdWatchMessage = v.InferOutput<typeof watchMessage>
export type EtcdEvent = { type?: string, kv: EtcdKeyValue }

export function toBase64 (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

export function fromBase64 (text: string): string {
  return Buffer.from(text, 'base64').toString('utf8')
}

/** Returns the exclusive end of the range of all keys with `prefix`: the prefix with its last byte raised by one, in base64. */
export function prefixEnd (prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8')
  bytes[bytes.length - 1]! += 1
  return bytes.toString('base64')
}

export function encodeRange (key: string, isPrefix: boolean): object {
  const encoded = { key: toBase64(key) }
  return isPrefix ? { ...encoded, range_end: prefixEnd(key) } : encoded
}

const COMPARE_ENCODERS: Record<Compare['target'], (compare: Compare) => object> = {
  create: compare => ({ target: 'CREATE', create_revision: String(compare.equals) }),
  mod: compare => ({ target: 'MOD', mod_revision: String(compare.equals) }),
  value: compare => ({ target: 'VALUE', value: toBase64(String(compare.equals)) })
}

function encodeCompare (compare: Compare): object {
  return { key: toBase64(compare.key), result: 'EQUAL', ...COMPARE_ENCODERS[compare.target](compare) }
}

function encodeWrite (write: WriteOperation): object {
  if (write.kind === 'delete') return { requestDeleteRange: { key: toBase64(write.key) } }
  return { requestPut: { key: toBase64(write.key), value: toBase64(write.value), lease: write.leaseId ?? '0' } }
}

export function encodeTransaction (transaction: Transaction): object {
  return { compare: transaction.compares.map(encodeCompare), success: transaction.writes.map(encodeWrite) }
}

export function decodeKeyValue (kv: EtcdKeyValue): KeyValue {
  return {
    key: fromBase64(kv.key),
    value: fromBase64(kv.value ?? ''),
    createRevision: Number(kv.create_revision ?? 0),
    modRevision: Number(kv.mod_revision ?? 0),
    leaseId: kv.lease ?? '0'
  }
}

export function decodeEvent (event: EtcdEvent): WatchEvent {
  const { key, value, createRevision, modRevision } = decodeKeyValue(event.kv)
  return { kind: event.type === 'DELETE' ? 'delete' : 'put', key, value, createRevision, modRevision }
}
