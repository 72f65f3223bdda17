/**
 * Store access for homes of allowances, through a peer when the store does not respond to this instance. Failure: the
 * store refuses one instance and serves the others; the teams whose home it is would be granted only what the last record
 * covers for as long as that lasts. Records change by compare-and-swap, so a write whose response was lost here and that
 * a peer repeats takes effect once.
 */
import * as v from 'valibot'
import { definePeerCall } from '../../members'
import type { Peers } from '../../members'
import { Err, Ok } from '../../result'
import type { Result } from '../../result'
import { storeErrorSchema } from '../../store'
import type { KeyValue, Store, StoreError, Transaction, TransactionResult } from '../../store'

type StoreOutcome<T> = { kind: 'done', value: T } | { kind: 'failed', err: StoreError }

const outcomeSchema = <Value extends v.GenericSchema>(value: Value): v.GenericSchema => v.variant('kind', [v.object({ kind: v.literal('done'), value }), v.object({ kind: v.literal('failed'), err: storeErrorSchema })])
const entrySchema = v.object({ key: v.string(), value: v.string(), createRevision: v.number(), modRevision: v.number(), leaseId: v.string() })
const transactionSchema = v.object({
  compares: v.array(v.object({ key: v.string(), target: v.picklist(['create', 'mod', 'value']), equals: v.union([v.number(), v.string()]) })),
  writes: v.array(v.variant('kind', [
    v.object({ kind: v.literal('put'), key: v.string(), value: v.string(), leaseId: v.optional(v.string()) }),
    v.object({ kind: v.literal('delete'), key: v.string() })
  ]))
})
const readCall = definePeerCall<{ key: string }, StoreOutcome<KeyValue | undefined>>('allowance.read-record', { req: v.object({ key: v.string() }), res: outcomeSchema(v.optional(entrySchema)) })
const writeCall = definePeerCall<Transaction, StoreOutcome<TransactionResult>>('allowance.write-record', { req: transactionSchema, res: outcomeSchema(v.object({ succeeded: v.boolean(), revision: v.number() })) })

/** A peer that reaches the store replies in milliseconds, or in some tenths of a second while the store is slow. */
const PEER_TIMEOUT_MS = 700
/** Largest number of peers that are asked, one after the other. */
const MAX_PEERS = 3

export type RecordStore = Pick<Store, 'get' | 'transact'>

export interface PeerFallbackStoreOptions {
  peers: Peers
  store: RecordStore
  /** Whether the last successful store call here is older than a failed one. */
  isStoreUnreachable: () => boolean
  /** Peers that probably reach the store, the most probable first. */
  peersWithStoreAccess: () => readonly string[]
}

/** Also serves reads and writes for other members. */
export function createPeerFallbackStore ({ peers, store, isStoreUnreachable, peersWithStoreAccess }: PeerFallbackStoreOptions): RecordStore {
  const toOutcome = <T>(res: Result<T, StoreError>): StoreOutcome<T> => res.ok ? { kind: 'done', value: res.val } : { kind: 'failed', err: res.val }
  peers.serve(readCall, async ({ key }) => toOutcome(await store.get(key)))
  peers.serve(writeCall, async transaction => toOutcome(await store.transact(transaction)))

  const askPeer = async <Req, T>(peer: string, call: ReturnType<typeof definePeerCall<Req, StoreOutcome<T>>>, req: Req): Promise<Result<T, StoreError>> => {
    const reply = await peers.call(peer, call, req, { timeoutMs: PEER_TIMEOUT_MS })
    if (reply.err) return Err({ kind: 'unknown', message: reply.val.message })
    return reply.val.kind === 'done' ? Ok(reply.val.value) : Err(reply.val.err)
  }
  /** Asks one peer after the other, since the store may refuse several instances. Returns the first success, else the last error. */
  const callPeers = async <Req, T>(call: ReturnType<typeof definePeerCall<Req, StoreOutcome<T>>>, req: Req): Promise<Result<T, StoreError> | undefined> => {
    let lastResult: Result<T, StoreError> | undefined
    for (const peer of peersWithStoreAccess().slice(0, MAX_PEERS)) {
      lastResult = await askPeer(peer, call, req)
      if (lastResult.ok) return lastResult
    }
    return lastResult
  }
  /** Calls the store and falls back to peers; a store known to be unreachable is called only if there is no peer to ask. */
  const withPeerFallback = async <T>(callStore: () => Promise<Result<T, StoreError>>, callPeer: () => Promise<Result<T, StoreError> | undefined>): Promise<Result<T, StoreError>> => {
    if (isStoreUnreachable()) return await callPeer() ?? await callStore()
    const res = await callStore()
    return res.ok ? res : await callPeer() ?? res
  }
  return {
    get: (key, options) => withPeerFallback(() => store.get(key, options), () => callPeers(readCall, { key })),
    transact: (transaction, options) => withPeerFallback(() => store.transact(transaction, options), () => callPeers(writeCall, transaction))
  }
}
