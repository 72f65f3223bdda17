/**
 * One watch on the gateway: a snapshot of the prefix, then events from the next revision on.
 */
import type { Pool } from 'undici'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { messageOf, parseJson } from '../utils'
import { decodeEvent, prefixEnd, toBase64 } from './etcdCodec'
import type { EtcdWatchMessage } from './etcdCodec'
import type { Store, WatchHandlers } from './store'

/**
 * A watch that brought nothing for this long, not even a progress notice, is cut and begun anew.
 * Without it a watch whose connection the network has lost track of stays open and silent for good,
 * and this instance would go on with an old configuration. A new watch starts with a snapshot, so
 * nothing that was missed stays missed.
 */
export const WATCH_IDLE_TIMEOUT_MS = 20_000

export interface WatchRun {
  store: Store
  pool: Pool
  prefix: string
  handlers: WatchHandlers
  signal: AbortSignal
  clock: Clock
  logger: Logger
}

/** Runs until the watch ends, and tells why. Never rejects. */
export async function runWatch (run: WatchRun): Promise<string> {
  const snapshot = await run.store.range(run.prefix, { priority: 'config' })
  if (snapshot.err) return snapshot.val.message
  if (run.signal.aborted) return 'no longer wanted'
  guarded(run, run.prefix, () => run.handlers.onSnapshot(snapshot.val))
  const over = new AbortController()
  const listenOn = (): (() => void) => run.clock.schedule(WATCH_IDLE_TIMEOUT_MS, () => over.abort('silent'))
  let cancelSilence = listenOn()
  const onLine = (line: string): void => {
    cancelSilence()
    cancelSilence = listenOn()
    const message = parseJson(line) as EtcdWatchMessage | undefined
    const end = message === undefined ? 'not JSON' : endOf(message)
    if (end !== undefined) return over.abort(end)
    deliver(run, message!)
  }
  try {
    await readWatch(run, snapshot.val.revision + 1, AbortSignal.any([run.signal, over.signal]), onLine)
    return 'ended by the store'
  } catch (err) {
    return over.signal.aborted ? String(over.signal.reason) : messageOf(err)
  } finally {
    cancelSilence()
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
    lines.filter(line => line.length > 0).forEach(onLine)
  }
}

/**
 * Why a message ends the watch. The gateway keeps the connection open after it has cancelled a watch
 * (its start was compacted away), so without this the watch would hear nothing until it counts as silent.
 */
function endOf (message: EtcdWatchMessage): string | undefined {
  if (message.error !== undefined) return message.error.message ?? 'refused'
  return message.result?.canceled === true ? 'cancelled by the store' : undefined
}

function deliver (run: WatchRun, message: EtcdWatchMessage): void {
  const events = message.result?.events ?? []
  events.map(decodeEvent).forEach(event => guarded(run, event.key, () => run.handlers.onEvent(event)))
}

/**
 * A record that its reader chokes on would end the watch, be in the next snapshot as well, and so keep
 * every later change of that prefix from this instance. It is logged and passed over instead.
 */
function guarded (run: WatchRun, key: string, handle: () => void): void {
  try {
    handle()
  } catch (err) {
    run.logger.error('store-record-failed', { key, reason: messageOf(err) })
  }
}
