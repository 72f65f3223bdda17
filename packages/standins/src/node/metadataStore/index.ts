/**
 * The part of the users' metadata store protocol that the product uses: keys, ranges, long-polled watches,
 * transactions on revisions, leases. It runs over a {@link KvState}, with the faults that the protocol describes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { createFaultSwitches } from '../faults'
import type { FaultSwitches } from '../faults'
import { asList, asObject, asText, parseObject, readText, sendJson } from '../http/json'
import type { JsonObject } from '../http/json'
import { createListener } from '../http/listener'
import type { Listener } from '../http/listener'
import type { KvState } from '../kv/state'
import { prefixEnd } from '../kv/types'
import type { KvEntry, KvEvent, KvOperation } from '../kv/types'

export interface MetadataStoreFaults {
  /** HTTP status with which every call is refused, or 0 for none. */
  refuseWith: 0 | 429 | 503
  /** Calls are never answered. */
  silent: boolean
  /** Writes take effect, then the connection is cut. */
  loseAnswers: boolean
  /** Watches are answered with status 410, as when the events that they start from are no longer kept. */
  forgetHistory: boolean
  /** Time for which each call waits before it takes effect, milliseconds. */
  delayMs: number
}

export interface MetadataStoreServerOptions {
  state: KvState
  clock: Clock
  /** Maximum number of items on a page of a range. @default 500 */
  pageItems?: number
}

export interface MetadataStoreServer {
  readonly address: string
  readonly faults: FaultSwitches<MetadataStoreFaults>
  readonly listener: Listener
  /** Number of calls so far, by path. */
  readonly callCounts: Map<string, number>
  close (): Promise<void>
}

interface Call {
  path: string
  query: URLSearchParams
  body: JsonObject
}

interface RouteResponse {
  status: number
  body: object
}

const DEFAULT_PAGE_ITEMS = 500
/** Era of a store that was never restored from an older copy. */
const FIRST_ERA = 1
const encode = (text: string): string => Buffer.from(text, 'utf8').toString('base64')

function toItem (entry: KvEntry): object {
  return { key: entry.key, value: encode(entry.value), revision: entry.modRevision, created: entry.createRevision, lease: Number(entry.leaseId) }
}

function toEvent ({ kind, entry }: KvEvent): object {
  return kind === 'delete' ? { key: entry.key, revision: entry.modRevision, deleted: true } : toItem(entry)
}

/** Starts the stand-in on loopback. */
export async function createMetadataStoreServer (options: MetadataStoreServerOptions): Promise<MetadataStoreServer> {
  const { state, clock, pageItems = DEFAULT_PAGE_ITEMS } = options
  const faults = createFaultSwitches<MetadataStoreFaults>({ refuseWith: 0, silent: false, loseAnswers: false, forgetHistory: false, delayMs: 0 })
  const callCounts = new Map<string, number>()

  /** Sends the era at the time of the response, since a watch may have waited since before a restore of the store. */
  const reply = (res: ServerResponse, status: number, body: object): void => sendJson(res, status, body, { 'store-era': String(FIRST_ERA + state.era()) })
  const range = ({ query }: Call): RouteResponse => {
    const prefix = query.get('prefix') ?? ''
    const all = state.range({ key: prefix, end: prefixEnd(prefix) }).filter(entry => entry.key > (query.get('after') ?? ''))
    return { status: 200, body: { items: all.slice(0, pageItems).map(toItem), 'has-more': all.length > pageItems, at: state.revision() } }
  }
  const get = ({ query }: Call): RouteResponse => {
    const entry = state.range({ key: query.get('key') ?? '' })[0]
    return entry === undefined ? { status: 404, body: {} } : { status: 200, body: { ...toItem(entry), at: state.revision() } }
  }
  const transact = ({ body }: Call): RouteResponse => {
    const conditions = asList(body.precondition).map(asObject)
    const puts: KvOperation[] = asList(body.write).map(asObject).map(write => ({
      kind: 'put',
      key: asText(write.key),
      value: Buffer.from(asText(write.value), 'base64').toString('utf8'),
      leaseId: String(write.lease ?? 0)
    }))
    const removals: KvOperation[] = asList(body.remove).map(key => ({ kind: 'delete', range: { key: asText(key) } }))
    const result = state.transact({
      compares: conditions.map(row => ({ key: asText(row.key), target: 'mod', result: 'equal', operand: Number(row.revision) })),
      success: [...puts, ...removals],
      failure: []
    })
    if (result.err) return { status: 404, body: {} }
    if (result.val.succeeded) return { status: 200, body: { revision: result.val.revision } }
    const items = conditions.flatMap(row => state.range({ key: asText(row.key) })).map(toItem)
    return { status: 412, body: { items } }
  }
  const grant = ({ body }: Call): RouteResponse => {
    const ttlMs = Number(body['ttl-ms'])
    const lease = state.grantLease(ttlMs / 1000).unwrap()
    return { status: 200, body: { lease: Number(lease.id), 'ttl-ms': ttlMs } }
  }
  const idOf = (call: Call): string => call.path.split('/').at(-1) ?? ''
  const renew = (call: Call): RouteResponse => {
    const renewed = state.renewLease(idOf(call))
    return renewed.err ? { status: 404, body: {} } : { status: 200, body: { 'ttl-ms': renewed.val.ttlSeconds * 1000 } }
  }
  const endLease = (call: Call): RouteResponse => ({ status: state.revokeLease(idOf(call)).err ? 404 : 200, body: {} })
  const routes: Record<string, (call: Call) => RouteResponse> = {
    'GET /-/kv-key': get,
    'GET /-/kv-range': range,
    'POST /-/kv-txn': transact,
    'POST /-/kv-lease': grant,
    'POST /-/kv-keep': renew,
    'DELETE /-/kv-lease-end': endLease
  }
  const watch = ({ query }: Call, res: ServerResponse): void => {
    if (faults.current.forgetHistory) return reply(res, 410, {})
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const answer = (events: readonly KvEvent[]): void => {
      subscription.kind === 'watching' && subscription.cancel()
      cancelWait()
      reply(res, 200, { events: events.map(toEvent), at: state.revision() })
    }
    const cancelWait = clock.schedule(Number(query.get('wait-ms')), () => answer([]))
    const subscription = state.watch({ key: prefix, end: prefixEnd(prefix) }, after + 1, events => answer(events))
    if (subscription.kind === 'compacted') {
      cancelWait()
      return reply(res, 410, {})
    }
    res.once('close', () => {
      subscription.cancel()
      cancelWait()
    })
    if (subscription.backlog.length > 0) answer(subscription.backlog)
  }
  const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const url = new URL(req.url ?? '/', 'http://store')
    const call: Call = { path: url.pathname, query: url.searchParams, body: parseObject(await readText(req)) }
    callCounts.set(url.pathname, (callCounts.get(url.pathname) ?? 0) + 1)
    if (faults.current.delayMs > 0) await sleep(clock, faults.current.delayMs)
    if (faults.current.silent) return
    if (faults.current.refuseWith !== 0) return reply(res, faults.current.refuseWith, {})
    if (call.path === '/-/kv-watch') return watch(call, res)
    const route = Object.entries(routes).find(([name]) => `${req.method} ${call.path}`.startsWith(name))
    if (route === undefined) return reply(res, 400, {})
    const answer = route[1](call)
    if (faults.current.loseAnswers && req.method !== 'GET') {
      res.destroy()
      return
    }
    reply(res, answer.status, answer.body)
  }
  const listener = await createListener({ handler: (req, res) => { handle(req, res) } })
  return {
    address: listener.address,
    faults,
    listener,
    callCounts,
    close: () => listener.close()
  }
}
