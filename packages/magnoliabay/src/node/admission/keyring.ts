/**
 * The keys known to this instance, and who may come in with them.
 */
import type { Clock } from '../clock'
import { refusal } from '../failures'
import type { Failure } from '../failures'
import { createListeners } from '../members/dispatch'
import { definePeerNotice } from '../members'
import type { Peers } from '../members'
import type { Disposer } from '../members/peers'
import type { Store } from '../platform'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { KEYS_PREFIX, secretMatches, splitKey } from './keys'
import type { KeyRecord } from './keys'

/** A withdrawal only ever grows, so peers can spread it with the store dark. */
export interface Withdrawal {
  keyId: string
  atMs: number
}

export const keyWithdrawn = definePeerNotice<Withdrawal>('admission.key-withdrawn')

export interface Caller {
  team: string
  keyId: string
}

export interface Keyring {
  authenticate (authorization: string | undefined): Result<Caller, Failure>
  /** Takes a withdrawal at once and spreads it to the peers. */
  withdraw (withdrawal: Withdrawal): void
  onWithdrawn (listener: (keyId: string) => void): Disposer
  start (signal: AbortSignal): void
}

export interface KeyringOptions {
  store: Store
  peers: Peers
  clock: Clock
}

const BEARER = /^Bearer +(\S+)$/i

export function createKeyring (options: KeyringOptions): Keyring {
  const { store, peers } = options
  const records = new Map<string, KeyRecord>()
  const withdrawn = new Set<string>()
  const withdrawals = createListeners<[string]>()

  const take = (entry: { value: string }): void => {
    const record = JSON.parse(entry.value) as KeyRecord
    records.set(record.id, record)
    if (record.withdrawnAtMs !== undefined) markWithdrawn(record.id)
  }
  const markWithdrawn = (keyId: string): void => {
    if (withdrawn.has(keyId)) return
    withdrawn.add(keyId)
    withdrawals.emit(keyId)
  }

  peers.listen(keyWithdrawn, withdrawal => markWithdrawn(withdrawal.keyId))

  return {
    authenticate: authorization => {
      if (authorization === undefined) return Err(refusal('missing_key', 'Send your key as `Authorization: Bearer <key>`.'))
      const parts = splitKey(BEARER.exec(authorization)?.[1] ?? '')
      const record = parts === undefined ? undefined : records.get(parts.id)
      if (parts === undefined || record === undefined || !secretMatches(record, parts.secret)) {
        return Err(refusal('invalid_key', 'This key is not known here. Check it, or ask your operator for a new one.'))
      }
      if (withdrawn.has(record.id)) return Err(refusal('key_withdrawn', 'This key has been withdrawn. Ask your operator for a new one.'))
      return Ok({ team: record.team, keyId: record.id })
    },
    withdraw: withdrawal => {
      markWithdrawn(withdrawal.keyId)
      peers.notifyAll(keyWithdrawn, withdrawal)
    },
    onWithdrawn: withdrawals.add,
    start: signal => store.watch(KEYS_PREFIX, {
      onSnapshot: snapshot => snapshot.entries.forEach(take),
      onEvent: event => { if (event.kind === 'put') take(event) }
    }, signal)
  }
}
