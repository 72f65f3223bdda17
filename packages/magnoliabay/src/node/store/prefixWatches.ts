/**
 * Runs one watch at a time per key prefix, and reads the whole prefix again where events may have been missed. A watch
 * is aborted and restarted when it may no longer get a response: a store that stops responding never answers the calls
 * that were waiting there, and a connection that the network dropped silently stays open.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { repeat, sleep, delayToNextPeriod } from '../clock'
import type { Logger } from '../logger'
import type { StoreConnectivity } from './connectivity'
import type { StoreError, PrefixWatch } from './store'
import { messageOf } from '../utils'

/** How long after the requested wait a response may still arrive, in milliseconds. */
const WATCH_GRACE_MS = 1000
/**
 * Delay after a failed call, in milliseconds; doubled after each further one, since the platform charges for refused
 * calls as well.
 */
const MIN_RETRY_DELAY_MS = 300
const MAX_RETRY_DELAY_MS = 1200
/** Interval at which a paused watch checks whether it is enabled or the store is back, in milliseconds. Each check wakes the process. */
const IDLE_CHECK_INTERVAL_MS = 250
/** Requested wait of a watch while the store is unreachable, in milliseconds: with 0 the store responds at once when it is back. */
const PROBE_WAIT_MS = 0
/** Interval of the check for watches that have waited too long, in milliseconds. */
const OVERDUE_CHECK_INTERVAL_MS = IDLE_CHECK_INTERVAL_MS

export interface WatchRequest {
  /** Revision after which events are requested. */
  after: number
  /** How long the store waits for an event, in milliseconds. */
  waitMs: number
  /** Timeout of the call, in milliseconds. */
  timeoutMs: number
  /** Aborts the call; its outcome then says nothing about the store. */
  signal: AbortSignal
}

/** How one call ended; `revision` is the one from which to continue. */
export type WatchOutcome =
  | { kind: 'answered', revision: number, hadEvents: boolean }
  | { kind: 'history-gone' }
  | { kind: 'cut' }
  | { kind: 'failed', err: StoreError }

export interface WatchClient {
  /** Reads the whole prefix and passes it to its handlers. Returns the revision from which to watch, or undefined if a read failed. */
  readAll (prefixWatch: PrefixWatch): Promise<number | undefined>
  /** Makes one watch call and passes its events to the handlers of the prefix. */
  watch (prefixWatch: PrefixWatch, call: WatchRequest): Promise<WatchOutcome>
}

export interface PrefixWatchesOptions {
  client: WatchClient
  connectivity: Pick<StoreConnectivity, 'isReachable' | 'onChanged'>
  clock: Clock
  logger: Logger
}

/** Reason for which this instance aborted a watch. */
type CutReason = 'sent before the store was lost or reachable again' | 'waits longer than is now configured' | 'stopped'

interface OpenWatch {
  prefixWatch: PrefixWatch
  /** Time at which the call was sent, in monotonic milliseconds. */
  sentMs: number
  controller: AbortController
}

interface RunContext extends PrefixWatchesOptions {
  /** Watches that wait for a response. */
  openWatches: Set<OpenWatch>
}

/** Runs until `signal` aborts. While the store is unreachable, only the first watch retries; the others resume after it succeeds. */
export function runPrefixWatches (options: PrefixWatchesOptions, prefixWatches: readonly PrefixWatch[], signal: AbortSignal): void {
  const openWatches = new Set<OpenWatch>()
  const abortAll = (reason: CutReason): void => openWatches.forEach(watch => watch.controller.abort(reason))
  // A watch may have been sent with a longer wait than is configured now, and nothing shows whether its connection
  // still works. Only a new watch delivers a change in time.
  const abortOverdue = (): void => [...openWatches]
    .filter(({ prefixWatch, sentMs }) => options.clock.monotonic() - sentMs > prefixWatch.waitMs() + WATCH_GRACE_MS)
    .forEach(watch => watch.controller.abort('waits longer than is now configured'))
  // A call that was sent before the store was lost, or before it was back, may never get a response. If it kept waiting,
  // the instance would act on old entries until the watch times out, although its other calls succeed. The new watch
  // continues from the last known revision and receives the events missed in the outage.
  options.connectivity.onChanged(() => abortAll('sent before the store was lost or reachable again'))
  signal.addEventListener('abort', () => abortAll('stopped'), { once: true })
  inBackground('prefix-watches-loop', repeat(options.clock, OVERDUE_CHECK_INTERVAL_MS, signal, abortOverdue))
  prefixWatches.forEach((prefixWatch, index) => {
    runPrefixWatch({ ...options, openWatches }, prefixWatch, index === 0, signal)
      .catch((err: unknown) => options.logger.error('store-watch-fault', { prefix: prefixWatch.prefix, reason: messageOf(err) }))
  })
}

async function runPrefixWatch (context: RunContext, prefixWatch: PrefixWatch, isProbing: boolean, signal: AbortSignal): Promise<void> {
  const { client, connectivity, clock } = context
  let revision: number | undefined
  let retryDelayMs = MIN_RETRY_DELAY_MS
  let isInitialReadDue = prefixWatch.isReadAtStart ?? false
  const pauseAfterFailure = async (): Promise<void> => {
    await sleep(clock, retryDelayMs, signal)
    retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2)
  }
  while (!signal.aborted) {
    const isNeeded = prefixWatch.isEnabled() || isInitialReadDue
    if (!isNeeded) revision = undefined
    if (!isNeeded || (connectivity.isReachable() === false && !isProbing)) {
      await sleep(clock, delayToNextPeriod(clock, IDLE_CHECK_INTERVAL_MS), signal)
      continue
    }
    if (revision === undefined) {
      revision = await client.readAll(prefixWatch)
      isInitialReadDue &&= revision === undefined
      if (revision === undefined) await pauseAfterFailure()
      continue
    }
    const outcome = await watchOnce(context, prefixWatch, revision)
    if (outcome.kind === 'cut') continue
    if (outcome.kind === 'failed') {
      await pauseAfterFailure()
      continue
    }
    retryDelayMs = MIN_RETRY_DELAY_MS
    revision = outcome.kind === 'answered' ? Math.max(revision, outcome.revision) : undefined
    if (outcome.kind === 'answered' && outcome.hadEvents) await sleep(clock, prefixWatch.batchDelayMs(), signal)
  }
}

async function watchOnce ({ client, connectivity, openWatches, clock, logger }: RunContext, prefixWatch: PrefixWatch, after: number): Promise<WatchOutcome> {
  const waitMs = connectivity.isReachable() === false ? PROBE_WAIT_MS : prefixWatch.waitMs()
  const sentMs = clock.monotonic()
  const controller = new AbortController()
  const openWatch: OpenWatch = { prefixWatch, sentMs, controller }
  openWatches.add(openWatch)
  const outcome = await client.watch(prefixWatch, { after, waitMs, timeoutMs: waitMs + WATCH_GRACE_MS, signal: controller.signal })
  openWatches.delete(openWatch)
  const logFields = { prefix: prefixWatch.prefix, after, waitMs, openMs: Math.round(clock.monotonic() - sentMs) }
  if (outcome.kind === 'failed') logger.info('store-watch-lost', { ...logFields, reason: outcome.err.message })
  if (outcome.kind === 'cut') logger.info('store-watch-cut', { ...logFields, reason: controller.signal.reason as CutReason })
  if (outcome.kind === 'history-gone') logger.info('store-history-gone', { prefix: prefixWatch.prefix, after })
  return outcome
}
