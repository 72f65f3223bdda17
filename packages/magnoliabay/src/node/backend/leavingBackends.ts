/**
 * Backend servers that have announced that they are leaving. The platform's list lags by seconds; until it has
 * caught up, the announcement keeps new requests away from them, here and at every peer.
 */
import * as v from 'valibot'
import type { Clock } from '../clock'
import { definePeerNotice } from '../members'
import type { Peers } from '../members'

export interface BackendLeavingNotice {
  address: string
}

export const backendLeavingNotice = definePeerNotice<BackendLeavingNotice>('backend.leaving', v.object({ address: v.string() }))

export interface LeavingBackends {
  /** Records that the server states that it is leaving, or refused a request for that, and notifies all peers. */
  markLeaving (address: string): void
  isLeaving (address: string): boolean
}

export interface LeavingBackendsOptions {
  peers: Pick<Peers, 'listen' | 'notifyAll'>
  clock: Clock
  /**
   * How long an announcement is kept, milliseconds: longer than the list lags, short enough that a server that
   * refused requests only for a while is used again. @default 10000
   */
  retentionMs?: number
}

const DEFAULT_RETENTION_MS = 10_000

export function createLeavingBackends (options: LeavingBackendsOptions): LeavingBackends {
  const { peers, clock } = options
  const retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS
  const expiryByAddress = new Map<string, number>()

  const removeExpired = (): void => {
    const nowMs = clock.monotonic()
    const expired = [...expiryByAddress].filter(([, expiresAtMs]) => expiresAtMs <= nowMs)
    expired.forEach(([address]) => expiryByAddress.delete(address))
  }
  const recordLeaving = (address: string): void => {
    removeExpired()
    expiryByAddress.set(address, clock.monotonic() + retentionMs)
  }
  const expiryOf = (address: string): number => expiryByAddress.get(address) ?? -Infinity
  peers.listen(backendLeavingNotice, notice => recordLeaving(notice.address))
  return {
    markLeaving: address => {
      // A leaving server says so in every answer: peers are notified again only when they would soon forget it.
      if (expiryOf(address) - clock.monotonic() > retentionMs / 2) return
      recordLeaving(address)
      peers.notifyAll(backendLeavingNotice, { address })
    },
    isLeaving: address => expiryOf(address) > clock.monotonic()
  }
}
