/**
 * Renews a lease through a peer. It covers a store that rejects the leader and serves other instances: the lease would
 * expire, and no orders would be given for three seconds or more. The store renews a lease by its id for any caller, so
 * the leader continues while any peer reaches the store.
 */
import * as v from 'valibot'
import { definePeerCall } from '../../members'
import type { Peers } from '../../members'
import { Err, Ok } from '../../result'
import type { Result } from '../../result'
import { storeErrorSchema } from '../../store'
import type { Store, StoreError } from '../../store'

export interface RenewRequest {
  leaseId: string
}

export type RenewReply = { kind: 'renewed', secondsLeft: number } | { kind: 'failed', error: StoreError }

export const renewCall = definePeerCall<RenewRequest, RenewReply>('placement.renew-lease', {
  req: v.object({ leaseId: v.string() }),
  res: v.variant('kind', [v.object({ kind: v.literal('renewed'), secondsLeft: v.number() }), v.object({ kind: v.literal('failed'), error: storeErrorSchema })])
})

/** A peer that reaches the store responds in milliseconds, or in tenths of a second while the store is slow. */
const RENEW_TIMEOUT_MS = 700

export interface PeerLeaseRenewalOptions {
  peers: Peers
  store: Pick<Store, 'renewLease'>
  /** The peer with the latest known store contact. */
  peerWithLatestStoreContact: () => string | undefined
}

/** Creates the renewal call, and serves renewals for other instances. */
export function createPeerLeaseRenewal ({ peers, store, peerWithLatestStoreContact }: PeerLeaseRenewalOptions): (leaseId: string) => Promise<Result<number, StoreError> | undefined> {
  peers.serve(renewCall, async ({ leaseId }): Promise<RenewReply> => {
    const renewed = await store.renewLease(leaseId)
    return renewed.ok ? { kind: 'renewed', secondsLeft: renewed.val } : { kind: 'failed', error: renewed.val }
  })
  return async leaseId => {
    const peer = peerWithLatestStoreContact()
    if (peer === undefined) return undefined
    const reply = await peers.call(peer, renewCall, { leaseId }, { timeoutMs: RENEW_TIMEOUT_MS })
    if (reply.err) return Err({ kind: 'unknown', message: reply.val.message })
    return reply.val.kind === 'renewed' ? Ok(reply.val.secondsLeft) : Err(reply.val.error)
  }
}
