/**
 * Implements the product's `Store` directly on the stand-in's state, with the same faults, for tests in virtual time.
 */
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { Err, Ok } from 'magnoliabay/result'
import type { Result } from 'magnoliabay/result'
import type { Compare, KeyValue, RangeResult, Store, StoreError, StoreErrorKind, Transaction, TransactionResult, WriteOperation } from 'magnoliabay/store/store'
import type { FaultSwitches } from '../faults'
import { eraOfCompare, eraOfLease, toLeaseId, toRevision, toStoredLeaseId, toStoredRevision } from 'magnoliabay/store/eras'
import { createDirectWatch } from './directWatch'
import { createKvCallCounter, createKvFaults } from './faults'
import type { KvCallCounter, KvCallKind, KvFaults } from './faults'
import type { KvState } from './state'
import { prefixEnd } from './types'
import type { KvCompare, KvEntry, KvError, KvErrorKind, KvOperation } from './types'

export interface DirectStoreOptions {
  clock: Clock
  /** @default new switches */
  faults?: FaultSwitches<KvFaults>
  /** @default a new counter */
  counter?: KvCallCounter
  /** Name under which calls are counted. @default 'direct' */
  caller?: string
  /** Time after which a silent watch is restarted, milliseconds. @default 5000 */
  silentWatchMs?: number
}

const DEFAULT_CALLER = 'direct'
const DEFAULT_SILENT_WATCH_TIMEOUT_MS = 5000

const STORE_ERRORS: Readonly<Record<KvErrorKind, StoreErrorKind>> = {
  'lease-not-found': 'lease-lost',
  'lease-exists': 'invalid',
  'duplicate-key': 'invalid',
  'too-large': 'invalid',
  'empty-key': 'invalid'
}

export function createDirectStore (state: KvState, options: DirectStoreOptions): Store {
  const { clock } = options
  const faults = options.faults ?? createKvFaults()
  const counter = options.counter ?? createKvCallCounter()
  const caller = options.caller ?? DEFAULT_CALLER

  const call = async <T>(kind: KvCallKind, run: () => Result<T, KvError>): Promise<Result<T, StoreError>> => {
    if (faults.current.down !== 'no') return fail('unavailable', 'down')
    if (faults.current.slowMs > 0) {
      await sleep(clock, faults.current.slowMs)
      // It went down during the call, so the caller can't tell whether the call took effect.
      if (faults.current.down !== 'no') return fail('unknown', 'went down during the call')
    }
    counter.count(caller, kind)
    const result = run()
    // The answer comes in a later microtask than the call, as over a connection.
    await Promise.resolve()
    if (faults.current.loseAnswers) return fail('unknown', 'answer lost')
    return result.ok ? result : fail(STORE_ERRORS[result.val.kind], result.val.kind)
  }

  const toKeyValue = ({ key, value, createRevision, modRevision, leaseId }: KvEntry): KeyValue => ({
    key,
    value,
    createRevision: toRevision(state.era(), createRevision),
    modRevision: toRevision(state.era(), modRevision),
    leaseId: toLeaseId(state.era(), Number(leaseId))
  })
  /** Returns whether the comparison refers to a revision or lease from before the last restore. */
  const isOfEarlierEra = (compare: Compare): boolean => (eraOfCompare(compare) ?? state.era()) < state.era()
  const isLeaseOfEarlierEra = (leaseId: string | undefined): boolean => leaseId !== undefined && Number(leaseId) !== 0 && eraOfLease(leaseId) < state.era()
  const withLease = <T>(leaseId: string, run: (id: string) => Result<T, KvError>): Result<T, KvError> =>
    isLeaseOfEarlierEra(leaseId) ? Err({ kind: 'lease-not-found' }) : run(String(toStoredLeaseId(leaseId)))
  const transact = ({ compares, writes }: Transaction): Result<TransactionResult, KvError> => {
    if (compares.some(isOfEarlierEra)) return Ok({ succeeded: false, revision: 0 })
    if (writes.some(write => write.kind === 'put' && isLeaseOfEarlierEra(write.leaseId))) return Err({ kind: 'lease-not-found' })
    return state.transact({ compares: compares.map(toCompare), success: writes.map(toOperation), failure: [] })
      .map(({ succeeded, revision }) => ({ succeeded, revision: toRevision(state.era(), revision) }))
  }

  const range = (prefix: string): Promise<Result<RangeResult, StoreError>> => call('reads', () => {
    const entries = state.range({ key: prefix, end: prefixEnd(prefix) }).map(toKeyValue)
    return Ok({ entries, revision: toRevision(state.era(), state.revision()) })
  })

  return {
    range,
    get: key => call('reads', () => Ok(state.range({ key }).map(toKeyValue)[0])),
    transact: transaction => call('writes', () => transact(transaction)),
    grantLease: ttlSeconds => call('leases', () => state.grantLease(ttlSeconds).map(lease => toLeaseId(state.era(), Number(lease.id)))),
    renewLease: id => call('leases', () => withLease(id, stored => state.renewLease(stored).map(lease => lease.secondsLeft))),
    revokeLease: id => call('leases', () => withLease(id, state.revokeLease)),
    watch: createDirectWatch({
      state, clock, faults, range, silentWatchMs: options.silentWatchMs ?? DEFAULT_SILENT_WATCH_TIMEOUT_MS, onOpen: () => counter.count(caller, 'watches')
    })
  }
}

function fail (kind: StoreErrorKind, message: string): Result<never, StoreError> {
  return Err({ kind, message })
}

function toCompare ({ key, target, equals }: Compare): KvCompare {
  return { key, target, result: 'equal', operand: typeof equals === 'number' ? toStoredRevision(equals) : equals }
}

function toOperation (write: WriteOperation): KvOperation {
  if (write.kind === 'put') return { ...write, leaseId: write.leaseId === undefined ? undefined : String(toStoredLeaseId(write.leaseId)) }
  return { kind: 'delete', range: { key: write.key } }
}
