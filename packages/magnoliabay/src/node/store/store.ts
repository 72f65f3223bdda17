/**
 * Interface of the platform's key-value service: compare-and-swap, leases and watches.
 * `etcd.ts` implements it for etcd, `platform/` for the users' store; tests use the stand-in's state directly.
 */
import * as v from 'valibot'
import type { Result } from '../result'

export interface KeyValue {
  key: string
  value: string
  /** Revision at which the key was created. Revisions increase over the whole store, so this serves as a fencing token. */
  createRevision: number
  /** Revision of the last change of the key. */
  modRevision: number
  /** Id of the lease with which the key expires, or '0' for none. */
  leaseId: string
}

export type CompareTarget = 'create' | 'mod' | 'value'

/** Holds when the key's `target` equals `equals`. A key that is absent has create and mod revision 0. */
export interface Compare {
  key: string
  target: CompareTarget
  equals: number | string
}

export interface PutOperation {
  kind: 'put'
  key: string
  value: string
  leaseId?: string
}

export interface DeleteOperation {
  kind: 'delete'
  key: string
}

export type WriteOperation = PutOperation | DeleteOperation

/** All `writes` take effect together if all `compares` hold, else none. */
export interface Transaction {
  compares: readonly Compare[]
  writes: readonly WriteOperation[]
}

export interface TransactionResult {
  succeeded: boolean
  /** Revision of the store after the transaction. */
  revision: number
}

export interface RangeResult {
  entries: readonly KeyValue[]
  /** Revision at which the range was read; a watch starts from the next one. */
  revision: number
}

/**
 * `unavailable`: certainly not carried out (no connection, or refused by the service before it started).
 * `unknown`: the response was lost, so the call may or may not have taken effect.
 * `over-budget`: not sent, since this instance's budget of store calls is exhausted.
 * `lease-lost`: the named lease does not exist any more.
 * `invalid`: the service rejected the call as invalid.
 * `given-up`: this instance aborted the call, which says nothing about the service.
 */
export type StoreErrorKind = 'unavailable' | 'unknown' | 'over-budget' | 'lease-lost' | 'invalid' | 'given-up'

export interface StoreError {
  kind: StoreErrorKind
  message: string
}

/** The form of an error, as peers pass it on. */
export const storeErrorSchema = v.object({ kind: v.picklist(['unavailable', 'unknown', 'over-budget', 'lease-lost', 'invalid', 'given-up']), message: v.string() })

export type StoreResult<T> = Promise<Result<T, StoreError>>

export interface WatchEvent {
  kind: 'put' | 'delete'
  key: string
  value: string
  createRevision: number
  modRevision: number
}

export interface WatchHandlers {
  onEvent: (event: WatchEvent) => void
  /** Receives the whole prefix as it is now, when the watch starts, restarts, or has fallen too far behind for events. */
  onSnapshot: (snapshot: RangeResult) => void
}

/** A watch of a key prefix by one call at a time, since the service counts each call that waits. */
export interface PrefixWatch {
  prefix: string
  /** While false, nothing is read; when it becomes true, the whole prefix is read again. */
  isEnabled: () => boolean
  /**
   * Whether the prefix is read once at the start even if the watch is not enabled.
   * @default false
   */
  isReadAtStart?: boolean
  /** Delay after a watch that returned events, in milliseconds; changes made meanwhile arrive in one response instead of many. */
  batchDelayMs: () => number
  /** How long one call waits for events, in milliseconds. Longer waits need fewer calls, but detect a silent watch later. */
  waitMs: () => number
}

/** Purpose of a call, in descending priority in the budget. */
export type StorePriority = 'config' | 'ownership' | 'once' | 'ledger'

export interface StoreCallOptions {
  /** @default 'ledger' */
  priority?: StorePriority
}

export interface Store {
  get (key: string, options?: StoreCallOptions): StoreResult<KeyValue | undefined>
  range (prefix: string, options?: StoreCallOptions): StoreResult<RangeResult>
  transact (transaction: Transaction, options?: StoreCallOptions): StoreResult<TransactionResult>
  /** Grants a lease of `ttlSeconds` and returns its id. */
  grantLease (ttlSeconds: number): StoreResult<string>
  /** Renews a lease once and returns the seconds left. Fails with `lease-lost` when it has expired. */
  renewLease (leaseId: string): StoreResult<number>
  revokeLease (leaseId: string): StoreResult<void>
  /**
   * Watches a prefix until `signal` aborts: one snapshot first, then events, across reconnects.
   * The client restarts a silent watch by itself.
   */
  watch (prefix: string, handlers: WatchHandlers, signal: AbortSignal): void
}
