/**
 * Authenticates callers by the keys that this instance knows.
 */
import type { Clock } from '../clock'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import { createListeners } from '../members/dispatch'
import type { Peers } from '../members'
import type { Disposer } from '../members/peers'
import type { RangeResult, Store } from '../store'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { createWithdrawalFreshness } from './withdrawalFreshness'
import { KEY_RECORDS_PREFIX, parseKeyRecord, secretMatches, splitKey } from './keys'
import type { CallerKeyRecord } from './keys'
import { persistWithdrawals } from './persistWithdrawals'
import { createWithdrawals } from './withdrawals'
import type { Withdrawal } from './withdrawals'

export interface Caller {
  team: string
  keyId: string
}

export interface Keyring {
  authenticate (authorization: string | undefined): Result<Caller, Failure>
  /** Applies a withdrawal at once and sends it to the peers. It is written to the store once the store answers. */
  withdraw (withdrawal: Withdrawal): void
  /** Calls the listener when a key becomes invalid: withdrawn, or deleted from the store. */
  onWithdrawn (listener: (keyId: string) => void): Disposer
  start (signal: AbortSignal): void
}

export interface KeyringOptions {
  store: Store
  peers: Peers
  clock: Clock
  logger: Logger
}

const BEARER = /^Bearer +(\S+)$/i
const RETRY_AFTER_SECONDS = 1

export function createKeyring (options: KeyringOptions): Keyring {
  const { store, peers, clock, logger } = options
  const records = new Map<string, CallerKeyRecord>()
  const keyInvalidated = createListeners<[string]>()
  /** Whether the store has sent the list of keys since this instance started; without it no key can be called unknown. */
  let hasKeys = false
  const withdrawals = createWithdrawals({ peers, hasKeys: () => hasKeys })
  withdrawals.onRecorded(keyInvalidated.emit)

  const applyEntry = (entry: { key: string, value: string }): void => {
    const record = parseKeyRecord(entry.value)
    const isValid = record !== undefined && KEY_RECORDS_PREFIX + record.id === entry.key
    // Keeps the previous record: a damaged one neither admits nor locks out callers.
    if (!isValid) return logger.error('key-record-refused', { key: entry.key, reason: 'not a key record' })
    records.set(record.id, record)
    if (record.withdrawnAtMs !== undefined) withdrawals.record({ keyId: record.id, atMs: record.withdrawnAtMs })
  }
  const dropKey = (keyId: string): void => {
    if (records.delete(keyId)) keyInvalidated.emit(keyId)
  }
  const applySnapshot = (snapshot: RangeResult): void => {
    const present = new Set(snapshot.entries.map(entry => entry.key))
    snapshot.entries.forEach(applyEntry)
    const removed = [...records.keys()].filter(keyId => !present.has(KEY_RECORDS_PREFIX + keyId))
    removed.forEach(dropKey)
    hasKeys = true
    freshness.recordSync()
  }
  const readStore = async (): Promise<boolean> => {
    const range = await store.range(KEY_RECORDS_PREFIX, { priority: 'config' })
    if (range.ok) applySnapshot(range.val)
    return range.ok
  }
  const freshness = createWithdrawalFreshness({ peers, clock, syncWith: withdrawals.syncWith, readStore })

  return {
    authenticate: authorization => {
      if (authorization === undefined) return Err(createRefusal('missing_key', 'Send your key as `Authorization: Bearer <key>`.'))
      if (!hasKeys || !freshness.isRecent()) return Err(createRefusal('store_unavailable', 'This instance cannot check keys just now. Use another one.', RETRY_AFTER_SECONDS))
      const parts = splitKey(BEARER.exec(authorization)?.[1] ?? '')
      const record = parts === undefined ? undefined : records.get(parts.id)
      if (parts === undefined || record === undefined || !secretMatches(record, parts.secret)) {
        return Err(createRefusal('invalid_key', 'This key is not known here. Check it, or ask your operator for a new one.'))
      }
      if (withdrawals.has(record.id)) return Err(createRefusal('key_withdrawn', 'This key has been withdrawn. Ask your operator for a new one.'))
      return Ok({ team: record.team, keyId: record.id })
    },
    withdraw: withdrawals.announce,
    onWithdrawn: keyInvalidated.add,
    start: signal => {
      store.watch(KEY_RECORDS_PREFIX, {
        onSnapshot: applySnapshot,
        onEvent: event => {
          if (event.kind === 'put') applyEntry(event)
          else dropKey(event.key.slice(KEY_RECORDS_PREFIX.length))
        }
      }, signal)
      freshness.start(signal)
      persistWithdrawals({ store, peers, withdrawals, recordOf: keyId => records.get(keyId), clock, logger }, signal)
    }
  }
}
