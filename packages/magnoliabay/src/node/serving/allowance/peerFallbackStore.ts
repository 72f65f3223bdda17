/**
 * The store as homes of allowances use it: by way of a peer where it does not answer here. Failure: the store turns one
 * instance away and serves the others; the teams whose home it is get only what the last record covers, for as long as
 * that lasts. Records change by compare-and-swap, so a write that was lost here and is made by a peer is made once.
 */
import { definePeerCall } from '../../members'
import type { Peers } from '../../members'
import { Err, Ok } from '../../result'
import type { Result } from '../../result'
import type { KeyValue, Store, StoreError, Transaction, TransactionResult } from '../../store'

type Done<T> = { kind: 'done', value: T } | { kind: 'failed', err: StoreError }

const readCall = definePeerCall<{ key: string }, Done<KeyValue | undefined>>('allowance.read-record')
const writeCall = definePeerCall<Transaction, Done<TransactionResult>>('allowance.write-record')

/** A peer in touch with the store answers in milliseconds, while the store is slow in tenths of a second. */
const PEER_TIMEOUT_MS = 700
/** So many peers are asked, one after the other. */
const MAX_PEERS = 3

export type RecordStore = Pick<Store, 'get' | 'transact'>

export interface PeerFallbackStoreOptions {
  peers: Peers
  store: RecordStore
  /** The last call that the store answered here is older than one that it did not. */
  isStoreUnreachable: () => boolean
  /** Peers that are likely in touch with the store, the likeliest first. */
  peersWithStoreAccess: () => readonly string[]
}

/** Serves reads and writes for others as well. */
export function createPeerFallbackStore ({ peers, store, isStoreUnreachable: isOutOfReach, peersWithStoreAccess: peersAtStore }: PeerFallbackStoreOptions): RecordStore {
  const toDone = <T>(res: Result<T, StoreError>): Done<T> => res.ok ? { kind: 'done', value: res.val } : { kind: 'failed', err: res.val }
  peers.serve(readCall, async ({ key }) => toDone(await store.get(key)))
  peers.serve(writeCall, async transaction => toDone(await store.transact(transaction)))

  const askPeer = async <Req, T>(peer: string, call: ReturnType<typeof definePeerCall<Req, Done<T>>>, req: Req): Promise<Result<T, StoreError>> => {
    const reply = await peers.call(peer, call, req, { timeoutMs: PEER_TIMEOUT_MS })
    if (reply.err) return Err({ kind: 'unknown', message: reply.val.message })
    return reply.val.kind === 'done' ? Ok(reply.val.value) : Err(reply.val.err)
  }
  /** The store may turn a part of all instances away: one after the other is asked, and what none of them did, nobody did. */
  const byPeer = async <Req, T>(call: ReturnType<typeof definePeerCall<Req, Done<T>>>, req: Req): Promise<Result<T, StoreError> | undefined> => {
    let last: Result<T, StoreError> | undefined
    for (const peer of peersAtStore().slice(0, MAX_PEERS)) {
      last = await askPeer(peer, call, req)
      if (last.ok) return last
    }
    return last
  }
  /** A store that is known to be out of reach is not waited for. */
  const either = async <T>(here: () => Promise<Result<T, StoreError>>, there: () => Promise<Result<T, StoreError> | undefined>): Promise<Result<T, StoreError>> => {
    if (isOutOfReach()) return await there() ?? await here()
    const res = await here()
    return res.ok ? res : await there() ?? res
  }
  return {
    get: (key, options) => either(() => store.get(key, options), () => byPeer(readCall, { key })),
    transact: (transaction, options) => either(() => store.transact(transaction, options), () => byPeer(writeCall, transaction))
  }
}
