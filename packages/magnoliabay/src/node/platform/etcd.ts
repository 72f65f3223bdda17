/**
 * Client of the platform's key-value service: the etcd v3 HTTP/JSON gateway, as published.
 */
import { Pool } from 'undici'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import type { Logger } from '../logger'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { messageOf } from '../utils'
import { decodeKeyValue, encodeRange, encodeTransaction } from './etcdCodec'
import type { EtcdHeader, EtcdRangeResponse, EtcdTxnResponse } from './etcdCodec'
import { runWatch } from './etcdWatch'
import type { Store, StoreError, StoreErrorKind } from './store'

export interface EtcdStoreOptions {
  /** Origins, such as `http://127.0.0.1:2379`. Tried in turn when one cannot be reached. */
  endpoints: readonly string[]
  /** A call unanswered for this long has an unknown effect. @default 3000 */
  callTimeoutMs?: number
  /** Connections to an endpoint, watches apart. @default 4 */
  connections?: number
  clock: Clock
  logger: Logger
}

const RETRY_WATCH_MS = 500

/** Errors after which the call certainly had no effect: no connection was ever made. */
const NEVER_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])
/** gRPC status codes that the gateway passes on. */
const GRPC_NOT_FOUND = 5
const GRPC_UNAVAILABLE = 14

interface EtcdErrorBody {
  code?: number
  message?: string
}

export function createEtcdStore (options: EtcdStoreOptions): Store & { close: () => Promise<void> } {
  const callTimeoutMs = options.callTimeoutMs ?? 3000
  const pools = options.endpoints.map(endpoint => new Pool(endpoint, { connections: options.connections ?? 4 }))
  const watchPools = options.endpoints.map(endpoint => new Pool(endpoint, { connections: null, bodyTimeout: 0 }))
  let current = 0

  const call = async <T>(path: string, body: object): Promise<Result<T, StoreError>> => {
    const pool = pools[current % pools.length]!
    try {
      const res = await pool.request({
        method: 'POST',
        path,
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs
      })
      const answer = await res.body.json()
      if (res.statusCode === 200) return Ok(answer as T)
      return Err(errorOfAnswer(res.statusCode, answer as EtcdErrorBody))
    } catch (err) {
      current += 1
      return Err(errorOfThrown(err))
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
      const poolOf = (): Pool => watchPools[current % watchPools.length]!
      keepWatching(options, signal, () => runWatch({ store, pool: poolOf(), prefix, handlers, signal, clock: options.clock }))
    }
  }
  const close = async (): Promise<void> => {
    await Promise.all([...pools, ...watchPools].map(pool => pool.destroy()))
  }
  return { ...store, close }
}

async function keepWatching (options: EtcdStoreOptions, signal: AbortSignal, once: () => Promise<string>): Promise<void> {
  while (!signal.aborted) {
    const reason = await once()
    if (signal.aborted) return
    options.logger.debug('store-watch-ended', { reason })
    await sleep(options.clock, RETRY_WATCH_MS, signal)
  }
}

function errorOfAnswer (status: number, body: EtcdErrorBody): StoreError {
  const message = body.message ?? `The store answered with status ${status}.`
  if (body.code === GRPC_NOT_FOUND) return { kind: 'lease-lost', message }
  if (body.code === GRPC_UNAVAILABLE || status >= 500) return { kind: 'unavailable', message }
  return { kind: 'invalid', message }
}

function errorOfThrown (err: unknown): StoreError {
  const code = (err as { code?: string }).code ?? ''
  const kind: StoreErrorKind = NEVER_SENT.has(code) ? 'unavailable' : 'unknown'
  return { kind, message: messageOf(err) }
}
