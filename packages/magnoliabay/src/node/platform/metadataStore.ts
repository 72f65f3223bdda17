/**
 * Implements the `Store` interface for the platform's metadata store. One watch call serves all prefixes below that of a
 * `PrefixWatch`, since the store counts each waiting call. The store may be restored from a copy some seconds old
 * (`store/eras.ts`): conditions, leases and watches of an earlier era are never sent, and the outcome of a call that was
 * sent in one era and answered in another counts as unknown.
 */
import { inBackground } from '../background'
import * as v from 'valibot'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import { count, createInputMonitor } from '../inputs'
import type { InputMonitor } from '../inputs'
import type { Logger } from '../logger'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { eraOfCompare, eraOfLease, eraOfRevision, toLeaseId, toRevision, toStoredLeaseId, toStoredRevision } from '../store/eras'
import { runPrefixWatches } from '../store/prefixWatches'
import { createStoreConnectivity } from '../store/connectivity'
import type { Compare, KeyValue, RangeResult, StoreConnectivity, Store, StoreError, StoreResult, Transaction, TransactionResult, WatchRequest, WatchOutcome, WatchEvent, PrefixWatch, WatchHandlers } from '../store'
import { BodyTooLargeError, readText } from '../http/boundedBody'
import { createPool } from './httpPool'
import { addCount, messageOf, parseJson } from '../utils'

/** A call without an answer for this long counts as lost. The store usually answers in milliseconds, slow calls in tenths of a second. */
const CALL_TIMEOUT_MS = 1500
const MAX_CONNECTIONS = 6
/** Events of a watch hold many values, each up to a megabyte and longer as text. */
const MAX_ANSWER_BYTES = 33_554_432
/** How often the number of calls by name is logged: the platform charges for each call. */
const LOG_CALLS_INTERVAL_MS = 10_000

export interface MetadataStoreOptions {
  /** `ip:port` */
  address: string
  /** Checks what the store answers. @default refused answers are neither logged nor counted */
  inputs?: InputMonitor
  clock: Clock
  logger: Logger
}

export interface MetadataStore extends Store, Pick<StoreConnectivity, 'lastContactMs' | 'reachableSinceMs'> {
  /** The era of the store, which rises whenever the store is restored from an older copy; 0 while unknown. */
  era (): number
  /** Starts watching. Prefixes must be registered with `watch` before, each below the prefix of one of `prefixWatches`. */
  start (signal: AbortSignal, prefixWatches: readonly PrefixWatch[]): void
  close (): Promise<void>
}

const wireItem = v.object({
  key: v.string(),
  value: v.nullish(v.string(), ''),
  revision: count,
  created: v.nullish(count, 0),
  lease: v.nullish(count, 0),
  deleted: v.nullish(v.boolean(), false)
})
type WireItem = v.InferOutput<typeof wireItem>

/** An empty list is stated; a body without one would look like a store without entries. */
const wirePage = v.object({ items: v.array(wireItem), 'has-more': v.nullish(v.boolean(), false), at: count })
const wireEvents = v.object({ events: v.array(wireItem), at: count })
const wireRevision = v.object({ revision: count })
const wireLease = v.object({ lease: v.pipe(count, v.minValue(1)) })
const wireTtl = v.object({ 'ttl-ms': count })

interface StoreResponse {
  status: number
  body: unknown
  era: number
}

interface CallOptions {
  body?: object
  /** @default CALL_TIMEOUT_MS */
  timeoutMs?: number
  /** Aborts the call. */
  signal?: AbortSignal
}

interface Subscriber {
  prefix: string
  handlers: WatchHandlers
}

/** Reads the era from the header of a response; 0 when there is none. */
function decodeEra (header: string | string[] | undefined): number {
  const era = Number(header ?? 0)
  return Number.isSafeInteger(era) && era > 0 ? era : 0
}

const encode = (text: string): string => Buffer.from(text, 'utf8').toString('base64')
const decode = (value: string): string => Buffer.from(value, 'base64').toString('utf8')

function toKeyValue (item: WireItem, era: number): KeyValue {
  return { key: item.key, value: decode(item.value), createRevision: toRevision(era, item.created), modRevision: toRevision(era, item.revision), leaseId: toLeaseId(era, item.lease) }
}

function toEvent (item: WireItem, era: number): WatchEvent {
  return { kind: item.deleted ? 'delete' : 'put', key: item.key, value: decode(item.value), createRevision: toRevision(era, item.created), modRevision: toRevision(era, item.revision) }
}

/** Returns the eras that a transaction depends on: those of its conditions and of the leases that it writes under. */
function erasOf ({ compares, writes }: Transaction): number[] {
  const ofCompares = compares.flatMap(compare => eraOfCompare(compare) ?? [])
  const ofLeases = writes.flatMap(op => op.kind === 'put' && op.leaseId !== undefined ? [eraOfLease(op.leaseId)] : [])
  return [...ofCompares, ...ofLeases]
}

/** Returns the name of a call for logs: its method, its path without a lease id, and the key or prefix read or watched. */
function callName (method: string, path: string): string {
  const [call = '', query] = path.split('?')
  const parameters = new URLSearchParams(query)
  const subject = parameters.get('prefix') ?? parameters.get('key') ?? ''
  return `${method} ${call.split('/').slice(0, 3).join('/')} ${subject}`.trim()
}

/** The store compares only the revision of the last change; for an absent key it is 0, like the revision of creation. */
function toPrecondition ({ key, target, equals }: Compare): { key: string, revision: number } | undefined {
  if (typeof equals !== 'number' || target === 'value' || (target === 'create' && equals !== 0)) return undefined
  return { key, revision: toStoredRevision(equals) }
}

export function createMetadataStore (options: MetadataStoreOptions): MetadataStore {
  const { address, inputs = createInputMonitor(), clock, logger } = options
  const pool = createPool(`http://${address}`, { connections: MAX_CONNECTIONS, pipelining: 1, connect: { timeout: CALL_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })
  const subscribers: Subscriber[] = []
  const connectivity = createStoreConnectivity({ address, clock, logger })
  let era = 0
  const recordEra = (receivedEra: number): void => {
    if (receivedEra <= era) return
    const before = era
    era = receivedEra
    // The first era that a process learns of is not a restore.
    if (before === 0) return
    logger.warn('store-set-back', { era, before, outcome: 'everything is read again' })
    connectivity.recordRollback()
  }
  /** Number of calls since the last log line, by name of the call. */
  const callCounts = new Map<string, number>()
  const logCalls = (): void => {
    if (callCounts.size > 0) logger.info('store-calls', { calls: [...callCounts].map(([name, count]) => `${name}: ${count}`) })
    callCounts.clear()
  }

  const call = async (method: 'GET' | 'POST' | 'DELETE', path: string, { body, timeoutMs = CALL_TIMEOUT_MS, signal }: CallOptions = {}): Promise<Result<StoreResponse, StoreError>> => {
    const abort = new AbortController()
    const abortCall = (): void => abort.abort()
    const cancel = clock.schedule(timeoutMs, abortCall)
    signal?.addEventListener('abort', abortCall, { once: true })
    const name = callName(method, path)
    addCount(callCounts, name, 1)
    try {
      const res = await pool.request({
        method,
        path,
        signal: abort.signal,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body)
      })
      const text = await readText(res.body, MAX_ANSWER_BYTES)
      const responseEra = decodeEra(res.headers['store-era'])
      recordEra(responseEra)
      const isRefused = res.statusCode === 503 || res.statusCode === 429
      connectivity.recordCall(!isRefused, name, `status ${res.statusCode}`)
      if (isRefused) return Err({ kind: 'unavailable', message: `The store answered ${res.statusCode}.` })
      if (responseEra < era) return Err({ kind: 'unknown', message: `${name}: answered in an era that has ended` })
      return Ok({ status: res.statusCode, body: parseJson(text), era: responseEra })
    } catch (err) {
      // Aborted by this process: that says nothing about the store.
      if (signal?.aborted) return Err({ kind: 'given-up', message: `${name}: not wanted any more` })
      if (err instanceof BodyTooLargeError) inputs.recordRefused('store-response', { call: name }, err.message)
      const reason = abort.signal.aborted ? 'no answer in time' : messageOf(err)
      connectivity.recordCall(false, name, reason)
      return Err({ kind: 'unknown', message: `${name}: ${reason}` })
    } finally {
      cancel()
      signal?.removeEventListener('abort', abortCall)
    }
  }
  const eraChangedError: StoreError = { kind: 'unknown', message: 'The store went back to an older copy meanwhile.' }
  const leaseLostError: StoreError = { kind: 'lease-lost', message: 'The lease was granted before the store went back to an older copy.' }
  /** Such a lease is lost: the store may since have granted a lease of the same number to another process. */
  const isLeaseOfEarlierEra = (leaseId: string | undefined): boolean => leaseId !== undefined && eraOfLease(leaseId) < era
  const invalidError = (response: Pick<StoreResponse, 'status'>): StoreError => ({ kind: 'invalid', message: `The store answered ${response.status}.` })

  /** Returns the body of a success. Without the expected form it says nothing of the outcome of the call. */
  const readBody = <Schema extends v.GenericSchema>(name: string, schema: Schema, { status, body }: StoreResponse): Result<v.InferOutput<Schema>, StoreError> => {
    if (status !== 200) return Err(invalidError({ status }))
    const checked = inputs.check('store-response', { call: name }, schema, body)
    return checked.ok ? checked : Err<StoreError>({ kind: 'unknown', message: `${name}: ${checked.val.message}` })
  }

  const get = async (key: string): Promise<Result<KeyValue | undefined, StoreError>> => {
    const res = await call('GET', `/-/kv-key?key=${encodeURIComponent(key)}`)
    if (res.err) return res
    if (res.val.status === 404) return Ok(undefined)
    const item = readBody('kv-key', wireItem, res.val)
    return item.ok ? Ok(toKeyValue(item.val, res.val.era)) : item
  }
  const range = async (prefix: string): Promise<Result<RangeResult, StoreError>> => {
    const entries: KeyValue[] = []
    let revision = Infinity
    let firstEra: number | undefined
    let after = ''
    for (;;) {
      const res = await call('GET', `/-/kv-range?prefix=${encodeURIComponent(prefix)}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`)
      if (res.err) return res
      const read = readBody('kv-range', wirePage, res.val)
      if (read.err) return read
      firstEra ??= res.val.era
      if (res.val.era !== firstEra) return Err(eraChangedError)
      const page = read.val
      entries.push(...page.items.map(item => toKeyValue(item, res.val.era)))
      // Pages are not a snapshot: a watch from the first page's revision repeats changes that later pages contain, and misses none.
      revision = Math.min(revision, toRevision(res.val.era, page.at))
      if (!page['has-more'] || page.items.length === 0) return Ok({ entries, revision })
      after = page.items.at(-1)!.key
    }
  }
  const transact = async (transaction: Transaction): Promise<Result<TransactionResult, StoreError>> => {
    const { compares, writes } = transaction
    const preconditions = compares.map(toPrecondition)
    if (preconditions.includes(undefined)) return Err({ kind: 'invalid', message: 'The store compares the revision of the last change only.' })
    // A condition of an earlier era may hold by chance, when another process has since written the key under the same revision.
    if (compares.some(compare => (eraOfCompare(compare) ?? era) < era)) return Ok({ succeeded: false, revision: 0 })
    if (writes.some(op => op.kind === 'put' && isLeaseOfEarlierEra(op.leaseId))) return Err(leaseLostError)
    const res = await call('POST', '/-/kv-txn', {
      body: {
        precondition: preconditions,
        write: writes.flatMap(op => op.kind === 'put' ? [{ key: op.key, value: encode(op.value), ...(op.leaseId === undefined ? {} : { lease: toStoredLeaseId(op.leaseId) }) }] : []),
        remove: writes.flatMap(op => op.kind === 'delete' ? [op.key] : [])
      }
    })
    if (res.err) return res
    const { status } = res.val
    if (erasOf(transaction).some(each => each !== res.val.era)) return Err(eraChangedError)
    if (status === 200) {
      const written = readBody('kv-txn', wireRevision, res.val)
      return written.ok ? Ok({ succeeded: true, revision: toRevision(res.val.era, written.val.revision) }) : written
    }
    if (status === 412) return Ok({ succeeded: false, revision: 0 })
    return Err(status === 404 ? { kind: 'lease-lost', message: 'The lease does not exist any more.' } : invalidError(res.val))
  }
  const grantLease = async (ttlSeconds: number): Promise<Result<string, StoreError>> => {
    const res = await call('POST', '/-/kv-lease', { body: { 'ttl-ms': Math.round(ttlSeconds * 1000) } })
    if (res.err) return res
    const granted = readBody('kv-lease', wireLease, res.val)
    return granted.ok ? Ok(toLeaseId(res.val.era, granted.val.lease)) : granted
  }
  const renewLease = async (leaseId: string): Promise<Result<number, StoreError>> => {
    if (isLeaseOfEarlierEra(leaseId)) return Err(leaseLostError)
    const res = await call('POST', `/-/kv-keep/${toStoredLeaseId(leaseId)}`)
    if (res.err) return res
    if (res.val.status === 404) return Err({ kind: 'lease-lost', message: `Lease ${leaseId} has ended.` })
    if (res.val.era !== eraOfLease(leaseId)) return Err(leaseLostError)
    const renewed = readBody('kv-keep', wireTtl, res.val)
    return renewed.ok ? Ok(renewed.val['ttl-ms'] / 1000) : renewed
  }
  const revokeLease = async (leaseId: string): Promise<Result<void, StoreError>> => {
    if (isLeaseOfEarlierEra(leaseId)) return Ok(undefined)
    const res = await call('DELETE', `/-/kv-lease-end/${toStoredLeaseId(leaseId)}`)
    return res.err ? res : Ok(undefined)
  }

  /** Reads the prefixes of all subscribers of `prefixWatch` at once. Returns the revision to watch from, or undefined when the read failed. */
  const readAll = async (prefixWatch: PrefixWatch): Promise<number | undefined> => {
    const read = await range(prefixWatch.prefix)
    if (read.err) return undefined
    const { entries, revision } = read.val
    subscribers
      .filter(({ prefix }) => prefix.startsWith(prefixWatch.prefix))
      .forEach(({ prefix, handlers }) => deliverTo(prefix, () => handlers.onSnapshot({ revision, entries: entries.filter(entry => entry.key.startsWith(prefix)) })))
    return revision
  }
  /** A value that one subscriber cannot use must not end the watch, which brings the values of all others. */
  const deliverTo = (key: string, handle: () => void): void => {
    try {
      handle()
    } catch (err) {
      inputs.recordRefused('store-value', { key }, messageOf(err))
    }
  }
  const deliver = (items: readonly WireItem[], responseEra: number): void => items.forEach(item =>
    subscribers.filter(({ prefix }) => item.key.startsWith(prefix)).forEach(({ handlers }) => deliverTo(item.key, () => handlers.onEvent(toEvent(item, responseEra)))))
  const watch = async (prefixWatch: PrefixWatch, { after, waitMs, timeoutMs, signal }: WatchRequest): Promise<WatchOutcome> => {
    // The new history may have passed that revision: a watch from there would never report the new changes before it.
    if (eraOfRevision(after) < era) return { kind: 'history-gone' }
    const res = await call('GET', `/-/kv-watch?prefix=${encodeURIComponent(prefixWatch.prefix)}&after=${toStoredRevision(after)}&wait-ms=${waitMs}`, { timeoutMs, signal })
    if (res.err) return res.val.kind === 'given-up' ? { kind: 'cut' } : { kind: 'failed', err: res.val }
    if (res.val.status !== 200 || res.val.era !== eraOfRevision(after)) return { kind: 'history-gone' }
    const read = readBody('kv-watch', wireEvents, res.val)
    if (read.err) return { kind: 'failed', err: read.val }
    const { events, at } = read.val
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
    lastContactMs: connectivity.lastContactMs,
    reachableSinceMs: connectivity.reachableSinceMs,
    start: (signal, prefixWatches) => {
      runPrefixWatches({ client: { readAll, watch }, connectivity, clock, logger }, prefixWatches, signal)
      inBackground('metadata-store-loop', repeat(clock, LOG_CALLS_INTERVAL_MS, signal, logCalls))
    },
    close: () => pool.destroy()
  }
}
