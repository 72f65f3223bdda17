/**
 * Whether this instance still hears of withdrawals.
 *
 * An instance that reaches neither the store nor any peer, or that has just woken from a long pause,
 * doesn't know which keys have been withdrawn meanwhile, and would let their holders in for as long
 * as it is cut off. It stops admitting after {@link MAX_SYNC_AGE_MS}, and starts again once a peer or the store has
 * told it everything that it missed.
 */
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Peers } from '../members'

/** How often the instance makes sure that it hears of withdrawals, in milliseconds. */
const SYNC_INTERVAL_MS = 2000
/** Without contact for this long nobody is admitted, in milliseconds. */
export const MAX_SYNC_AGE_MS = 10_000

export interface WithdrawalFreshnessOptions {
  peers: Peers
  clock: Clock
  /** Catches up with a peer; false when it doesn't answer. */
  syncWith: (memberId: string) => Promise<boolean>
  /** Catches up with the store; false when it doesn't answer. */
  readStore: () => Promise<boolean>
}

export interface WithdrawalFreshness {
  /** Whether what is known here is recent enough to admit callers. */
  isRecent (): boolean
  /** To be called when the store has sent everything. */
  recordSync (): void
  start (signal: AbortSignal): void
}

export function createWithdrawalFreshness (options: WithdrawalFreshnessOptions): WithdrawalFreshness {
  const { peers, clock, syncWith, readStore } = options
  let syncedAtMs = -Infinity
  let peerIndex = 0

  /** Another peer each time, so that news also spreads by way of those that got it. */
  const nextPeer = (): string | undefined => {
    const connected = peers.members().filter(member => member.id !== peers.self.id && peers.isConnected(member.id))
    peerIndex += 1
    return connected[peerIndex % connected.length]?.id
  }
  const syncWithAny = async (): Promise<void> => {
    const startedMs = clock.monotonic()
    const peer = nextPeer()
    const isSynced = (peer !== undefined && await syncWith(peer)) || await readStore()
    if (isSynced) syncedAtMs = startedMs
  }
  return {
    isRecent: () => clock.monotonic() - syncedAtMs <= MAX_SYNC_AGE_MS,
    recordSync: () => { syncedAtMs = clock.monotonic() },
    start: signal => { repeat(clock, SYNC_INTERVAL_MS, signal, syncWithAny) }
  }
}
