/** Keeps one watch going for each feed, and reads a feed anew where events may have been missed. */
import type { Clock } from '../clock'
import { sleep } from '../clock'
import type { Logger } from '../logger'
import type { Reach } from './reach'
import type { StoreError, WatchFeed } from './store'

/** An answer may come this much after the end of the wait that was asked for, milliseconds. */
const WATCH_GRACE_MS = 1000
/** Pause after a call that failed, doubled with each further one: refused calls are paid for as well, milliseconds. */
const RETRY_MS = 300
const MAX_RETRY_MS = 1200
/** How often a feed that rests looks whether it is wanted, or the store back, milliseconds. */
const REST_MS = 150

export interface WatchCall {
  /** The revision after which events are wanted. */
  after: number
  /** How long the store is to wait for an event, milliseconds. */
  waitMs: number
  /** The call counts as lost after this, milliseconds. */
  timeoutMs: number
  /** Ends the call; nothing is concluded from it then. */
  signal: AbortSignal
}

/** How one call ended; `at` is the revision from which to go on. */
export type WatchEnd =
  | { kind: 'answered', at: number, hadEvents: boolean }
  | { kind: 'history-gone' }
  | { kind: 'cut' }
  | { kind: 'failed', err: StoreError }

export interface FeedCalls {
  /** Reads the feed whole and hands it to its readers; the revision from which to watch, or undefined where a read failed. */
  readAll (feed: WatchFeed): Promise<number | undefined>
  /** One call; events go to the feed's readers. */
  watch (feed: WatchFeed, call: WatchCall): Promise<WatchEnd>
}

export interface FeedsOptions {
  calls: FeedCalls
  reach: Pick<Reach, 'isReachable'>
  clock: Clock
  logger: Logger
}

/** Runs until `signal` aborts. While the store is out of reach the first feed tries, and the others follow when it gets through. */
export function runFeeds (options: FeedsOptions, feeds: readonly WatchFeed[], signal: AbortSignal): void {
  feeds.forEach((feed, index) => { runFeed(options, feed, index === 0, signal) })
}

async function runFeed (options: FeedsOptions, feed: WatchFeed, isProber: boolean, signal: AbortSignal): Promise<void> {
  const { calls, reach, clock } = options
  let at: number | undefined
  let retryMs = RETRY_MS
  const pauseAfterFailure = async (): Promise<void> => {
    await sleep(clock, retryMs, signal)
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)
  }
  while (!signal.aborted) {
    if (!feed.isWanted()) at = undefined
    if (!feed.isWanted() || (reach.isReachable() === false && !isProber)) {
      await sleep(clock, REST_MS, signal)
      continue
    }
    if (at === undefined) {
      at = await calls.readAll(feed)
      if (at === undefined) await pauseAfterFailure()
      continue
    }
    const end = await watchOnce(options, feed, at, signal)
    if (end.kind === 'cut') continue
    if (end.kind === 'failed') {
      await pauseAfterFailure()
      continue
    }
    retryMs = RETRY_MS
    at = end.kind === 'answered' ? Math.max(at, end.at) : undefined
    if (end.kind === 'answered' && end.hadEvents) await sleep(clock, feed.gatherMs(), signal)
  }
}

async function watchOnce ({ calls, clock, logger }: FeedsOptions, feed: WatchFeed, after: number, signal: AbortSignal): Promise<WatchEnd> {
  const waitMs = feed.waitMs()
  const sentMs = clock.monotonic()
  const end = await calls.watch(feed, { after, waitMs, timeoutMs: waitMs + WATCH_GRACE_MS, signal })
  const { prefix } = feed
  if (end.kind === 'failed') logger.info('store-watch-lost', { prefix, after, waitMs, openMs: Math.round(clock.monotonic() - sentMs), reason: end.err.message })
  if (end.kind === 'history-gone') logger.info('store-history-gone', { prefix, after })
  return end
}
