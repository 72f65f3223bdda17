/**
 * The `Store` interface over the platform's metadata store. A watch serves all prefixes of a feed, since the store
 * counts each waiting call.
 */
import { Pool } from 'undici'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import type { Logger } from '../logger'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import type { Compare, KeyValue, RangeResult, Store, StoreError, StoreResult, Transaction, TransactionResult, WatchEvent, WatchFeed, WatchHandlers } from '../store'
import { messageOf, parseJson } from '../utils'

/** A call that nobody answered for this long counts as lost; the store answers in milliseconds, slow ones in tenths of a second. */
const CALL_TIMEOUT_MS = 1500
const WATCH_GRACE_MS = 1000
/** Pause after a call that failed, doubled with each further one: refused calls are paid for as well. */
const RETRY_MS = 300
const MAX_RETRY_MS = 1200
/** How often a feed that rests looks whether it is wanted, or the store back, milliseconds. */
const REST_MS = 150
const MAX_CONNECTIONS = 6

export interface KvStoreOptions {
  /** `ip:port` */
  address: string
  clock: Clock
  logger: Logger
}

export interface KvStore extends Store {
  /** Monotonic milliseconds of the last answer to anything. */
  lastContactMs (): number
  /** Since when the store has answered every call, monotonic milliseconds; -Infinity from the start on, Infinity while it does not. */
  steadySinceMs (): number
  /** Begins to watch; prefixes are to be registered before, each within one of the feeds. */
  start (signal: AbortSignal, feeds: readonly WatchFeed[]): void
  close (): Promise<void>
}

interface WireItem {
  key: string
  value?: string
  revision: number
  created?: number
  lease?: number
  deleted?: boolean
}

interface Answer {
  status: number
  body: unknown
}

interface Subscriber {
  prefix: string
  handlers: WatchHandlers
}

const encode = (text: string): string => Buffer.from(text, 'utf8').toString('base64')
const decode = (value: string | undefined): string => Buffer.from(value ?? '', 'base64').toString('utf8')

function toKeyValue (item: WireItem): KeyValue {
  return { key: item.key, value: decode(item.value), createRevision: item.created ?? 0, modRevision: item.revision, leaseId: String(item.lease ?? 0) }
}

function toEvent (item: WireItem): WatchEvent {
  return { kind: item.deleted === true ? 'delete' : 'put', key: item.key, value: decode(item.value), createRevision: item.created ?? 0, modRevision: item.revision }
}

/** Method and kind of a call, for logs: without query, and without the id of a lease. */
function callName (method: string, path: string): string {
  return `${method} ${path.split('?')[0]!.split('/').slice(0, 3).join('/')}`
}

/** The store's conditions are on the last change alone; an absent key has revision 0 either way. */
function toPrecondition ({ key, target, equals }: Compare): { key: string, revision: number } | undefined {
  if (typeof equals !== 'number' || target === 'value' || (target === 'create' && equals !== 0)) return undefined
  return { key, revision: equals }
}

export function createKvStore (options: KvStoreOptions): KvStore {
  const { address, clock, logger } = options
  const pool = new Pool(`http://${address}`, { connections: MAX_CONNECTIONS, pipelining: 1, connect: { timeout: CALL_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })
  const subscribers: Subscriber[] = []
  let lastContactMs = -Infinity
  let isReachable: boolean | undefined
  let steadySinceMs = Infinity

  const noteReach = (reached: boolean, call: string, reason: string): void => {
    if (reached) lastContactMs = clock.monotonic()
    if (reached === isReachable) return
    // The first contact of a process says nothing of the store having been away.
    const isFirst = isReachable === undefined
    isReachable = reached
    steadySinceMs = reached ? (isFirst ? -Infinity : clock.monotonic()) : Infinity
    logger.info(reached ? 'store-reached' : 'store-lost', { address, call, reason })
  }
  const call = async (method: 'GET' | 'POST' | 'DELETE', path: string, body?: object, timeoutMs = CALL_TIMEOUT_MS): Promise<Result<Answer, StoreError>> => {
    const abort = new AbortController()
    const cancel = clock.schedule(timeoutMs, () => abort.abort())
    const name = callName(method, path)
    try {
      const res = await pool.request({
        method,
        path,
        signal: abort.signal,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body)
      })
      const text = await res.body.text()
      const isRefused = res.statusCode === 503 || res.statusCode === 429
      noteReach(!isRefused, name, `status ${res.statusCode}`)
      if (isRefused) return Err({ kind: 'unavailable', message: `The store answered ${res.statusCode}.` })
      return Ok({ status: res.statusCode, body: parseJson(text) })
    } catch (err) {
      const reason = abort.signal.aborted ? 'no answer in time' : messageOf(err)
      noteReach(false, name, reason)
      return Err({ kind: 'unknown', message: `${name}: ${reason}` })
    } finally {
      cancel()
    }
  }
  const invalid = (answer: Answer): StoreError => ({ kind: 'invalid', message: `The store answered ${answer.status}.` })

  const get = async (key: string): Promise<Result<KeyValue | undefined, StoreError>> => {
    const res = await call('GET', `/-/kv-key?key=${encodeURIComponent(key)}`)
    if (res.err) return res
    if (res.val.status === 404) return Ok(undefined)
    return res.val.status === 200 ? Ok(toKeyValue(res.val.body as WireItem)) : Err(invalid(res.val))
  }
  const range = async (prefix: string): Promise<Result<RangeResult, StoreError>> => {
    const entries: KeyValue[] = []
    let revision = Infinity
    let after = ''
    for (;;) {
      const res = await call('GET', `/-/kv-range?prefix=${encodeURIComponent(prefix)}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`)
      if (res.err) return res
      if (res.val.status !== 200) return Err(invalid(res.val))
      const page = res.val.body as { items: WireItem[], 'has-more'?: boolean, at: number }
      entries.push(...page.items.map(toKeyValue))
      // Pages are not a snapshot: a watch from the first page's revision on repeats what later pages had, and loses nothing.
      revision = Math.min(revision, page.at)
      if (page['has-more'] !== true || page.items.length === 0) return Ok({ entries, revision })
      after = page.items.at(-1)!.key
    }
  }
  const transact = async ({ compares, writes }: Transaction): Promise<Result<TransactionResult, StoreError>> => {
    const preconditions = compares.map(toPrecondition)
    if (preconditions.includes(undefined)) return Err({ kind: 'invalid', message: 'The store compares the revision of the last change only.' })
    const res = await call('POST', '/-/kv-txn', {
      precondition: preconditions,
      write: writes.flatMap(op => op.kind === 'put' ? [{ key: op.key, value: encode(op.value), ...(op.leaseId === undefined ? {} : { lease: Number(op.leaseId) }) }] : []),
      remove: writes.flatMap(op => op.kind === 'delete' ? [op.key] : [])
    })
    if (res.err) return res
    const { status, body } = res.val
    if (status === 200) return Ok({ succeeded: true, revision: (body as { revision: number }).revision })
    if (status === 412) return Ok({ succeeded: false, revision: 0 })
    return Err(status === 404 ? { kind: 'lease-lost', message: 'The lease does not exist any more.' } : invalid(res.val))
  }
  const grantLease = async (ttlSeconds: number): Promise<Result<string, StoreError>> => {
    const res = await call('POST', '/-/kv-lease', { 'ttl-ms': Math.round(ttlSeconds * 1000) })
    if (res.err) return res
    return res.val.status === 200 ? Ok(String((res.val.body as { lease: number }).lease)) : Err(invalid(res.val))
  }
  const renewLease = async (leaseId: string): Promise<Result<number, StoreError>> => {
    const res = await call('POST', `/-/kv-keep/${leaseId}`)
    if (res.err) return res
    if (res.val.status === 404) return Err({ kind: 'lease-lost', message: `Lease ${leaseId} has ended.` })
    return res.val.status === 200 ? Ok((res.val.body as { 'ttl-ms': number })['ttl-ms'] / 1000) : Err(invalid(res.val))
  }
  const revokeLease = async (leaseId: string): Promise<Result<void, StoreError>> => {
    const res = await call('DELETE', `/-/kv-lease-end/${leaseId}`)
    return res.err ? res : Ok(undefined)
  }

  /** Reads every prefix of a feed whole; returns the revision from which to watch, or undefined where a read failed. */
  const snapshot = async (feed: WatchFeed): Promise<number | undefined> => {
    const ofFeed = subscribers.filter(({ prefix }) => prefix.startsWith(feed.prefix))
    const reads = await Promise.all(ofFeed.map(async ({ prefix, handlers }) => ({ handlers, res: await range(prefix) })))
    if (reads.some(({ res }) => res.err)) return undefined
    reads.forEach(({ handlers, res }) => handlers.onSnapshot(res.unwrap()))
    return Math.min(...reads.map(({ res }) => res.unwrap().revision))
  }
  const deliver = (items: readonly WireItem[]): void => items.forEach(item =>
    subscribers.filter(({ prefix }) => item.key.startsWith(prefix)).forEach(({ handlers }) => handlers.onEvent(toEvent(item))))
  type Watched = { kind: 'on', at: number } | { kind: 'history-gone' } | { kind: 'failed' }
  const watchOnce = async (feed: WatchFeed, after: number, signal: AbortSignal): Promise<Watched> => {
    const waitMs = feed.waitMs()
    const sentMs = clock.monotonic()
    const res = await call('GET', `/-/kv-watch?prefix=${encodeURIComponent(feed.prefix)}&after=${after}&wait-ms=${waitMs}`, undefined, waitMs + WATCH_GRACE_MS)
    if (res.err) {
      logger.info('store-watch-lost', { prefix: feed.prefix, after, waitMs, openMs: Math.round(clock.monotonic() - sentMs), reason: res.val.message })
      return { kind: 'failed' }
    }
    if (res.val.status !== 200) {
      logger.info('store-history-gone', { prefix: feed.prefix, after, status: res.val.status })
      return { kind: 'history-gone' }
    }
    const { events, at } = res.val.body as { events: WireItem[], at: number }
    deliver(events)
    if (events.length > 0) await sleep(clock, feed.gatherMs(), signal)
    return { kind: 'on', at: Math.max(after, at) }
  }
  const run = async (feed: WatchFeed, isProber: boolean, signal: AbortSignal): Promise<void> => {
    let at: number | undefined
    let retryMs = RETRY_MS
    const pauseAfterFailure = async (): Promise<void> => {
      await sleep(clock, retryMs, signal)
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)
    }
    while (!signal.aborted) {
      if (!feed.isWanted()) at = undefined
      // While the store is out of reach one feed tries, and the others follow when it gets through.
      if (!feed.isWanted() || (isReachable === false && !isProber)) {
        await sleep(clock, REST_MS, signal)
        continue
      }
      if (at === undefined) {
        at = await snapshot(feed)
        if (at === undefined) await pauseAfterFailure()
        continue
      }
      const watched = await watchOnce(feed, at, signal)
      if (watched.kind === 'failed') {
        await pauseAfterFailure()
        continue
      }
      retryMs = RETRY_MS
      at = watched.kind === 'on' ? watched.at : undefined
    }
  }

  return {
    get: get as (key: string) => StoreResult<KeyValue | undefined>,
    range,
    transact,
    grantLease,
    renewLease,
    revokeLease,
    watch: (prefix, handlers) => { subscribers.push({ prefix, handlers }) },
    lastContactMs: () => lastContactMs,
    steadySinceMs: () => steadySinceMs,
    start: (signal, feeds) => feeds.forEach((feed, index) => { run(feed, index === 0, signal) }),
    close: () => pool.destroy()
  }
}
