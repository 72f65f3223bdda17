/**
 * Encodes and decodes the etcd v3 gateway's JSON: base64 keys and values, int64 as decimal strings, zero values omitted.
 */
import { asList, asObject, asText } from '../http/json'
import type { JsonObject } from '../http/json'
import { NO_LEASE } from './types'
import type {
  KvCompare, KvCompareResult, KvCompareTarget, KvEntry, KvErrorKind, KvEvent, KvOperation, KvOperationResult, KvRange,
  KvTransaction
} from './types'

/** HTTP status, gRPC code and message with which the gateway reports an error. */
export interface WireError {
  status: number
  code: number
  message: string
}

export const WIRE_ERRORS: Readonly<Record<KvErrorKind | 'unavailable' | 'unimplemented', WireError>> = {
  'lease-not-found': { status: 404, code: 5, message: 'etcdserver: requested lease not found' },
  'lease-exists': { status: 412, code: 9, message: 'etcdserver: lease already exists' },
  'duplicate-key': { status: 400, code: 3, message: 'etcdserver: duplicate key given in txn request' },
  'too-large': { status: 400, code: 3, message: 'etcdserver: request is too large' },
  'empty-key': { status: 400, code: 3, message: 'etcdserver: key is not provided' },
  unavailable: { status: 503, code: 14, message: 'etcdserver: no leader' },
  unimplemented: { status: 404, code: 5, message: 'Not Found' }
}

const COMPARE_TARGETS: Readonly<Record<string, KvCompareTarget>> = {
  VERSION: 'version', CREATE: 'create', MOD: 'mod', VALUE: 'value', LEASE: 'lease'
}

const COMPARE_RESULTS: Readonly<Record<string, KvCompareResult>> = {
  EQUAL: 'equal', GREATER: 'greater', LESS: 'less', NOT_EQUAL: 'not-equal'
}

const COMPARE_OPERANDS: Readonly<Record<KvCompareTarget, (body: JsonObject) => number | string>> = {
  version: body => readInt(body.version),
  create: body => readInt(field(body, 'create_revision')),
  mod: body => readInt(field(body, 'mod_revision')),
  value: body => decode(body.value),
  lease: body => readId(body.lease)
}

export function decode (value: unknown): string {
  return Buffer.from(asText(value), 'base64').toString('utf8')
}

function encode (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

/** Reads an int64, which the gateway accepts as a decimal string or as a number. */
export function readInt (value: unknown): number {
  return Number(value ?? 0)
}

export function readId (value: unknown): string {
  return value === undefined ? NO_LEASE : String(value)
}

/** Reads a field, which the gateway accepts under its protobuf name or in camel case. */
export function field (body: JsonObject, name: string): unknown {
  return body[name] ?? body[name.replace(/_(\w)/g, (_all, letter: string) => letter.toUpperCase())]
}

export function readRange (body: JsonObject): KvRange {
  const end = decode(field(body, 'range_end'))
  return end === '' ? { key: decode(body.key) } : { key: decode(body.key), end }
}

export function readPut (body: JsonObject): KvOperation {
  return { kind: 'put', key: decode(body.key), value: decode(body.value), leaseId: readId(body.lease) }
}

export function readTransaction (body: JsonObject): KvTransaction {
  return {
    compares: asList(body.compare).map(compare => readCompare(asObject(compare))),
    success: asList(body.success).map(operation => readOperation(asObject(operation))),
    failure: asList(body.failure).map(operation => readOperation(asObject(operation)))
  }
}

function readCompare (body: JsonObject): KvCompare {
  const target = COMPARE_TARGETS[asText(body.target)] ?? 'version'
  const result = COMPARE_RESULTS[asText(body.result)] ?? 'equal'
  return { key: decode(body.key), target, result, operand: COMPARE_OPERANDS[target](body) }
}

function readOperation (body: JsonObject): KvOperation {
  const put = field(body, 'request_put')
  if (put !== undefined) return readPut(asObject(put))
  const deletion = field(body, 'request_delete_range')
  if (deletion !== undefined) return { kind: 'delete', range: readRange(asObject(deletion)) }
  return { kind: 'range', range: readRange(asObject(field(body, 'request_range'))) }
}

export function writeHeader (revision: number): JsonObject {
  return { cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '1' }
}

export function writeEntry (entry: KvEntry): JsonObject {
  return {
    key: encode(entry.key),
    create_revision: String(entry.createRevision),
    mod_revision: String(entry.modRevision),
    version: String(entry.version),
    ...(entry.value !== '' && { value: encode(entry.value) }),
    ...(entry.leaseId !== NO_LEASE && { lease: entry.leaseId })
  }
}

export function writeEntries (entries: readonly KvEntry[]): JsonObject {
  return entries.length === 0 ? {} : { kvs: entries.map(writeEntry), count: String(entries.length) }
}

export function writeEvent (event: KvEvent): JsonObject {
  const { key, modRevision } = event.entry
  // PUT is the zero value of the type and therefore omitted, as in the published gateway.
  if (event.kind === 'put') return { kv: writeEntry(event.entry) }
  return { type: 'DELETE', kv: { key: encode(key), mod_revision: String(modRevision) } }
}

export function writeOperationResult (result: KvOperationResult, revision: number): JsonObject {
  const header = writeHeader(revision)
  if (result.kind === 'put') return { response_put: { header } }
  if (result.kind === 'range') return { response_range: { header, ...writeEntries(result.entries) } }
  return { response_delete_range: { header, ...(result.deleted > 0 && { deleted: String(result.deleted) }) } }
}
