/**
 * Decides when an instance reads and watches the store itself. The leader always does; others receive changes from the
 * leader, and read the store only while they follow none. Failure: a leader ends, and hundreds of followers read
 * everything at the same moment, beyond the store's rate limits. Each therefore waits for a random delay that grows with
 * the number of members. Most follow a leader again by then.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'

/** How long a starting instance waits for information from a peer, milliseconds. */
const START_DELAY_MS = 1000
/** Random delay for each member, and its maximum, milliseconds: withdrawn keys must be known in time. */
const DELAY_PER_MEMBER_MS = 5
const MAX_RANDOM_DELAY_MS = 1000

export interface StoreReadPolicyOptions {
  isLeading: () => boolean
  /** Whether a leader that cannot reach the store has asked this instance to watch for it. */
  isProxy: () => boolean
  /** Whether this instance receives changes from another. */
  isFollowing: () => boolean
  memberCount: () => number
  clock: Clock
  logger: Logger
  /** Returns a number from 0 to below 1. */
  random: () => number
}

export interface StoreReadPolicy {
  readsStore (): boolean
}

/** Where an instance gets changes of the store from. */
type Source = 'store, as leader' | 'store, for the leader' | 'store' | 'peer' | 'nobody'

export function createStoreReadPolicy ({ isLeading, isProxy, isFollowing, memberCount, clock, logger, random }: StoreReadPolicyOptions): StoreReadPolicy {
  const randomDelayMs = (): number => random() * Math.min(MAX_RANDOM_DELAY_MS, memberCount() * DELAY_PER_MEMBER_MS)
  /** Time from which this instance reads the store itself; undefined while it follows another. */
  let readFromMs: number | undefined = clock.monotonic() + START_DELAY_MS + randomDelayMs()
  let source: Source = 'nobody'

  const currentSource = (): Source => {
    if (isLeading()) return 'store, as leader'
    if (isProxy()) return 'store, for the leader'
    if (isFollowing()) {
      readFromMs = undefined
      return 'peer'
    }
    readFromMs ??= clock.monotonic() + randomDelayMs()
    return clock.monotonic() >= readFromMs ? 'store' : 'nobody'
  }
  return {
    readsStore: () => {
      const next = currentSource()
      if (next !== source) logger.info('store-source', { source: next, before: source })
      source = next
      return next !== 'peer' && next !== 'nobody'
    }
  }
}
