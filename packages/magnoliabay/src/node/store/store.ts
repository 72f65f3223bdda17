/**
 * The platform's key-value service, as the product uses it: compare-and-swap, leases and watches.
 * `etcd.ts` speaks to etcd, `platform/` to the users' store; tests use the stand-in's state directly.
 */
import type { Result } from '../result'

export interface KeyValue {
  key: string
  value: string
  /** Revision at which the key was created. Grows over the whole store; used as a fencing number. */
  createRevision: number
  /** Revision of the last change of the key. */
  modRevision: number
  /** Lease the key hangs on, or '0'. */
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
  /** Revision at which the range was read; watch from the next one. */
  revision: number
}

/**
 * `unavailable`: certainly not carried out (never connected, or refused as such).
 * `unknown`: the answer was lost, so the call may or may not have taken effect.
 * `over-budget`: not sent, since this instance's own share of the service's rate is spent.
 * `lease-lost`: the lease named does not exist any more.
 * `invalid`: the service refused the call itself.
 * `given-up`: this instance ended the call, which says nothing of the service.
 */
export type StoreErrorKind = 'unavailable' | 'unknown' | 'over-budget' | 'lease-lost' | 'invalid' | 'given-up'

export interface StoreError {
  kind: StoreErrorKind
  message: string
}

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
  /** The watch fell too far behind (or was begun anew): the whole prefix as it is now, in place of events. */
  onSnapshot: (snapshot: RangeResult) => void
}

/** A part of the keys that is watched by one call at a time, since the service counts each that waits. */
export interface PrefixWatch {
  prefix: string
  /** While it is not, nothing is read; when it is again, everything is read anew. */
  isEnabled: () => boolean
  /**
   * Read once at the start, whether or not it is wanted.
   * @default false
   */
  isReadAtStart?: boolean
  /** Pause after a watch that brought events, milliseconds: what changes meanwhile comes in one answer instead of many. */
  batchDelayMs: () => number
  /** How long one call waits for events, milliseconds. Longer waits cost fewer calls; a watch gone silent is noticed this much later. */
  waitMs: () => number
}

/** What a call is for; the budget serves the first of these first. */
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
  /** Renews a lease once; the value is the seconds left. `lease-lost` when it has lapsed. */
  renewLease (leaseId: string): StoreResult<number>
  revokeLease (leaseId: string): StoreResult<void>
  /**
   * Watches a prefix until `signal` aborts: one snapshot first, then events, across reconnects.
   * A silent watch is re-issued by the client itself.
   */
  watch (prefix: string, handlers: WatchHandlers, signal: AbortSignal): void
}
