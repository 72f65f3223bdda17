/**
 * Serves the part of the etcd v3 HTTP/JSON gateway that the product uses, over a {@link KvState}.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { createAdminTarget, handleAdmin } from '../admin'
import type { AdminTarget } from '../admin'
import type { FaultSwitches } from '../faults'
import { asObject, asText, parseObject, readText, sendJson } from '../http/json'
import type { JsonObject } from '../http/json'
import { createListener } from '../http/listener'
import type { Listener } from '../http/listener'
import { createKvCallCounter, createKvFaults } from './faults'
import type { KvCallCounter, KvCallKind, KvFaults } from './faults'
import type { KvState } from './state'
import { createWatchStreams } from './watchStreams'
import {
  WIRE_ERRORS, readId, readInt, readPut, readRange, readTransaction, writeEntries, writeHeader, writeOperationResult
} from './wire'
import type { WireError } from './wire'
import { NO_LEASE } from './types'
import type { KvError, KvOperation, KvTransaction } from './types'

export interface KvServerOptions {
  state: KvState
  clock: Clock
  /** @default new switches */
  faults?: FaultSwitches<KvFaults>
  /** @default a new counter */
  counter?: KvCallCounter
  /** Interval between progress notices on a watch that requested them, milliseconds. @default 2000 */
  progressIntervalMs?: number
  host?: string
  port?: number
}

export interface KvServer {
  readonly address: string
  readonly faults: FaultSwitches<KvFaults>
  readonly counter: KvCallCounter
  readonly admin: AdminTarget
  close (): Promise<void>
}

interface RouteResponse {
  status: number
  body: JsonObject
}

interface Route {
  kind: KvCallKind
  run: (state: KvState, body: JsonObject) => RouteResponse
}

const DEFAULT_PROGRESS_INTERVAL_MS = 2000
/** Request header with the caller's name, used by the call counter only. */
export const CALLER_HEADER = 'x-caller'

const ROUTES: Readonly<Record<string, Route>> = {
  '/v3/kv/range': {
    kind: 'reads',
    run: (state, body) => ok(state, writeEntries(state.range(readRange(body))))
  },
  '/v3/kv/put': {
    kind: 'writes',
    run: (state, body) => runSingle(state, readPut(body))
  },
  '/v3/kv/deleterange': {
    kind: 'writes',
    run: (state, body) => runSingle(state, { kind: 'delete', range: readRange(body) })
  },
  '/v3/kv/txn': {
    kind: 'writes',
    run: (state, body) => runTransaction(state, readTransaction(body))
  },
  '/v3/lease/grant': {
    kind: 'leases',
    run: (state, body) => {
      const requestedId = readId(body.ID)
      const granted = state.grantLease(readInt(body.TTL), requestedId === NO_LEASE ? undefined : requestedId)
      if (granted.err) return refuse(granted.val)
      return ok(state, { ID: granted.val.id, TTL: String(granted.val.ttlSeconds) })
    }
  },
  '/v3/lease/keepalive': {
    kind: 'leases',
    run: (state, body) => {
      const id = readId(body.ID)
      const renewed = state.renewLease(id)
      // An expired lease is no error here: the gateway answers without a TTL.
      const ttl = renewed.ok ? { TTL: String(renewed.val.secondsLeft) } : {}
      return { status: 200, body: { result: { header: writeHeader(state.revision()), ID: id, ...ttl } } }
    }
  },
  '/v3/lease/revoke': {
    kind: 'leases',
    run: (state, body) => {
      const revoked = state.revokeLease(readId(body.ID))
      return revoked.err ? refuse(revoked.val) : ok(state, {})
    }
  }
}

const ALIASES: Readonly<Record<string, string>> = { '/v3/kv/lease/revoke': '/v3/lease/revoke' }
const WATCH_PATH = '/v3/watch'

export async function createKvServer (options: KvServerOptions): Promise<KvServer> {
  const { state, clock } = options
  const faults = options.faults ?? createKvFaults()
  const counter = options.counter ?? createKvCallCounter()
  const streams = createWatchStreams({ state, clock, progressIntervalMs: options.progressIntervalMs ?? DEFAULT_PROGRESS_INTERVAL_MS })
  const admin = createAdminTarget(faults, () => ({ calls: counter.byCaller(), total: counter.total() }))

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const path = (req.url ?? '').split('?')[0] ?? ''
    if (handleAdmin(admin, path, req, res)) return
    const body = parseObject(await readText(req))
    const caller = asText(req.headers[CALLER_HEADER]) || (req.socket.remoteAddress ?? '')
    if (faults.current.slowMs > 0) await sleep(clock, faults.current.slowMs)
    if (faults.current.down !== 'no') return sendError(res, WIRE_ERRORS.unavailable)
    if (path === WATCH_PATH) {
      counter.count(caller, 'watches')
      return streams.open(asObject(body.create_request ?? body.createRequest), res)
    }
    const route = ROUTES[ALIASES[path] ?? path]
    if (route === undefined) return sendError(res, WIRE_ERRORS.unimplemented)
    counter.count(caller, route.kind)
    const answer = route.run(state, body)
    if (faults.current.loseAnswers) {
      req.socket.destroy()
      return
    }
    sendJson(res, answer.status, answer.body)
  }

  const listener = await createListener({
    host: options.host,
    port: options.port,
    handler: (req, res) => { serve(req, res).catch(() => res.destroy()) }
  })
  applyFaults(faults, listener, streams)
  return {
    address: listener.address,
    faults,
    counter,
    admin,
    close: () => {
      streams.disconnectAll()
      return listener.close()
    }
  }
}

function applyFaults (faults: FaultSwitches<KvFaults>, listener: Listener, streams: ReturnType<typeof createWatchStreams>): void {
  faults.onChange((_current, changed) => {
    if (changed.watchSilent === true) streams.silenceAll()
    if (changed.silentConnections === true) listener.silenceConnections()
    if (changed.down === undefined) return
    if (changed.down !== 'no') streams.disconnectAll()
    return changed.down === 'refused' ? listener.refuse() : listener.accept()
  })
}

function runSingle (state: KvState, operation: KvOperation): RouteResponse {
  const outcome = state.transact({ compares: [], success: [operation], failure: [] })
  if (outcome.err) return refuse(outcome.val)
  const [result] = outcome.val.results
  return ok(state, result?.kind === 'delete' && result.deleted > 0 ? { deleted: String(result.deleted) } : {})
}

function runTransaction (state: KvState, transaction: KvTransaction): RouteResponse {
  const outcome = state.transact(transaction)
  if (outcome.err) return refuse(outcome.val)
  const { succeeded, revision, results } = outcome.val
  return ok(state, {
    ...(succeeded && { succeeded }),
    ...(results.length > 0 && { responses: results.map(result => writeOperationResult(result, revision)) })
  })
}

function ok (state: KvState, body: JsonObject): RouteResponse {
  return { status: 200, body: { header: writeHeader(state.revision()), ...body } }
}

function refuse (err: KvError): RouteResponse {
  const wire = WIRE_ERRORS[err.kind]
  return { status: wire.status, body: errorBody(wire) }
}

function errorBody (err: WireError): JsonObject {
  return { error: err.message, code: err.code, message: err.message }
}

function sendError (res: ServerResponse, err: WireError): void {
  sendJson(res, err.status, errorBody(err))
}
