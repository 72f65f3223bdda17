/**
 * One watch on the gateway: a snapshot of the prefix, then events from the next revision on.
 */
import type { Pool } from 'undici'
import type { Clock } from '../clock'
import { messageOf } from '../utils'
import { decodeEvent, prefixEnd, toBase64 } from './etcdCodec'
import type { EtcdWatchMessage } from './etcdCodec'
import type { Store, WatchHandlers } from './store'

/**
 * A watch that brought nothing for this long, not even a progress notice, is cut and begun anew.
 * Without it a watch whose connection the network has lost track of stays open and silent for good,
 * and this instance would go on with an old configuration. A new watch starts with a snapshot, so
 * nothing that was missed stays missed.
 */
const SILENT_WATCH_MS = 20_000

export interface WatchRun {
  store: Store
  pool: Pool
  prefix: string
  handlers: WatchHandlers
  signal: AbortSignal
  clock: Clock
}

/** Runs until the watch ends, and tells why. Never rejects. */
export async function runWatch (run: WatchRun): Promise<string> {
  const snapshot = await run.store.range(run.prefix, { priority: 'config' })
  if (snapshot.err) return snapshot.val.message
  run.handlers.onSnapshot(snapshot.val)
  const silence = new AbortController()
  let cancelSilence = run.clock.schedule(SILENT_WATCH_MS, () => silence.abort())
  const onLine = (line: string): void => {
    cancelSilence()
    cancelSilence = run.clock.schedule(SILENT_WATCH_MS, () => silence.abort())
    deliver(JSON.parse(line) as EtcdWatchMessage, run.handlers)
  }
  try {
    await readWatch(run, snapshot.val.revision + 1, AbortSignal.any([run.signal, silence.signal]), onLine)
    return 'ended by the store'
  } catch (err) {
    return silence.signal.aborted ? 'silent' : messageOf(err)
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

function deliver (message: EtcdWatchMessage, handlers: WatchHandlers): void {
  const events = message.result?.events ?? []
  events.map(decodeEvent).forEach(handlers.onEvent)
}
