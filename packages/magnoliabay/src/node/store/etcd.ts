/** Client of the platform's key-value service through the etcd v3 HTTP/JSON gateway. */
import * as v from 'valibot'
import type { GenericSchema, InferOutput } from 'valibot'
import { checkInput } from '../inputs'
import { inBackground } from '../background'
import { Pool, buildConnector } from 'undici'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import { readJson } from '../http/boundedBody'
import type { Logger } from '../logger'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { decodeKeyValue, encodeRange, encodeTransaction, errorResponse, keepAliveResponse, leaseResponse, rangeResponse, txnResponse } from './etcdCodec'
import { errorOfResponse, errorOfThrown } from './etcdErrors'
import { runWatch } from './etcdWatch'
import type { Store, StoreError } from './store'

/** A range holds many values, longer as text. */
const MAX_ANSWER_BYTES = 67_108_864

export interface EtcdStoreOptions {
  /** Origins, such as `http://127.0.0.1:2379`. The next one is used when one cannot be reached. */
  endpoints: readonly string[]
  /** Timeout of one call; whether a call that times out took effect is unknown. @default 3000 */
  callTimeoutMs?: number
  /** Connections per endpoint, not counting those of watches. @default 4 */
  connections?: number
  /** TLS options for `https:` endpoints, read for each new connection. @default the system's authorities, no client certificate */
  tls?: () => StoreTls
  /** Jitter for the retries of watches, from 0 to 1: spreads instances that retry after the same outage. @default Math.random */
  random?: () => number
  clock: Clock
  logger: Logger
}

/** TLS options as PEM texts. */
export interface StoreTls {
  ca?: string
  cert?: string
  key?: string
}

const CONNECT_TIMEOUT_MS = 1000
const MIN_WATCH_RETRY_DELAY_MS = 250
const MAX_WATCH_RETRY_DELAY_MS = 8000

export function createEtcdStore (options: EtcdStoreOptions): Store & { close: () => Promise<void> } {
  const { clock } = options
  const callTimeoutMs = options.callTimeoutMs ?? 3000
  const connect: buildConnector.connector = (target, done) =>
    buildConnector({ timeout: CONNECT_TIMEOUT_MS, ...options.tls?.() })(target, done)
  const openPool = (endpoint: string): Pool => new Pool(endpoint, { connections: options.connections ?? 4, connect })
  const pools = options.endpoints.map(openPool)
  const closingPools = new Set<Pool>()
  const watchPools = options.endpoints.map(endpoint => new Pool(endpoint, { connections: null, bodyTimeout: 0, connect }))
  let currentEndpoint = 0

  /** Switches to the next endpoint once for all calls that failed on the same one, so that a working endpoint isn't skipped. */
  const useNextEndpoint = (failedEndpoint: number): void => {
    if (currentEndpoint === failedEndpoint) currentEndpoint = (failedEndpoint + 1) % pools.length
  }

  /**
   * Replaces the pool after a call timed out, so that later calls get new connections. Connections tend to go
   * silent together (a device on the network path dropped their state), and each old one that is kept would
   * make one more call time out.
   */
  const replacePool = (endpoint: number, stalePool: Pool): void => {
    if (pools[endpoint] !== stalePool) return
    pools[endpoint] = openPool(options.endpoints[endpoint]!)
    closingPools.add(stalePool)
    inBackground('close-pool', stalePool.close().finally(() => closingPools.delete(stalePool)))
  }

  const call = async <Schema extends GenericSchema>(path: string, schema: Schema, body: object): Promise<Result<InferOutput<Schema>, StoreError>> => {
    const endpoint = currentEndpoint
    const pool = pools[endpoint]!
    const timeout = new AbortController()
    // One timeout covers connecting, headers and body, so that a slowly trickling response can't block the caller.
    const cancelTimeout = clock.schedule(callTimeoutMs, () => timeout.abort())
    try {
      const res = await pool.request({
        method: 'POST',
        path,
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        signal: timeout.signal
      })
      const response = await readJson(res.body, MAX_ANSWER_BYTES)
      if (res.statusCode === 200) return checkInput(schema, response).mapErr((err): StoreError => ({ kind: 'unknown', message: err.message }))
      if (res.statusCode >= 500) useNextEndpoint(endpoint)
      const problem = checkInput(errorResponse, response)
      return Err(errorOfResponse(res.statusCode, problem.ok ? problem.val : {}))
    } catch (err) {
      if (timeout.signal.aborted) replacePool(endpoint, pool)
      useNextEndpoint(endpoint)
      return Err(errorOfThrown(err))
    } finally {
      cancelTimeout()
    }
  }

  const store: Store = {
    get: async key => {
      const response = await call('/v3/kv/range', rangeResponse, encodeRange(key, false))
      return response.map(range => (range.kvs ?? []).map(decodeKeyValue)[0])
    },
    range: async prefix => {
      const response = await call('/v3/kv/range', rangeResponse, encodeRange(prefix, true))
      return response.map(range => ({
        entries: (range.kvs ?? []).map(decodeKeyValue),
        revision: Number(range.header.revision)
      }))
    },
    transact: async transaction => {
      const response = await call('/v3/kv/txn', txnResponse, encodeTransaction(transaction))
      return response.map(txn => ({ succeeded: txn.succeeded === true, revision: Number(txn.header.revision) }))
    },
    grantLease: async ttlSeconds => {
      const response = await call('/v3/lease/grant', leaseResponse, { TTL: String(ttlSeconds) })
      return response.map(lease => lease.ID)
    },
    renewLease: async leaseId => {
      const response = await call('/v3/lease/keepalive', keepAliveResponse, { ID: leaseId })
      if (response.err) return response
      const secondsLeft = Number(response.val.result.TTL ?? 0)
      return secondsLeft > 0 ? Ok(secondsLeft) : Err({ kind: 'lease-lost', message: `Lease ${leaseId} has lapsed.` })
    },
    revokeLease: async leaseId => {
      const response = await call('/v3/lease/revoke', v.unknown(), { ID: leaseId })
      return response.map(() => undefined)
    },
    watch: (prefix, handlers, signal) => {
      const currentPool = (): Pool => watchPools[currentEndpoint]!
      inBackground('maintain-watch', maintainWatch(options, signal, () => runWatch({ store, pool: currentPool(), prefix, handlers, signal, clock, logger: options.logger })))
    }
  }
  const close = async (): Promise<void> => {
    await Promise.all([...pools, ...closingPools, ...watchPools].map(pool => pool.destroy()))
  }
  return { ...store, close }
}

/**
 * Restarts a watch whenever it ends, with exponential backoff and jitter. Without them, all watches of all
 * instances would restart in the same half second after an outage, and overload the store again.
 */
async function maintainWatch (options: EtcdStoreOptions, signal: AbortSignal, runOnce: () => Promise<string>): Promise<void> {
  const { clock, logger, random = Math.random } = options
  let retryDelayMs = MIN_WATCH_RETRY_DELAY_MS
  while (!signal.aborted) {
    const startedMs = clock.monotonic()
    const reason = await runOnce()
    if (signal.aborted) return
    logger.debug('store-watch-ended', { reason })
    if (clock.monotonic() - startedMs > MAX_WATCH_RETRY_DELAY_MS) retryDelayMs = MIN_WATCH_RETRY_DELAY_MS
    await sleep(clock, retryDelayMs * (0.5 + random() / 2), signal)
    retryDelayMs = Math.min(MAX_WATCH_RETRY_DELAY_MS, retryDelayMs * 2)
  }
}
