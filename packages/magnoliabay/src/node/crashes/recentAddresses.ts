/**
 * Tells which addresses are those of backend servers, also of such as left the list a moment ago: the entry of a server that has
 * crashed may be gone before its crash is confirmed. Nothing else is connected to for another instance.
 */
import type { Clock } from '../clock'

/** A crash is confirmed within a second or two, milliseconds. */
const RETENTION_MS = 10_000

export interface RecentAddressesOptions {
  /** Addresses that are listed now. */
  addresses: () => readonly string[]
  /** Registers a listener for changes of the list. */
  onChanged: (listener: () => void) => unknown
  clock: Clock
}

/** Returns a function that tells whether a server is, or was lately, listed at the address. */
export function createRecentAddresses ({ addresses, onChanged, clock }: RecentAddressesOptions): (address: string) => boolean {
  let listed: ReadonlySet<string> = new Set(addresses())
  /** Monotonic milliseconds. */
  const departedMs = new Map<string, number>()
  onChanged(() => {
    const now = clock.monotonic()
    departedMs.forEach((atMs, address) => { if (now - atMs > RETENTION_MS) departedMs.delete(address) })
    const next = new Set(addresses())
    listed.forEach(address => { if (!next.has(address)) departedMs.set(address, now) })
    listed = next
  })
  return address => listed.has(address) || clock.monotonic() - (departedMs.get(address) ?? -Infinity) <= RETENTION_MS
}
