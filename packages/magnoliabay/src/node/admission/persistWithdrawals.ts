/**
 * Persists withdrawals that were made while the store was unavailable and that only instances know so far: writes them
 * to the store once it answers again. Otherwise a withdrawal would be lost when the last instance that knows it is
 * replaced.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { Store } from '../store'
import { rankByRendezvous } from '../utils'
import { KEY_RECORDS_PREFIX, parseKeyRecord } from './keys'
import type { CallerKeyRecord } from './keys'
import type { Withdrawals } from './withdrawals'

const PERSIST_INTERVAL_MS = 2000

export interface PersistOptions {
  store: Store
  peers: Peers
  withdrawals: Withdrawals
  /** The store's record of a key, as last received. */
  recordOf: (keyId: string) => CallerKeyRecord | undefined
  clock: Clock
  logger: Logger
}

export function persistWithdrawals (options: PersistOptions, signal: AbortSignal): void {
  const { store, peers, withdrawals, recordOf, clock, logger } = options
  const waitedRounds = new Map<string, number>()

  const isUnwritten = (keyId: string): boolean => recordOf(keyId)?.withdrawnAtMs === undefined && recordOf(keyId) !== undefined
  /** Members take turns, so that not every member writes each key when the store answers again. */
  const isMyTurn = (keyId: string): boolean => {
    const waited = waitedRounds.get(keyId) ?? 0
    waitedRounds.set(keyId, waited + 1)
    const ranked = rankByRendezvous(keyId, peers.members(), member => member.id)
    return ranked[waited % ranked.length]?.id === peers.self.id
  }
  const write = async (keyId: string, atMs: number): Promise<void> => {
    const found = await store.get(KEY_RECORDS_PREFIX + keyId, { priority: 'config' })
    if (found.err || found.val === undefined) return
    const record = parseKeyRecord(found.val.value)
    if (record === undefined || record.withdrawnAtMs !== undefined) return
    const written = await store.transact({
      compares: [{ key: KEY_RECORDS_PREFIX + keyId, target: 'mod', equals: found.val.modRevision }],
      writes: [{ kind: 'put', key: KEY_RECORDS_PREFIX + keyId, value: JSON.stringify({ ...record, withdrawnAtMs: atMs }) }]
    }, { priority: 'config' })
    if (written.ok && written.val.succeeded) logger.info('withdrawal-written', { key: keyId, reason: 'known to peers only' })
  }
  inBackground('persist-withdrawals-loop', repeat(clock, PERSIST_INTERVAL_MS, signal, async () => {
    const unwritten = withdrawals.all().filter(({ keyId }) => isUnwritten(keyId))
    const mine = unwritten.filter(({ keyId }) => isMyTurn(keyId))
    await Promise.all(mine.map(({ keyId, atMs }) => write(keyId, atMs)))
  }))
}
