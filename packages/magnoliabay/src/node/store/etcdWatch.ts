/** One watch on the gateway: a snapshot of the prefix, then events from the next revision on. */
import { checkInput } from '../inputs'
import type { Pool } from 'undici'
import type { Clock } from '../clock'
import { BodyTooLargeError } from '../http/boundedBody'
import type { Logger } from '../logger'
import { messageOf, parseJson } from '../utils'
import { decodeEvent, prefixEnd, toBase64, watchMessage } from './etcdCodec'
import type { EtcdWatchMessage } from './etcdCodec'
import type { Store, WatchHandlers } from './store'

/**
 * A watch that received nothing for this long, not even a progress notice, is aborted and restarted.
 * Otherwise a watch whose connection was dropped silently by the network would stay open forever, and
 * this instance would keep an old configuration. A new watch starts with a snapshot, which contains
 * the missed changes.
 */
export const WATCH_IDLE_TIMEOUT_MS = 20_000

/** Longest message of a watch: events with many values. */
const MAX_MESSAGE_CHARACTERS = 67_108_864

export interface WatchRun {
  store: Store
  pool: Pool
  prefix: string
  handlers: WatchHandlers
  signal: AbortSignal
  clock: Clock
  logger: Logger
}

/** Runs until the watch ends, and returns the reason. Never rejects. */
export async function runWatch (run: WatchRun): Promise<string> {
  const snapshot = await run.store.range(run.prefix, { priority: 'config' })
  if (snapshot.err) return snapshot.val.message
  if (run.signal.aborted) return 'no longer wanted'
  callHandler(run, run.prefix, () => run.handlers.onSnapshot(snapshot.val))
  const ended = new AbortController()
  const startIdleTimer = (): (() => void) => run.clock.schedule(WATCH_IDLE_TIMEOUT_MS, () => ended.abort('silent'))
  let cancelIdleTimer = startIdleTimer()
  const onLine = (line: string): void => {
    cancelIdleTimer()
    cancelIdleTimer = startIdleTimer()
    const message = checkInput(watchMessage, parseJson(line))
    if (message.err) return ended.abort(`malformed message: ${message.val.message}`)
    const endReason = endReasonOf(message.val)
    if (endReason !== undefined) return ended.abort(endReason)
    deliverEvents(run, message.val)
  }
  try {
    await readWatch(run, snapshot.val.revision + 1, AbortSignal.any([run.signal, ended.signal]), onLine)
    return 'ended by the store'
  } catch (err) {
    return ended.signal.aborted ? String(ended.signal.reason) : messageOf(err)
  } finally {
    cancelIdleTimer()
  }
}

async function readWatch (run: WatchRun, startRevision: number, signal: AbortSignal, onLine: (line: string) => void): Promise<void> {
  const createRequest = {
    key: toBase64(run.prefix),
    range_end: prefixEnd(run.prefix),
    start_revision: String(startRevision),
    progress_notify: true
  }
  const res = await run.pool.request({
    method: 'POST',
    path: '/v3/watch',
    body: JSON.stringify({ create_request: createRequest }),
    headers: { 'content-type': 'application/json' },
    signal
  })
  let pending = ''
  res.body.setEncoding('utf8')
  for await (const chunk of res.body) {
    const lines = (pending + String(chunk)).split('\n')
    pending = lines.pop() ?? ''
    if (pending.length > MAX_MESSAGE_CHARACTERS) throw new BodyTooLargeError(MAX_MESSAGE_CHARACTERS)
    lines.filter(line => line.length > 0).forEach(onLine)
  }
}

/**
 * Returns why a message ends the watch, or undefined if it doesn't. The gateway keeps the connection open after it
 * has cancelled a watch (its start revision was compacted), so without this check the watch would receive nothing
 * until the idle timeout.
 */
function endReasonOf (message: EtcdWatchMessage): string | undefined {
  if (message.error !== undefined) return message.error.message ?? 'refused'
  return message.result?.canceled === true ? 'cancelled by the store' : undefined
}

function deliverEvents (run: WatchRun, message: EtcdWatchMessage): void {
  const events = message.result?.events ?? []
  events.map(decodeEvent).forEach(event => callHandler(run, event.key, () => run.handlers.onEvent(event)))
}

/**
 * Calls a handler; logs and skips a record for which it throws. Otherwise such a record would end the watch,
 * be in the next snapshot as well, and so prevent this instance from receiving any later change of the prefix.
 */
function callHandler (run: WatchRun, key: string, handler: () => void): void {
  try {
    handler()
  } catch (err) {
    run.logger.error('store-record-failed', { key, reason: messageOf(err) })
  }
}
