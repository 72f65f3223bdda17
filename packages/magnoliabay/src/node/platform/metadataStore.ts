/**
 * The `Store` interface over the platform's metadata store. A watch serves all prefixes of a feed, since the store
 * counts each waiting call. The store may go on from a copy some seconds old (`store/eras.ts`): conditions, leases and
 * watches of an earlier era are never sent, and what was sent in one era and answered in another counts as unknown.
 */
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { eraOfCompare, eraOfLease, eraOfRevision, toLeaseId, toRevision, toStoredLeaseId, toStoredRevision } from '../store/eras'
import { runPrefixWatches } from '../store/prefixWatches'
import { createStoreConnectivity } from '../store/connectivity'
import type { Compare, KeyValue, RangeResult, StoreConnectivity, Store, StoreError, StoreResult, Transaction, TransactionResult, WatchRequest, WatchOutcome, WatchEvent, PrefixWatch, WatchHandlers } from '../store'
import { createPool } from './httpPool'
import { addCount, messageOf, parseJson } from '../utils'

/** A call that nobody answered for this long counts as lost; the store answers in milliseconds, slow ones in tenths of a second. */
const CALL_TIMEOUT_MS = 1500
const MAX_CONNECTIONS = 6
/** How often it is told what calls were made for: each is paid for. */
const TELL_CALLS_PERIOD_MS = 10_000

export interface MetadataStoreOptions {
  /** `ip:port` */
  address: string
  clock: Clock
  logger: Logger
}

export interface MetadataStore extends Store, Pick<StoreConnectivity, 'lastContactMs' | 'reachableSinceMs'> {
  /** Rises whenever the store has gone on from an older copy of itself; 0 while none is known. */
  era (): number
  /** Begins to watch; prefixes are to be registered before, each within one of the feeds. */
  start (signal: AbortSignal, feeds: readonly PrefixWatch[]): void
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
  era: number
}

interface CallOptions {
  body?: object
  /** @default CALL_TIMEOUT_MS */
  timeoutMs?: number
  /** Ends the call from here. */
  signal?: AbortSignal
}

interface Subscriber {
  prefix: string
  handlers: WatchHandlers
}

/** Of the store that gave an answer; 0 where it names none. */
function decodeEra (header: string | string[] | undefined): number {
  const era = Number(header ?? 0)
  return Number.isSafeInteger(era) && era > 0 ? era : 0
}

const encode = (text: string): string => Buffer.from(text, 'utf8').toString('base64')
const decode = (value: string | undefined): string => Buffer.from(value ?? '', 'base64').toString('utf8')

function toKeyValue (item: WireItem, era: number): KeyValue {
  return { key: item.key, value: decode(item.value), createRevision: toRevision(era, item.created ?? 0), modRevision: toRevision(era, item.revision), leaseId: toLeaseId(era, item.lease ?? 0) }
}

function toEvent (item: WireItem, era: number): WatchEvent {
  return { kind: item.deleted === true ? 'delete' : 'put', key: item.key, value: decode(item.value), createRevision: toRevision(era, item.created ?? 0), modRevision: toRevision(era, item.revision) }
}

/** Eras of all that a transaction rests on: of its conditions, and of the leases that it writes under. */
function erasOf ({ compares, writes }: Transaction): number[] {
  const ofCompares = compares.flatMap(compare => eraOfCompare(compare) ?? [])
  const ofLeases = writes.flatMap(op => op.kind === 'put' && op.leaseId !== undefined ? [eraOfLease(op.leaseId)] : [])
  return [...ofCompares, ...ofLeases]
}

/** Method and kind of a call, for logs: without the id of a lease, and with what is read or watched. */
function callName (method: string, path: string): string {
  const [call = '', query] = path.split('?')
  const parameters = new URLSearchParams(query)
  const subject = parameters.get('prefix') ?? parameters.get('key') ?? ''
  return `${method} ${call.split('/').slice(0, 3).join('/')} ${subject}`.trim()
}

/** The store's conditions are on the last change alone; an absent key has revision 0 either way. */
function toPrecondition ({ key, target, equals }: Compare): { key: string, revision: number } | undefined {
  if (typeof equals !== 'number' || target === 'value' || (target === 'create' && equals !== 0)) return undefined
  return { key, revision: toStoredRevision(equals) }
}

export function createMetadataStore (options: MetadataStoreOptions): MetadataStore {
  const { address, clock, logger } = options
  const pool = createPool(`http://${address}`, { connections: MAX_CONNECTIONS, pipelining: 1, connect: { timeout: CALL_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })
  const subscribers: Subscriber[] = []
  const reach = createStoreConnectivity({ address, clock, logger })
  let era = 0
  const noteEra = (answered: number): void => {
    if (answered <= era) return
    const before = era
    era = answered
    // The first one that a process hears of is no news.
    if (before === 0) return
    logger.warn('store-set-back', { era, before, outcome: 'everything is read anew' })
    reach.recordRollback()
  }
  /** Since they were last told, by name. */
  const calls = new Map<string, number>()
  const tellCalls = (): void => {
    if (calls.size > 0) logger.info('store-calls', { calls: [...calls].map(([name, count]) => `${name}: ${count}`) })
    calls.clear()
  }

  const call = async (method: 'GET' | 'POST' | 'DELETE', path: string, { body, timeoutMs = CALL_TIMEOUT_MS, signal }: CallOptions = {}): Promise<Result<Answer, StoreError>> => {
    const abort = new AbortController()
    const end = (): void => abort.abort()
    const cancel = clock.schedule(timeoutMs, end)
    signal?.addEventListener('abort', end, { once: true })
    const name = callName(method, path)
    addCount(calls, name, 1)
    try {
      const res = await pool.request({
        method,
        path,
        signal: abort.signal,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body)
      })
      const text = await res.body.text()
      const answeredEra = decodeEra(res.headers['store-era'])
      noteEra(answeredEra)
      const isRefused = res.statusCode === 503 || res.statusCode === 429
      reach.recordCall(!isRefused, name, `status ${res.statusCode}`)
      if (isRefused) return Err({ kind: 'unavailable', message: `The store answered ${res.statusCode}.` })
      if (answeredEra < era) return Err({ kind: 'unknown', message: `${name}: answered in an era that has ended` })
      return Ok({ status: res.statusCode, body: parseJson(text), era: answeredEra })
    } catch (err) {
      // Ended from here: that says nothing of the store.
      if (signal?.aborted) return Err({ kind: 'given-up', message: `${name}: not wanted any more` })
      const reason = abort.signal.aborted ? 'no answer in time' : messageOf(err)
      reach.recordCall(false, name, reason)
      return Err({ kind: 'unknown', message: `${name}: ${reason}` })
    } finally {
      cancel()
      signal?.removeEventListener('abort', end)
    }
  }
  const acrossEras: StoreError = { kind: 'unknown', message: 'The store went back to an older copy meanwhile.' }
  const leaseGone: StoreError = { kind: 'lease-lost', message: 'The lease was granted before the store went back to an older copy.' }
  /** Its number may be another's by now. */
  const isLeaseGone = (leaseId: string | undefined): boolean => leaseId !== undefined && eraOfLease(leaseId) < era
  const invalid = (answer: Pick<Answer, 'status'>): StoreError => ({ kind: 'invalid', message: `The store answered ${answer.status}.` })

  const get = async (key: string): Promise<Result<KeyValue | undefined, StoreError>> => {
    const res = await call('GET', `/-/kv-key?key=${encodeURIComponent(key)}`)
    if (res.err) return res
    if (res.val.status === 404) return Ok(undefined)
    return res.val.status === 200 ? Ok(toKeyValue(res.val.body as WireItem, res.val.era)) : Err(invalid(res.val))
  }
  const range = async (prefix: string): Promise<Result<RangeResult, StoreError>> => {
    const entries: KeyValue[] = []
    let revision = Infinity
    let firstEra: number | undefined
    let after = ''
    for (;;) {
      const res = await call('GET', `/-/kv-range?prefix=${encodeURIComponent(prefix)}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`)
      if (res.err) return res
      if (res.val.status !== 200) return Err(invalid(res.val))
      firstEra ??= res.val.era
      if (res.val.era !== firstEra) return Err(acrossEras)
      const page = res.val.body as { items: WireItem[], 'has-more'?: boolean, at: number }
      entries.push(...page.items.map(item => toKeyValue(item, res.val.era)))
      // Pages are not a snapshot: a watch from the first page's revision on repeats what later pages had, and loses nothing.
      revision = Math.min(revision, toRevision(res.val.era, page.at))
      if (page['has-more'] !== true || page.items.length === 0) return Ok({ entries, revision })
      after = page.items.at(-1)!.key
    }
  }
  const transact = async (transaction: Transaction): Promise<Result<TransactionResult, StoreError>> => {
    const { compares, writes } = transaction
    const preconditions = compares.map(toPrecondition)
    if (preconditions.includes(undefined)) return Err({ kind: 'invalid', message: 'The store compares the revision of the last change only.' })
    // Such a condition may hold by chance, for what another has written since under the same revision.
    if (compares.some(compare => (eraOfCompare(compare) ?? era) < era)) return Ok({ succeeded: false, revision: 0 })
    if (writes.some(op => op.kind === 'put' && isLeaseGone(op.leaseId))) return Err(leaseGone)
    const res = await call('POST', '/-/kv-txn', {
      body: {
        precondition: preconditions,
        write: writes.flatMap(op => op.kind === 'put' ? [{ key: op.key, value: encode(op.value), ...(op.leaseId === undefined ? {} : { lease: toStoredLeaseId(op.leaseId) }) }] : []),
        remove: writes.flatMap(op => op.kind === 'delete' ? [op.key] : [])
      }
    })
    if (res.err) return res
    const { status, body } = res.val
    if (erasOf(transaction).some(each => each !== res.val.era)) return Err(acrossEras)
    if (status === 200) return Ok({ succeeded: true, revision: toRevision(res.val.era, (body as { revision: number }).revision) })
    if (status === 412) return Ok({ succeeded: false, revision: 0 })
    return Err(status === 404 ? { kind: 'lease-lost', message: 'The lease does not exist any more.' } : invalid(res.val))
  }
  const grantLease = async (ttlSeconds: number): Promise<Result<string, StoreError>> => {
    const res = await call('POST', '/-/kv-lease', { body: { 'ttl-ms': Math.round(ttlSeconds * 1000) } })
    if (res.err) return res
    return res.val.status === 200 ? Ok(toLeaseId(res.val.era, (res.val.body as { lease: number }).lease)) : Err(invalid(res.val))
  }
  const renewLease = async (leaseId: string): Promise<Result<number, StoreError>> => {
    if (isLeaseGone(leaseId)) return Err(leaseGone)
    const res = await call('POST', `/-/kv-keep/${toStoredLeaseId(leaseId)}`)
    if (res.err) return res
    if (res.val.status === 404) return Err({ kind: 'lease-lost', message: `Lease ${leaseId} has ended.` })
    if (res.val.era !== eraOfLease(leaseId)) return Err(leaseGone)
    return res.val.status === 200 ? Ok((res.val.body as { 'ttl-ms': number })['ttl-ms'] / 1000) : Err(invalid(res.val))
  }
  const revokeLease = async (leaseId: string): Promise<Result<void, StoreError>> => {
    if (isLeaseGone(leaseId)) return Ok(undefined)
    const res = await call('DELETE', `/-/kv-lease-end/${toStoredLeaseId(leaseId)}`)
    return res.err ? res : Ok(undefined)
  }

  /** Reads all prefixes of a feed in one; returns the revision from which to watch, or undefined where the read failed. */
  const readAll = async (feed: PrefixWatch): Promise<number | undefined> => {
    const read = await range(feed.prefix)
    if (read.err) return undefined
    const { entries, revision } = read.val
    subscribers
      .filter(({ prefix }) => prefix.startsWith(feed.prefix))
      .forEach(({ prefix, handlers }) => handlers.onSnapshot({ revision, entries: entries.filter(entry => entry.key.startsWith(prefix)) }))
    return revision
  }
  const deliver = (items: readonly WireItem[], answeredEra: number): void => items.forEach(item =>
    subscribers.filter(({ prefix }) => item.key.startsWith(prefix)).forEach(({ handlers }) => handlers.onEvent(toEvent(item, answeredEra))))
  const watch = async (feed: PrefixWatch, { after, waitMs, timeoutMs, signal }: WatchRequest): Promise<WatchOutcome> => {
    // The new history may have passed that revision: its changes below would never be told.
    if (eraOfRevision(after) < era) return { kind: 'history-gone' }
    const res = await call('GET', `/-/kv-watch?prefix=${encodeURIComponent(feed.prefix)}&after=${toStoredRevision(after)}&wait-ms=${waitMs}`, { timeoutMs, signal })
    if (res.err) return res.val.kind === 'given-up' ? { kind: 'cut' } : { kind: 'failed', err: res.val }
    if (res.val.status !== 200 || res.val.era !== eraOfRevision(after)) return { kind: 'history-gone' }
    const { events, at } = res.val.body as { events: WireItem[], at: number }
    deliver(events, res.val.era)
    return { kind: 'answered', revision: toRevision(res.val.era, at), hadEvents: events.length > 0 }
  }

  return {
    get: get as (key: string) => StoreResult<KeyValue | undefined>,
    range,
    transact,
    grantLease,
    renewLease,
    revokeLease,
    watch: (prefix, handlers) => { subscribers.push({ prefix, handlers }) },
    era: () => era,
    lastContactMs: reach.lastContactMs,
    reachableSinceMs: reach.reachableSinceMs,
    start: (signal, feeds) => {
      runPrefixWatches({ client: { readAll, watch }, connectivity: reach, clock, logger }, feeds, signal)
      repeat(clock, TELL_CALLS_PERIOD_MS, signal, tellCalls)
    },
    close: () => pool.destroy()
  }
}
