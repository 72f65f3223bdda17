/**
 * Keeps one watch going for each feed, and reads a feed anew where events may have been missed. A watch is trusted
 * only as long as nothing speaks against it: a store that falls silent never answers what waited there, and a
 * connection that the network has lost track of stays open and silent.
 */
import type { Clock } from '../clock'
import { repeat, sleep, delayToNextPeriod } from '../clock'
import type { Logger } from '../logger'
import type { StoreConnectivity } from './connectivity'
import type { StoreError, PrefixWatch } from './store'

/** An answer may come this much after the end of the wait that was asked for, milliseconds. */
const WATCH_GRACE_MS = 1000
/** Pause after a call that failed, doubled with each further one: refused calls are paid for as well, milliseconds. */
const RETRY_MS = 300
const MAX_RETRY_MS = 1200
/** How often a feed that rests looks whether it is wanted, or the store back, milliseconds: each look wakes the process. */
const REST_MS = 250
/** A store that is out of reach is asked for what there is, and answers at once when it is back, milliseconds. */
const PROBE_WAIT_MS = 0
/** How often it is looked whether a watch has waited for too long, milliseconds. */
const OVERDUE_CHECK_MS = REST_MS

export interface WatchRequest {
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
export type WatchOutcome =
  | { kind: 'answered', revision: number, hadEvents: boolean }
  | { kind: 'history-gone' }
  | { kind: 'cut' }
  | { kind: 'failed', err: StoreError }

export interface WatchClient {
  /** Reads the feed whole and hands it to its readers; the revision from which to watch, or undefined where a read failed. */
  readAll (feed: PrefixWatch): Promise<number | undefined>
  /** One call; events go to the feed's readers. */
  watch (feed: PrefixWatch, call: WatchRequest): Promise<WatchOutcome>
}

export interface FeedsOptions {
  client: WatchClient
  connectivity: Pick<StoreConnectivity, 'isReachable' | 'onChanged'>
  clock: Clock
  logger: Logger
}

/** Why a watch was ended here. */
type CutReason = 'sent before the store was lost or back' | 'waits for longer than is now wanted' | 'stopped'

interface OpenWatch {
  feed: PrefixWatch
  /** Monotonic milliseconds. */
  sentMs: number
  cut: AbortController
}

interface Run extends FeedsOptions {
  /** Watches that wait for an answer. */
  open: Set<OpenWatch>
}

/** Runs until `signal` aborts. While the store is out of reach the first feed tries, and the others follow when it gets through. */
export function runPrefixWatches (options: FeedsOptions, feeds: readonly PrefixWatch[], signal: AbortSignal): void {
  const open = new Set<OpenWatch>()
  const cutAll = (reason: CutReason): void => open.forEach(watch => watch.cut.abort(reason))
  // A watch may have been sent to wait for longer than is wanted now, and nothing tells whether it is still heard: only
  // a new one brings a change in time.
  const cutOverdue = (): void => [...open]
    .filter(({ feed, sentMs }) => options.clock.monotonic() - sentMs > feed.waitMs() + WATCH_GRACE_MS)
    .forEach(watch => watch.cut.abort('waits for longer than is now wanted'))
  // The answer to what was sent before the store was lost, or before it was back, may never come. Waiting on, an
  // instance would go by old entries until that watch times out, though its other calls are answered. Whatever was
  // lost in the outage is sent again here, from the revision that is known.
  options.connectivity.onChanged(() => cutAll('sent before the store was lost or back'))
  signal.addEventListener('abort', () => cutAll('stopped'), { once: true })
  repeat(options.clock, OVERDUE_CHECK_MS, signal, cutOverdue)
  feeds.forEach((feed, index) => { runFeed({ ...options, open }, feed, index === 0, signal) })
}

async function runFeed (run: Run, feed: PrefixWatch, isProber: boolean, signal: AbortSignal): Promise<void> {
  const { client: calls, connectivity: reach, clock } = run
  let at: number | undefined
  let retryMs = RETRY_MS
  let isFirst = feed.isReadAtStart ?? false
  const pauseAfterFailure = async (): Promise<void> => {
    await sleep(clock, retryMs, signal)
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)
  }
  while (!signal.aborted) {
    const isWanted = feed.isEnabled() || isFirst
    if (!isWanted) at = undefined
    if (!isWanted || (reach.isReachable() === false && !isProber)) {
      await sleep(clock, delayToNextPeriod(clock, REST_MS), signal)
      continue
    }
    if (at === undefined) {
      at = await calls.readAll(feed)
      isFirst &&= at === undefined
      if (at === undefined) await pauseAfterFailure()
      continue
    }
    const end = await watchOnce(run, feed, at)
    if (end.kind === 'cut') continue
    if (end.kind === 'failed') {
      await pauseAfterFailure()
      continue
    }
    retryMs = RETRY_MS
    at = end.kind === 'answered' ? Math.max(at, end.revision) : undefined
    if (end.kind === 'answered' && end.hadEvents) await sleep(clock, feed.batchDelayMs(), signal)
  }
}

async function watchOnce ({ client: calls, connectivity: reach, open, clock, logger }: Run, feed: PrefixWatch, after: number): Promise<WatchOutcome> {
  const waitMs = reach.isReachable() === false ? PROBE_WAIT_MS : feed.waitMs()
  const sentMs = clock.monotonic()
  const cut = new AbortController()
  const watch: OpenWatch = { feed, sentMs, cut }
  open.add(watch)
  const end = await calls.watch(feed, { after, waitMs, timeoutMs: waitMs + WATCH_GRACE_MS, signal: cut.signal })
  open.delete(watch)
  const told = { prefix: feed.prefix, after, waitMs, openMs: Math.round(clock.monotonic() - sentMs) }
  if (end.kind === 'failed') logger.info('store-watch-lost', { ...told, reason: end.err.message })
  if (end.kind === 'cut') logger.info('store-watch-cut', { ...told, reason: cut.signal.reason as CutReason })
  if (end.kind === 'history-gone') logger.info('store-history-gone', { prefix: feed.prefix, after })
  return end
}
