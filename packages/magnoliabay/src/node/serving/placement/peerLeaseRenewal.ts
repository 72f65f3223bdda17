/**
 * Renews a lease by way of a peer. Failure: the store turns the leader away and serves the others; its lease lapses, and
 * for three seconds and more nobody gives orders. A renewal is a call by the lease's number, whoever makes it, so that
 * the leader goes on while any of its peers reaches the store.
 */
import { definePeerCall } from '../../members'
import type { Peers } from '../../members'
import { Err, Ok } from '../../result'
import type { Result } from '../../result'
import type { Store, StoreError } from '../../store'

export interface RenewRequest {
  leaseId: string
}

export type RenewReply = { kind: 'renewed', secondsLeft: number } | { kind: 'failed', error: StoreError }

export const renewCall = definePeerCall<RenewRequest, RenewReply>('placement.renew-lease')

/** A peer in touch with the store answers in milliseconds, while the store is slow in tenths of a second. */
const RENEW_TIMEOUT_MS = 700

export interface PeerLeaseRenewalOptions {
  peers: Peers
  store: Pick<Store, 'renewLease'>
  /** The peer that heard the store last, as far as known. */
  peerWithLatestStoreContact: () => string | undefined
}

/** Serves renewals for others as well. */
export function createPeerLeaseRenewal ({ peers, store, peerWithLatestStoreContact: closestToStore }: PeerLeaseRenewalOptions): (leaseId: string) => Promise<Result<number, StoreError> | undefined> {
  peers.serve(renewCall, async ({ leaseId }): Promise<RenewReply> => {
    const renewed = await store.renewLease(leaseId)
    return renewed.ok ? { kind: 'renewed', secondsLeft: renewed.val } : { kind: 'failed', error: renewed.val }
  })
  return async leaseId => {
    const peer = closestToStore()
    if (peer === undefined) return undefined
    const reply = await peers.call(peer, renewCall, { leaseId }, { timeoutMs: RENEW_TIMEOUT_MS })
    if (reply.err) return Err({ kind: 'unknown', message: reply.val.message })
    return reply.val.kind === 'renewed' ? Ok(reply.val.secondsLeft) : Err(reply.val.error)
  }
}
