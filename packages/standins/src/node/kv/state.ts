/**
 * The key-value stand-in's state: revisions, transactions, leases that expire by the clock, and watches.
 */
import type { Clock } from 'magnoliabay/clock/index'
import { Err, Ok } from 'magnoliabay/result'
import type { Result } from 'magnoliabay/result'
import { createKvHistory } from './history'
import { createKvLeases } from './leases'
import type { KvLeasesSnapshot } from './leases'
import { NO_LEASE, inRange } from './types'
import type {
  KvCompare, KvEntry, KvError, KvEvent, KvEventListener, KvLease, KvOperation, KvOperationResult, KvRange,
  KvTransaction, KvTransactionResult, KvWatch
} from './types'

export interface KvStateOptions {
  clock: Clock
  /** Number of events kept for watches that start at a past revision. @default 10000 */
  historyEvents?: number
  /** Maximum length of a value, bytes. @default 1048576 */
  maxValueBytes?: number
}

/** A copy of the whole state at one time. */
export interface KvSnapshot {
  revision: number
  entries: readonly KvEntry[]
  leases: KvLeasesSnapshot
}

export interface KvState {
  revision (): number
  /** Returns the era, which starts at 0 and rises by one with each {@link KvState.restore}. */
  era (): number
  snapshot (): KvSnapshot
  /** Restores an older copy: later writes are lost, and revisions and lease ids are assigned again. */
  restore (snapshot: KvSnapshot): void
  /** Calls `listener` at the next restore only. */
  onRestore (listener: () => void): void
  range (range: KvRange): readonly KvEntry[]
  transact (transaction: KvTransaction): Result<KvTransactionResult, KvError>
  /** Watches a range from `startRevision`, or from the next change when it is 0. */
  watch (range: KvRange, startRevision: number, listener: KvEventListener): KvWatch
  /** Grants a lease with `id`, or with a new id. */
  grantLease (ttlSeconds: number, id?: string): Result<KvLease, KvError>
  renewLease (id: string): Result<KvLease, KvError>
  /** Deletes the lease and every key on it; checks also use it to make a lease expire early. */
  revokeLease (id: string): Result<void, KvError>
  leases (): readonly KvLease[]
  /** Drops events up to `revision`. */
  compact (revision: number): void
  /** Stops the timers of all leases, so that no lease expires any more. */
  close (): void
}

const HISTORY_EVENTS = 10_000
const MAX_VALUE_BYTES = 1_048_576
/** Revision of an empty store, as in etcd. */
const FIRST_REVISION = 1

export function createKvState (options: KvStateOptions): KvState {
  const maxValueBytes = options.maxValueBytes ?? MAX_VALUE_BYTES
  const entries = new Map<string, KvEntry>()
  const history = createKvHistory(options.historyEvents ?? HISTORY_EVENTS)
  let revision = FIRST_REVISION
  let era = 0
  const restoreListeners: Array<() => void> = []

  const range = (requested: KvRange): readonly KvEntry[] => {
    if (requested.end === undefined || requested.end === '') {
      const entry = entries.get(requested.key)
      return entry === undefined ? [] : [entry]
    }
    return [...entries.values()]
      .filter(entry => inRange(requested, entry.key))
      .sort((a, b) => a.key < b.key ? -1 : 1)
  }

  const leases = createKvLeases(options.clock, keys => {
    const events = keys.flatMap(key => deleteKey(key, revision + 1))
    publish(events)
  })

  const publish = (events: readonly KvEvent[]): void => {
    if (events.length === 0) return
    revision += 1
    history.publish(revision, events)
  }

  const deleteKey = (key: string, atRevision: number): KvEvent[] => {
    const entry = entries.get(key)
    if (entry === undefined) return []
    entries.delete(key)
    leases.detach(entry.leaseId, key)
    return [{ kind: 'delete', entry: { ...entry, value: '', modRevision: atRevision } }]
  }

  const putKey = (key: string, value: string, leaseId: string, atRevision: number): KvEvent => {
    const previous = entries.get(key)
    const entry: KvEntry = {
      key,
      value,
      leaseId,
      createRevision: previous?.createRevision ?? atRevision,
      modRevision: atRevision,
      version: (previous?.version ?? 0) + 1
    }
    entries.set(key, entry)
    if (previous !== undefined) leases.detach(previous.leaseId, key)
    leases.attach(leaseId, key)
    return { kind: 'put', entry }
  }

  const validate = (operations: readonly KvOperation[]): KvError | undefined => {
    const puts = operations.filter(operation => operation.kind === 'put')
    if (puts.some(put => put.key === '')) return { kind: 'empty-key' }
    if (new Set(puts.map(put => put.key)).size < puts.length) return { kind: 'duplicate-key' }
    if (puts.some(put => Buffer.byteLength(put.value) > maxValueBytes)) return { kind: 'too-large' }
    if (puts.some(put => !leases.has(put.leaseId ?? NO_LEASE))) return { kind: 'lease-not-found' }
    return undefined
  }

  const apply = (operation: KvOperation, atRevision: number, events: KvEvent[]): KvOperationResult => {
    if (operation.kind === 'range') return { kind: 'range', entries: range(operation.range) }
    if (operation.kind === 'put') {
      events.push(putKey(operation.key, operation.value, operation.leaseId ?? NO_LEASE, atRevision))
      return { kind: 'put' }
    }
    const deleted = range(operation.range).flatMap(entry => deleteKey(entry.key, atRevision))
    events.push(...deleted)
    return { kind: 'delete', deleted: deleted.length }
  }

  return {
    revision: () => revision,
    range,
    transact: transaction => {
      const succeeded = transaction.compares.every(compare => holds(compare, entries.get(compare.key)))
      const operations = succeeded ? transaction.success : transaction.failure
      const err = validate(operations)
      if (err !== undefined) return Err(err)
      const events: KvEvent[] = []
      const results = operations.map(operation => apply(operation, revision + 1, events))
      publish(events)
      return Ok({ succeeded, revision, results })
    },
    // A revision beyond the next one isn't part of the history.
    watch: (watchedRange, startRevision, listener) => startRevision > revision + 1
      ? { kind: 'compacted', compactRevision: revision }
      : history.watch(watchedRange, startRevision, listener),
    era: () => era,
    onRestore: listener => { restoreListeners.push(listener) },
    snapshot: () => ({ revision, entries: [...entries.values()], leases: leases.snapshot() }),
    restore: snapshot => {
      era += 1
      revision = snapshot.revision
      entries.clear()
      snapshot.entries.forEach(entry => entries.set(entry.key, entry))
      leases.restore(snapshot.leases)
      history.reset()
      restoreListeners.splice(0).forEach(listener => listener())
    },
    grantLease: leases.grant,
    renewLease: leases.renew,
    revokeLease: leases.revoke,
    leases: leases.list,
    compact: history.compact,
    close: leases.close
  }
}

function holds (compare: KvCompare, entry: KvEntry | undefined): boolean {
  // As in etcd, a comparison of the value of an absent key never holds.
  if (compare.target === 'value' && entry === undefined) return false
  const actual = COMPARE_FIELDS[compare.target](entry)
  return COMPARE_RESULTS[compare.result](actual, compare.operand)
}

type Comparable = number | string

const COMPARE_FIELDS: Readonly<Record<KvCompare['target'], (entry: KvEntry | undefined) => Comparable>> = {
  version: entry => entry?.version ?? 0,
  create: entry => entry?.createRevision ?? 0,
  mod: entry => entry?.modRevision ?? 0,
  value: entry => entry?.value ?? '',
  lease: entry => entry?.leaseId ?? NO_LEASE
}

const COMPARE_RESULTS: Readonly<Record<KvCompare['result'], (actual: Comparable, operand: Comparable) => boolean>> = {
  equal: (actual, operand) => actual === operand,
  'not-equal': (actual, operand) => actual !== operand,
  greater: (actual, operand) => actual > operand,
  less: (actual, operand) => actual < operand
}
