/**
 * When an instance reads and watches the store itself. The leader always does; others are told what changes there, and do
 * so only when nobody tells them. Failure: a leader ends, and hundreds that followed it ask for everything in the same
 * moment, beyond the store's rates; so each waits a while of its own, longer the more there are. Most are told anew by then.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'

/** After its start an instance waits this long for a peer to tell it, milliseconds. */
const START_DELAY_MS = 1000
/** Spread over members, milliseconds for each and at most: withdrawn keys must be known in time. */
const DELAY_PER_MEMBER_MS = 5
const MAX_RANDOM_DELAY_MS = 1000

export interface StoreReadPolicyOptions {
  isLeading: () => boolean
  /** A leader out of the store's reach has asked this instance to watch for it. */
  isProxy: () => boolean
  /** Another tells this instance what changes. */
  isFollowing: () => boolean
  memberCount: () => number
  clock: Clock
  logger: Logger
  /** 0 to below 1. */
  random: () => number
}

export interface StoreReadPolicy {
  readsStore (): boolean
}

/** Who tells an instance what changes in the store. */
type Source = 'store, as leader' | 'store, for the leader' | 'store' | 'peer' | 'nobody'

export function createStoreReadPolicy ({ isLeading, isProxy, isFollowing, memberCount, clock, logger, random }: StoreReadPolicyOptions): StoreReadPolicy {
  const randomDelayMs = (): number => random() * Math.min(MAX_RANDOM_DELAY_MS, memberCount() * DELAY_PER_MEMBER_MS)
  /** From when on this instance asks itself; undefined while it is told. */
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
