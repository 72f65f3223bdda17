/** Fetches reports from engines and sends orders to them. */
import { inBackground } from '../background'
import type { Pool } from 'undici'
import * as v from 'valibot'
import type { Clock } from '../clock'
import { count, createInputMonitor, listOf } from '../inputs'
import type { InputMonitor } from '../inputs'
import type { EngineCalls, EngineOrder, EngineReport, OrderOutcome, ReportError } from '../serving/engineCalls'
import type { BackendServer } from '../serving/types'
import type { ServerStatement } from '../statements'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { BodyTooLargeError, readText } from '../http/boundedBody'
import { createPool } from './httpPool'
import { createRunCalls } from './runCalls'
import { NO_STATEMENT, decodeServerStatement } from './serverStatement'
import { messageOf, parseJson } from '../utils'

/** Engines answer within milliseconds; on a timeout the engine is unreachable, or its response is lost. */
const CALL_TIMEOUT_MS = 1000
/** A report lists some hundred adapters and runs at most. Nested JSON of megabytes would hold the event loop for seconds as it is parsed. */
const MAX_ANSWER_BYTES = 262_144
/** Another process has the engine's former address. */
const MISDIRECTED = 421

/** Without the models or the number of orders, an engine would look empty, and be ordered to load more than it can hold. */
const wireReport = v.object({
  models: v.nullable(v.array(v.object({ name: v.string(), version: v.nullish(v.number(), 0), adapters: listOf(v.string()) }))),
  busy: v.boolean(),
  sequence: count,
  waiting: v.nullish(count, 0),
  running: v.nullish(count, 0),
  pending: listOf(v.string()),
  born: v.nullish(count),
  available: v.nullish(v.object({ 'in-memory': listOf(v.string()), 'on-disk': listOf(v.string()) }))
})

const ORDER_OUTCOMES: Record<number, OrderOutcome> = {
  200: 'holds-already',
  202: 'accepted',
  400: 'refused',
  409: 'conflict',
  412: 'fenced-off',
  421: 'other-server'
}

export interface EngineCallsOptions {
  clock: Clock
  /** @default refused answers are neither logged nor counted */
  inputs?: InputMonitor
}

export function createEngineCalls ({ clock, inputs = createInputMonitor() }: EngineCallsOptions): EngineCalls {
  const pools = new Map<string, Pool>()
  const runs = createRunCalls({ clock, inputs })
  const listeners: Array<(server: BackendServer, statement: ServerStatement) => void> = []
  const poolOf = (address: string): Pool => {
    const pool = pools.get(address) ?? createPool(`http://${address}`, { connections: 2, pipelining: 1, connect: { timeout: CALL_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })
    pools.set(address, pool)
    return pool
  }
  const call = async (server: BackendServer, method: 'GET' | 'POST', path: string, body?: object): Promise<Result<{ status: number, body: unknown }, string>> => {
    const abort = new AbortController()
    const cancel = clock.schedule(CALL_TIMEOUT_MS, () => abort.abort())
    try {
      const res = await poolOf(server.address).request({
        method,
        path,
        signal: abort.signal,
        headers: { 'x-magnoliabay-expected-instance': server.id, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
        body: body === undefined ? undefined : JSON.stringify(body)
      })
      const statement = res.statusCode === MISDIRECTED ? NO_STATEMENT : decodeServerStatement(res.statusCode, res.headers)
      listeners.forEach(listener => listener(server, statement))
      return Ok({ status: res.statusCode, body: parseJson(await readText(res.body, MAX_ANSWER_BYTES)) })
    } catch (err) {
      if (err instanceof BodyTooLargeError) inputs.recordRefused('engine-answer', { server: server.id, call: path }, err.message)
      return Err(abort.signal.aborted ? 'no answer in time' : messageOf(err))
    } finally {
      cancel()
    }
  }
  return {
    runs,
    fetchReport: async server => {
      const res = await call(server, 'GET', '/-/report')
      if (res.err) return Err<ReportError>({ kind: 'unanswered', message: res.val })
      if (res.val.status !== 200) return Err<ReportError>({ kind: 'refused', message: `status ${res.val.status}` })
      const report = inputs.check('engine-report', { server: server.id }, wireReport, res.val.body)
      return report.err ? report : Ok(toReport(report.val))
    },
    sendOrder: async (server, order) => {
      const res = await call(server, 'POST', '/-/order', toWire(order))
      if (res.err) return 'unanswered'
      return ORDER_OUTCOMES[res.val.status] ?? 'refused'
    },
    onStatement: listener => { listeners.push(listener) },
    closeConnections: address => {
      inBackground('close-pool', pools.get(address)?.destroy())
      pools.delete(address)
      runs.closeConnections(address)
    }
  }
}

function toWire (order: EngineOrder): object {
  return {
    operation: order.operation === 'load' ? 'loading' : 'unloading',
    model: order.model,
    adapter: order.adapter,
    precondition: order.expectedOrders,
    holder: order.holder,
    'fencing-token': order.fence
  }
}

function toReport (wire: v.InferOutput<typeof wireReport>): EngineReport {
  return {
    bornMs: wire.born ?? undefined,
    isOrderPending: wire.busy,
    acceptedOrders: wire.sequence,
    waiting: wire.waiting,
    running: wire.running,
    models: (wire.models ?? []).map(model => ({ name: model.name, version: model.version, adapters: model.adapters })),
    loadingAdapters: wire.pending.map(name => name.split('@')[0]!),
    copies: { memory: wire.available?.['in-memory'] ?? [], disk: wire.available?.['on-disk'] ?? [] }
  }
}
