/**
 * The product's `Store` straight over the stand-in's state, with the same faults, for tests in virtual time.
 */
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { Err, Ok } from 'magnoliabay/result'
import type { Result } from 'magnoliabay/result'
import type { Compare, KeyValue, RangeResult, Store, StoreError, StoreErrorKind, WriteOperation } from 'magnoliabay/store/store'
import type { FaultSwitches } from '../faults'
import { createDirectWatch } from './directWatch'
import { createKvCallCounter, createKvFaults } from './faults'
import type { KvCallCounter, KvCallKind, KvFaults } from './faults'
import type { KvState } from './state'
import { prefixEnd } from './types'
import type { KvCompare, KvEntry, KvError, KvErrorKind, KvOperation } from './types'

export interface DirectStoreOptions {
  clock: Clock
  /** @default switches of its own */
  faults?: FaultSwitches<KvFaults>
  /** @default a counter of its own */
  counter?: KvCallCounter
  /** Name under which calls are counted. @default 'direct' */
  caller?: string
  /** After how long a silent watch is issued anew, milliseconds. @default 5000 */
  silentWatchMs?: number
}

const DEFAULT_CALLER = 'direct'
const SILENT_WATCH_MS = 5000

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
    if (faults.now.down !== 'no') return fail('unavailable', 'down')
    if (faults.now.slowMs > 0) {
      await sleep(clock, faults.now.slowMs)
      // It went down while the call was under way: the caller can't tell whether it took effect.
      if (faults.now.down !== 'no') return fail('unknown', 'went down during the call')
    }
    counter.count(caller, kind)
    const done = run()
    // As over a connection, the answer comes in a later turn than the call.
    await Promise.resolve()
    if (faults.now.loseAnswers) return fail('unknown', 'answer lost')
    return done.ok ? done : fail(STORE_ERRORS[done.val.kind], done.val.kind)
  }

  const range = (prefix: string): Promise<Result<RangeResult, StoreError>> => call('reads', () => {
    const entries = state.range({ key: prefix, end: prefixEnd(prefix) }).map(toKeyValue)
    return Ok({ entries, revision: state.revision() })
  })

  return {
    range,
    get: key => call('reads', () => Ok(state.range({ key }).map(toKeyValue)[0])),
    transact: transaction => call('writes', () => state.transact({
      compares: transaction.compares.map(toCompare),
      success: transaction.writes.map(toOperation),
      failure: []
    }).map(({ succeeded, revision }) => ({ succeeded, revision }))),
    grantLease: ttlSeconds => call('leases', () => state.grantLease(ttlSeconds).map(lease => lease.id)),
    renewLease: id => call('leases', () => state.renewLease(id).map(lease => lease.secondsLeft)),
    revokeLease: id => call('leases', () => state.revokeLease(id)),
    watch: createDirectWatch({
      state, clock, faults, range, silentWatchMs: options.silentWatchMs ?? SILENT_WATCH_MS, onOpen: () => counter.count(caller, 'watches')
    })
  }
}

function fail (kind: StoreErrorKind, message: string): Result<never, StoreError> {
  return Err({ kind, message })
}

function toKeyValue ({ key, value, createRevision, modRevision, leaseId }: KvEntry): KeyValue {
  return { key, value, createRevision, modRevision, leaseId }
}

function toCompare ({ key, target, equals }: Compare): KvCompare {
  return { key, target, result: 'equal', operand: equals }
}

function toOperation (write: WriteOperation): KvOperation {
  return write.kind === 'put' ? write : { kind: 'delete', range: { key: write.key } }
}
