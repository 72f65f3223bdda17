/**
 * The withdrawn keys that this instance knows from the store or its peers. Keys are only ever added, so sets can be
 * merged in any order, and withdrawals spread while the store is unavailable.
 */
import * as v from 'valibot'
import { inBackground } from '../background'
import { createListeners } from '../members/dispatch'
import { definePeerCall, definePeerNotice } from '../members'
import type { Peers } from '../members'
import type { Disposer } from '../members/peers'
import { stableHash } from '../utils'

export interface Withdrawal {
  keyId: string
  /** Unix epoch, milliseconds. */
  atMs: number
}

interface SyncRequest {
  digest: string
}

interface SyncReply {
  /** Empty when the digests are the same. */
  withdrawals: readonly Withdrawal[]
  /** Whether the peer has had the list of keys from the store since it started. Peers of an older version do not say. */
  hasKeys?: boolean
}

const withdrawalSchema = v.object({ keyId: v.string(), atMs: v.number() })
const keyWithdrawn = definePeerNotice<Withdrawal>('admission.key-withdrawn', withdrawalSchema)
const syncCall = definePeerCall<SyncRequest, SyncReply>('admission.withdrawals', { req: v.object({ digest: v.string() }), res: v.object({ withdrawals: v.array(withdrawalSchema), hasKeys: v.optional(v.boolean()) }) })

const SYNC_TIMEOUT_MS = 1000
/** Digests are sums of key hashes modulo this, so that the order of the keys doesn't matter. */
const DIGEST_RANGE = 2 ** 48

export interface Withdrawals {
  has (keyId: string): boolean
  all (): readonly Withdrawal[]
  /** Records a withdrawal from the store or from a peer. */
  record (withdrawal: Withdrawal): void
  /** Records a withdrawal made at this instance, and notifies every peer at once. */
  announce (withdrawal: Withdrawal): void
  /**
   * Fetches the withdrawals that are missing here from a peer. Resolves to false if the peer doesn't answer, or has not had the list
   * of keys: what it doesn't know shows nothing then.
   */
  syncWith (memberId: string): Promise<boolean>
  /** Calls the listener once for each key that is withdrawn. */
  onRecorded (listener: (keyId: string) => void): Disposer
}

export interface WithdrawalsOptions {
  peers: Peers
  /** Whether this instance has had the list of keys from the store since it started. */
  hasKeys: () => boolean
}

export function createWithdrawals ({ peers, hasKeys }: WithdrawalsOptions): Withdrawals {
  const known = new Map<string, Withdrawal>()
  const recorded = createListeners<[string]>()
  let keyHashSum = 0

  const digest = (): string => `${known.size}:${keyHashSum}`
  const addWithdrawal = (withdrawal: Withdrawal): void => {
    if (known.has(withdrawal.keyId)) return
    known.set(withdrawal.keyId, withdrawal)
    keyHashSum = (keyHashSum + stableHash(withdrawal.keyId)) % DIGEST_RANGE
    recorded.emit(withdrawal.keyId)
  }
  const syncWith = async (memberId: string): Promise<boolean> => {
    const reply = await peers.call(memberId, syncCall, { digest: digest() }, { timeoutMs: SYNC_TIMEOUT_MS })
    if (reply.err) return false
    reply.val.withdrawals.forEach(addWithdrawal)
    return reply.val.hasKeys === true
  }

  peers.listen(keyWithdrawn, addWithdrawal)
  peers.serve(syncCall, req => ({ withdrawals: req.digest === digest() ? [] : [...known.values()], hasKeys: hasKeys() }))
  // A member that was unreachable while a key was withdrawn has missed the notice.
  peers.onConnected(member => { inBackground('sync-with', syncWith(member.id)) })

  return {
    record: addWithdrawal,
    syncWith,
    has: keyId => known.has(keyId),
    all: () => [...known.values()],
    announce: withdrawal => {
      addWithdrawal(withdrawal)
      peers.notifyAll(keyWithdrawn, withdrawal)
    },
    onRecorded: recorded.add
  }
}
