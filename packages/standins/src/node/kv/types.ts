/**
 * The data model of the key-value stand-in and its operations: a small part of etcd's.
 */
export interface KvEntry {
  key: string
  value: string
  createRevision: number
  modRevision: number
  /** Number of changes since the key was created; the creation counts as 1. */
  version: number
  /** '0' when the key has no lease. */
  leaseId: string
}

/** One key, or all keys from `key` up to but excluding `end`; an `end` of '\0' means no upper bound. */
export interface KvRange {
  key: string
  end?: string
}

export type KvCompareTarget = 'version' | 'create' | 'mod' | 'value' | 'lease'
export type KvCompareResult = 'equal' | 'greater' | 'less' | 'not-equal'

export interface KvCompare {
  key: string
  target: KvCompareTarget
  result: KvCompareResult
  operand: number | string
}

export type KvOperation =
  | { kind: 'put', key: string, value: string, leaseId?: string }
  | { kind: 'delete', range: KvRange }
  | { kind: 'range', range: KvRange }

export interface KvTransaction {
  compares: readonly KvCompare[]
  success: readonly KvOperation[]
  failure: readonly KvOperation[]
}

export type KvOperationResult =
  | { kind: 'put' }
  | { kind: 'delete', deleted: number }
  | { kind: 'range', entries: readonly KvEntry[] }

export interface KvTransactionResult {
  succeeded: boolean
  revision: number
  results: readonly KvOperationResult[]
}

export type KvErrorKind = 'lease-not-found' | 'lease-exists' | 'duplicate-key' | 'too-large' | 'empty-key'

export interface KvError {
  kind: KvErrorKind
}

export interface KvEvent {
  kind: 'put' | 'delete'
  /** For a delete, the key with the mod revision of the delete and an empty value. */
  entry: KvEntry
}

/** Receives the events of one revision. */
export type KvEventListener = (events: readonly KvEvent[]) => void

export type KvWatch =
  | { kind: 'watching', backlog: readonly KvEvent[], cancel: () => void }
  | { kind: 'compacted', compactRevision: number }

export interface KvLease {
  id: string
  ttlSeconds: number
  secondsLeft: number
}

export const NO_LEASE = '0'
export const NO_UPPER_BOUND = '\0'

/** Returns the end of the range of all keys that begin with `prefix`. */
export function prefixEnd (prefix: string): string {
  if (prefix === '') return NO_UPPER_BOUND
  const last = prefix.charCodeAt(prefix.length - 1)
  return prefix.slice(0, -1) + String.fromCharCode(last + 1)
}

export function inRange (range: KvRange, key: string): boolean {
  if (range.end === undefined || range.end === '') return key === range.key
  if (key < range.key) return false
  return range.end === NO_UPPER_BOUND || key < range.end
}
