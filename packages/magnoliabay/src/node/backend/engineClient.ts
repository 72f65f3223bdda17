/**
 * Client for the engines' control API: sends orders and queries state, by their published protocol.
 */
import { Client, Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { messageOf } from '../utils'
import type { CacheEvents, EngineState, LoadReport, Order, OrderReply } from './protocol'

/**
 * `not-sent`: the request certainly did not reach the engine. `no-answer`: it may have been carried out, or may
 * still be. `refused`: the engine answered with an error status.
 */
export type EngineErrorKind = 'not-sent' | 'no-answer' | 'refused'

export interface EngineError {
  kind: EngineErrorKind
  message: string
}

export interface EngineClient {
  order (address: string, order: Order, timeoutMs: number): Promise<Result<OrderReply, EngineError>>
  state (address: string): Promise<Result<EngineState, EngineError>>
  loadReport (address: string): Promise<Result<LoadReport, EngineError>>
  cacheEvents (address: string, after: number): Promise<Result<CacheEvents, EngineError>>
  cancel (address: string, requestId: string): Promise<void>
  close (): Promise<void>
}

const QUERY_TIMEOUT_MS = 2000
const MAX_CONTROL_CONNECTIONS = 8
const CONNECT_TIMEOUT_MS = 2000
const NOT_SENT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

export function createEngineClient (): EngineClient {
  const pools = createConnectionPools(MAX_CONTROL_CONNECTIONS)
  const send = async <T>(address: string, options: Pick<Dispatcher.RequestOptions, 'method' | 'path'>, body: object | undefined, timeoutMs: number): Promise<Result<T, EngineError>> => {
    try {
      const res = await pools.of(address).request({
        ...options,
        body: body === undefined ? undefined : JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs
      })
      const responseBody = await res.body.json()
      return res.statusCode < 300
        ? Ok(responseBody as T)
        : Err({ kind: 'refused', message: `The engine answered with status ${res.statusCode}.` })
    } catch (err) {
      return Err(engineErrorOf(err))
    }
  }
  return {
    order: (address, order, timeoutMs) => send(address, { method: 'POST', path: '/control/orders' }, order, timeoutMs),
    state: address => send(address, { method: 'GET', path: '/control/state' }, undefined, QUERY_TIMEOUT_MS),
    loadReport: address => send(address, { method: 'GET', path: '/control/load' }, undefined, QUERY_TIMEOUT_MS),
    cacheEvents: (address, after) => send(address, { method: 'GET', path: `/control/events?after=${after}` }, undefined, QUERY_TIMEOUT_MS),
    cancel: async (address, requestId) => {
      await send(address, { method: 'POST', path: '/control/cancel' }, { requestId }, QUERY_TIMEOUT_MS)
    },
    close: pools.close
  }
}

export function engineErrorOf (err: unknown): EngineError {
  const code = (err as { code?: string }).code ?? ''
  return { kind: NOT_SENT_ERROR_CODES.has(code) ? 'not-sent' : 'no-answer', message: messageOf(err) }
}

export interface ConnectionPools {
  of (address: string): Pool
  /** Returns a new client outside the pool. Its user closes it with `destroy`. */
  createUnpooled (address: string): Client
  close (): Promise<void>
}

/** Keeps one connection pool for each address, created on first use. */
export function createConnectionPools (connections: number | null): ConnectionPools {
  const pools = new Map<string, Pool>()
  return {
    of: address => {
      const existing = pools.get(address)
      if (existing !== undefined) return existing
      const created = new Pool(`http://${address}`, { connections, connectTimeout: CONNECT_TIMEOUT_MS })
      pools.set(address, created)
      return created
    },
    createUnpooled: address => new Client(`http://${address}`, { connectTimeout: CONNECT_TIMEOUT_MS }),
    close: async () => {
      await Promise.all([...pools.values()].map(pool => pool.destroy()))
      pools.clear()
    }
  }
}
