/**
 * Client of the platform's key-value service: the etcd v3 HTTP/JSON gateway, as published.
 */
import { Pool, buildConnector } from 'undici'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import type { Logger } from '../logger'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { decodeKeyValue, encodeRange, encodeTransaction } from './etcdCodec'
import type { EtcdHeader, EtcdRangeResponse, EtcdTxnResponse } from './etcdCodec'
import { errorOfAnswer, errorOfThrown } from './etcdErrors'
import type { EtcdErrorBody } from './etcdErrors'
import { runWatch } from './etcdWatch'
import type { Store, StoreError } from './store'

export interface EtcdStoreOptions {
  /** Origins, such as `http://127.0.0.1:2379`. Tried in turn when one cannot be reached. */
  endpoints: readonly string[]
  /** A call unanswered for this long has an unknown effect. @default 3000 */
  callTimeoutMs?: number
  /** Connections to an endpoint, watches apart. @default 4 */
  connections?: number
  /** For `https:` endpoints, asked at each new connection. @default the system's authorities, no certificate of our own */
  tls?: () => StoreTls
  /** Spreads instances that retry after the same outage; gives 0 to 1. @default Math.random */
  random?: () => number
  clock: Clock
  logger: Logger
}

/** PEM texts. */
export interface StoreTls {
  ca?: string
  cert?: string
  key?: string
}

const CONNECT_TIMEOUT_MS = 1000
const FIRST_RETRY_WATCH_MS = 250
const LAST_RETRY_WATCH_MS = 8000

export function createEtcdStore (options: EtcdStoreOptions): Store & { close: () => Promise<void> } {
  const { clock } = options
  const callTimeoutMs = options.callTimeoutMs ?? 3000
  const connect: buildConnector.connector = (target, done) =>
    buildConnector({ timeout: CONNECT_TIMEOUT_MS, ...options.tls?.() })(target, done)
  const openPool = (endpoint: string): Pool => new Pool(endpoint, { connections: options.connections ?? 4, connect })
  const pools = options.endpoints.map(openPool)
  const retired = new Set<Pool>()
  const watchPools = options.endpoints.map(endpoint => new Pool(endpoint, { connections: null, bodyTimeout: 0, connect }))
  let current = 0

  /** Calls that failed together move on by one endpoint together, not past the next one that works. */
  const moveOn = (failed: number): void => {
    if (current === failed) current = (failed + 1) % pools.length
  }

  /**
   * After a call that nobody answered, later calls get new connections. Connections tend to go silent
   * together (something between the two ends has lost track of them), and each old one that is kept
   * would cost one more call its timeout.
   */
  const renewPool = (endpoint: number, stale: Pool): void => {
    if (pools[endpoint] !== stale) return
    pools[endpoint] = openPool(options.endpoints[endpoint]!)
    retired.add(stale)
    stale.close().finally(() => retired.delete(stale))
  }

  const call = async <T>(path: string, body: object): Promise<Result<T, StoreError>> => {
    const endpoint = current
    const pool = pools[endpoint]!
    const timeout = new AbortController()
    // One bound over connecting, headers and body: an answer that trickles in must not hold its caller up.
    const cancelTimeout = clock.schedule(callTimeoutMs, () => timeout.abort())
    try {
      const res = await pool.request({
        method: 'POST',
        path,
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        signal: timeout.signal
      })
      const answer = await res.body.json()
      if (res.statusCode === 200) return Ok(answer as T)
      if (res.statusCode >= 500) moveOn(endpoint)
      return Err(errorOfAnswer(res.statusCode, answer as EtcdErrorBody))
    } catch (err) {
      if (timeout.signal.aborted) renewPool(endpoint, pool)
      moveOn(endpoint)
      return Err(errorOfThrown(err))
    } finally {
      cancelTimeout()
    }
  }

  const store: Store = {
    get: async key => {
      const answer = await call<EtcdRangeResponse>('/v3/kv/range', encodeRange(key, false))
      return answer.map(range => (range.kvs ?? []).map(decodeKeyValue)[0])
    },
    range: async prefix => {
      const answer = await call<EtcdRangeResponse>('/v3/kv/range', encodeRange(prefix, true))
      return answer.map(range => ({
        entries: (range.kvs ?? []).map(decodeKeyValue),
        revision: Number(range.header.revision)
      }))
    },
    transact: async transaction => {
      const answer = await call<EtcdTxnResponse>('/v3/kv/txn', encodeTransaction(transaction))
      return answer.map(txn => ({ succeeded: txn.succeeded === true, revision: Number(txn.header.revision) }))
    },
    grantLease: async ttlSeconds => {
      const answer = await call<{ ID: string }>('/v3/lease/grant', { TTL: String(ttlSeconds) })
      return answer.map(lease => lease.ID)
    },
    renewLease: async leaseId => {
      const answer = await call<{ result: { TTL?: string, header: EtcdHeader } }>('/v3/lease/keepalive', { ID: leaseId })
      if (answer.err) return answer
      const secondsLeft = Number(answer.val.result.TTL ?? 0)
      return secondsLeft > 0 ? Ok(secondsLeft) : Err({ kind: 'lease-lost', message: `Lease ${leaseId} has lapsed.` })
    },
    revokeLease: async leaseId => {
      const answer = await call<object>('/v3/lease/revoke', { ID: leaseId })
      return answer.map(() => undefined)
    },
    watch: (prefix, handlers, signal) => {
      const poolOf = (): Pool => watchPools[current]!
      keepWatching(options, signal, () => runWatch({ store, pool: poolOf(), prefix, handlers, signal, clock, logger: options.logger }))
    }
  }
  const close = async (): Promise<void> => {
    await Promise.all([...pools, ...retired, ...watchPools].map(pool => pool.destroy()))
  }
  return { ...store, close }
}

/**
 * Begins a watch anew whenever it ends. Waits longer after each failure, and a random part of it: when
 * an outage ends, all watches of all instances would otherwise come back in the same half second, and
 * be an outage themselves.
 */
async function keepWatching (options: EtcdStoreOptions, signal: AbortSignal, once: () => Promise<string>): Promise<void> {
  const { clock, logger, random = Math.random } = options
  let waitMs = FIRST_RETRY_WATCH_MS
  while (!signal.aborted) {
    const startedMs = clock.monotonic()
    const reason = await once()
    if (signal.aborted) return
    logger.debug('store-watch-ended', { reason })
    if (clock.monotonic() - startedMs > LAST_RETRY_WATCH_MS) waitMs = FIRST_RETRY_WATCH_MS
    await sleep(clock, waitMs * (0.5 + random() / 2), signal)
    waitMs = Math.min(LAST_RETRY_WATCH_MS, waitMs * 2)
  }
}
