/**
 * Finds peers while the store, which lists them, is unavailable. An instance that starts then would know no peer and
 * could not get the configuration, although every other instance has it.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { PeerNetwork } from './network'

const CONTACT_INTERVAL_MS = 2000

export interface SeedOptions {
  network: Pick<PeerNetwork, 'connectOnce'>
  /** Peer addresses, contacted in turn. */
  seeds: readonly string[]
  /** Whether a peer is still needed. */
  isNeeded: () => boolean
  clock: Clock
}

/** Contacts one seed after another until none is needed any more, or `signal` aborts. */
export function contactSeeds ({ network, seeds, isNeeded, clock }: SeedOptions, signal: AbortSignal): void {
  if (seeds.length === 0) return
  const found = new AbortController()
  let next = 0
  const contactNext = (): void => {
    if (!isNeeded()) return found.abort()
    inBackground('connect-once', network.connectOnce(seeds[next++ % seeds.length]!))
  }
  inBackground('seeds-loop', repeat(clock, CONTACT_INTERVAL_MS, AbortSignal.any([signal, found.signal]), contactNext))
}
