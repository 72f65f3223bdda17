/**
 * Checks whether this instance still receives withdrawals.
 *
 * An instance that reaches neither the store nor any peer, or that has just resumed after a long pause, doesn't know
 * which keys have been withdrawn meanwhile, and would admit their callers for as long as it is cut off. It refuses
 * callers when its last sync is older than {@link MAX_SYNC_AGE_MS}, and admits them again once a peer or the store has
 * sent everything that it missed.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Peers } from '../members'

/** Interval of syncs with a peer or the store. */
const SYNC_INTERVAL_MS = 2000
/** Callers are refused when the last sync is older than this. */
export const MAX_SYNC_AGE_MS = 10_000

export interface WithdrawalFreshnessOptions {
  peers: Peers
  clock: Clock
  /** Syncs with a peer; resolves to false if it doesn't answer, or cannot know what has been withdrawn. */
  syncWith: (memberId: string) => Promise<boolean>
  /** Reads the store; resolves to false if it doesn't answer. */
  readStore: () => Promise<boolean>
}

export interface WithdrawalFreshness {
  /** Whether the last sync is recent enough to admit callers. */
  isRecent (): boolean
  /** Records that the store has sent a whole snapshot. */
  recordSync (): void
  start (signal: AbortSignal): void
}

export function createWithdrawalFreshness (options: WithdrawalFreshnessOptions): WithdrawalFreshness {
  const { peers, clock, syncWith, readStore } = options
  let syncedAtMs = -Infinity
  let peerIndex = 0

  /** Returns another peer each time, so that withdrawals also spread through the peers that received them. */
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
    start: signal => { inBackground('withdrawal-freshness-loop', repeat(clock, SYNC_INTERVAL_MS, signal, syncWithAny)) }
  }
}
