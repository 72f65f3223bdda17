/**
 * When an instance reads and watches the store itself. The leader always does; others are told what changes there, and do
 * so only when nobody tells them. Failure: a leader ends, and hundreds that followed it ask for everything in the same
 * moment, beyond the store's rates; so each waits a while of its own, longer the more there are. Most are told anew by then.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'

/** After its start an instance waits this long for a peer to tell it, milliseconds. */
const START_PATIENCE_MS = 1000
/** Spread over members, milliseconds for each and at most: withdrawn keys must be known in time. */
const SPREAD_PER_MEMBER_MS = 5
const MAX_SPREAD_MS = 1000

export interface StoreTurnOptions {
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

export interface StoreTurn {
  isOwn (): boolean
}

/** Who tells an instance what changes in the store. */
type Source = 'store, as leader' | 'store, for the leader' | 'store' | 'peer' | 'nobody'

export function createStoreTurn ({ isLeading, isProxy, isFollowing, memberCount, clock, logger, random }: StoreTurnOptions): StoreTurn {
  const spreadMs = (): number => random() * Math.min(MAX_SPREAD_MS, memberCount() * SPREAD_PER_MEMBER_MS)
  /** From when on this instance asks itself; undefined while it is told. */
  let fromMs: number | undefined = clock.monotonic() + START_PATIENCE_MS + spreadMs()
  let source: Source = 'nobody'

  const sourceNow = (): Source => {
    if (isLeading()) return 'store, as leader'
    if (isProxy()) return 'store, for the leader'
    if (isFollowing()) {
      fromMs = undefined
      return 'peer'
    }
    fromMs ??= clock.monotonic() + spreadMs()
    return clock.monotonic() >= fromMs ? 'store' : 'nobody'
  }
  return {
    isOwn: () => {
      const next = sourceNow()
      if (next !== source) logger.info('store-source', { source: next, before: source })
      source = next
      return next !== 'peer' && next !== 'nobody'
    }
  }
}
