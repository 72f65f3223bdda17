/**
 * Backend servers that said themselves that they leave. The platform's list lags by seconds; until it has
 * caught up, their word keeps new work away, here and at every peer.
 */
import type { Clock } from '../clock'
import { definePeerNotice } from '../members'
import type { Peers } from '../members'

export interface BackendLeavingNotice {
  address: string
}

export const backendLeaving = definePeerNotice<BackendLeavingNotice>('backend.leaving')

export interface LeavingBackends {
  /** The server refused work as one that leaves does. */
  markLeaving (address: string): void
  isLeaving (address: string): boolean
}

export interface LeavingBackendsOptions {
  peers: Pick<Peers, 'listen' | 'notifyAll'>
  clock: Clock
  /**
   * How long the word holds, milliseconds: longer than the list lags, short enough that a server that only
   * refused for a while is used again. @default 10000
   */
  holdMs?: number
}

const HOLD_MS = 10_000

export function createLeavingBackends (options: LeavingBackendsOptions): LeavingBackends {
  const { peers, clock } = options
  const holdMs = options.holdMs ?? HOLD_MS
  const untilMs = new Map<string, number>()

  const forgetOld = (): void => {
    const nowMs = clock.monotonic()
    const old = [...untilMs].filter(([, atMs]) => atMs <= nowMs)
    old.forEach(([address]) => untilMs.delete(address))
  }
  const take = (address: string): void => {
    forgetOld()
    untilMs.set(address, clock.monotonic() + holdMs)
  }
  peers.listen(backendLeaving, departure => take(departure.address))
  return {
    markLeaving: address => {
      take(address)
      peers.notifyAll(backendLeaving, { address })
    },
    isLeaving: address => (untilMs.get(address) ?? 0) > clock.monotonic()
  }
}
