/**
 * Client for the engines' control API: sends orders and queries state, by their published protocol.
 */
import * as v from 'valibot'
import type { GenericSchema, InferOutput } from 'valibot'
import type { Socket } from 'node:net'
import { Pool, buildConnector } from 'undici'
import { TrackedClient } from './trackedClient'
import type { Dispatcher, Client } from 'undici'
import type { ServerRoutes } from '../paths'
import { createSystemClock } from '../clock'
import type { Clock } from '../clock'
import { BodyTooLargeError, readJson } from '../http/boundedBody'
import { createInputMonitor } from '../inputs'
import type { InputMonitor } from '../inputs'
import { Err } from '../result'
import type { Result } from '../result'
import { messageOf, parseHostPort } from '../utils'
import { cacheEventsSchema, engineStateSchema, loadReportSchema, orderReplySchema } from './protocolSchemas'
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
/** A state lists the models, adapters and checkpoints of an engine. */
const MAX_ANSWER_BYTES = 8_388_608
const MAX_CONTROL_CONNECTIONS = 8
const CONNECT_TIMEOUT_MS = 2000
const NOT_SENT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

export interface EngineClientOptions {
  /** Checks what engines answer. @default refused answers are neither logged nor counted */
  inputs?: InputMonitor
  /** Names the engine at an address, for logs. @default the address */
  idOf?: (address: string) => string
  /** @default the system's clock */
  clock?: Clock
}

export function createEngineClient ({ inputs = createInputMonitor(), idOf = address => address, clock = createSystemClock() }: EngineClientOptions = {}): EngineClient {
  const pools = createConnectionPools(MAX_CONTROL_CONNECTIONS)
  const send = async <Schema extends GenericSchema>(address: string, options: Pick<Dispatcher.RequestOptions, 'method' | 'path'>, schema: Schema, body: object | undefined, timeoutMs: number): Promise<Result<InferOutput<Schema>, EngineError>> => {
    const abort = new AbortController()
    // One limit for the whole call: a server that sends some bytes now and then would hold it without end.
    const cancel = clock.schedule(timeoutMs, () => abort.abort())
    try {
      const res = await pools.of(address).request({
        ...options,
        body: body === undefined ? undefined : JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: abort.signal
      })
      const responseBody = await readJson(res.body, MAX_ANSWER_BYTES)
      if (res.statusCode >= 300) return Err({ kind: 'refused', message: `The engine answered with status ${res.statusCode}.` })
      // What the engine did is unknown, as without an answer.
      return inputs.check('engine-answer', { server: idOf(address), call: options.path }, schema, responseBody).mapErr((err): EngineError => ({ kind: 'no-answer', message: err.message }))
    } catch (err) {
      if (err instanceof BodyTooLargeError) inputs.recordRefused('engine-answer', { server: idOf(address), call: options.path }, err.message)
      return Err(engineErrorOf(err))
    } finally {
      cancel()
    }
  }
  return {
    order: (address, order, timeoutMs) => send(address, { method: 'POST', path: '/control/orders' }, orderReplySchema, order, timeoutMs),
    state: address => send(address, { method: 'GET', path: '/control/state' }, engineStateSchema, undefined, QUERY_TIMEOUT_MS),
    loadReport: address => send(address, { method: 'GET', path: '/control/load' }, loadReportSchema, undefined, QUERY_TIMEOUT_MS),
    cacheEvents: (address, after) => send(address, { method: 'GET', path: `/control/events?after=${after}` }, cacheEventsSchema, undefined, QUERY_TIMEOUT_MS),
    cancel: async (address, requestId) => {
      await send(address, { method: 'POST', path: '/control/cancel' }, v.unknown(), { requestId }, QUERY_TIMEOUT_MS)
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
  /** Checks the path to a backend server that was silent. */
  checkPath (address: string): void
  /** Whether a connection to the server was ended by it, and the server runs on. */
  isEndedByServer (address: string, connection: Socket): Promise<boolean>
  close (): Promise<void>
}

/**
 * Keeps one connection pool for each address, created on first use. `routes`: how servers are reached; a pool whose
 * connections hang on a broken path is replaced, as is one whose connections go through another instance without need.
 *
 * @default direct connections only
 */
export function createConnectionPools (connections: number | null, routes?: ServerRoutes<Socket>): ConnectionPools {
  const pools = new Map<string, Pool>()
  /** Addresses to which pools have had connections through another instance, by instance. */
  const forwardedAddresses = new Map<string, Set<string>>()
  const recordForwarder = (address: string, forwarder: string | undefined): void => {
    if (forwarder !== undefined) forwardedAddresses.set(forwarder, (forwardedAddresses.get(forwarder) ?? new Set()).add(address))
  }
  const connectDirectly = buildConnector({ timeout: CONNECT_TIMEOUT_MS, allowHalfOpen: true } as buildConnector.BuildOptions)
  const connectorOf = (address: string): { connect: buildConnector.connector } => ({
    connect: (options, callback) => {
      if (routes === undefined) return connectDirectly(options, callback)
      routes.dialer.dial(address).then(({ connection, forwarder }) => {
        recordForwarder(address, forwarder)
        callback(null, connection)
      }, (err: Error) => callback(toConnectError(err), null))
    }
  })
  const connectOnce = (address: string): Promise<boolean> => new Promise(resolve => {
    const { host, port } = parseHostPort(address)
    connectDirectly({ hostname: host, host: address, protocol: 'http:', port: String(port) }, (err, socket) => {
      if (err === null) socket.destroy()
      resolve(err === null)
    })
  })
  const replace = (address: string): void => {
    const replaced = pools.get(address)
    pools.delete(address)
    replaced?.close().catch(() => {})
  }
  routes?.paths.onChanged(({ address, isBroken, failure }) => {
    if (isBroken && failure !== 'silent') return
    const affected = address === undefined ? [...pools.keys()] : [address]
    affected.forEach(replace)
  })
  // Its tunnels end with its process. Calls that are under way go on, on the pools that are replaced.
  routes?.forwarders.onLeaving(forwarder => {
    forwardedAddresses.get(forwarder)?.forEach(replace)
    forwardedAddresses.delete(forwarder)
  })
  return {
    of: address => {
      const existing = pools.get(address)
      if (existing !== undefined) return existing
      const created = new Pool(`http://${address}`, { connections, connectTimeout: CONNECT_TIMEOUT_MS, factory: createClient, ...connectorOf(address) })
      pools.set(address, created)
      return created
    },
    createUnpooled: address => new TrackedClient(`http://${address}`, { connectTimeout: CONNECT_TIMEOUT_MS, ...connectorOf(address) }),
    checkPath: address => routes?.dialer.check(address),
    isEndedByServer: (address, connection) => routes === undefined ? connectOnce(address) : routes.dialer.isEndedByServer(address, connection),
    close: async () => {
      routes?.dialer.close()
      await Promise.all([...pools.values()].map(pool => pool.destroy()))
      pools.clear()
    }
  }
}

const createClient = (origin: URL, options: object): Client => new TrackedClient(origin, options)

/** Nothing was sent, which `undici` and its users tell by the code of the error. */
function toConnectError (err: Error): Error {
  return Object.assign(err, { code: 'UND_ERR_CONNECT_TIMEOUT' })
}
