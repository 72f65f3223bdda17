/**
 * A plain service that accepts any path and records every call that it ran.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { NOT_RUN_HEADER, REQUEST_ID_HEADER } from 'magnoliabay/backend/protocol'
import { createAdminTarget, handleAdmin } from '../admin'
import type { AdminTarget } from '../admin'
import { createFaultSwitches } from '../faults'
import type { FaultSwitches } from '../faults'
import { asText, readText, sendJson } from '../http/json'
import { createListener } from '../http/listener'
import { NO_STATEMENTS, backoffHeaders, stateInAnswer } from '../http/statements'
import type { Statements } from '../http/statements'

export interface ServiceFaults extends Statements {
  /** Time that a call takes, milliseconds. */
  delayMs: number
  /** Every call runs, then the connection breaks in the middle of its answer. */
  crashMid: boolean
  /** Calls run, but no answer is sent. */
  stall: boolean
  /** Setting it silences the connections open at that moment permanently; later ones work. */
  silentConnections: boolean
  /** Calls run, then the connection is cut instead of answering. */
  loseAnswer: boolean
  /** Answers carry another request's id. */
  crossedAnswers: boolean
  /** Calls are refused as not run. */
  refuse: boolean
  /** True drops and refuses connections. */
  crash: boolean
}

export interface ServiceCallRecord {
  requestId: string
  idempotencyKey?: string
  method: string
  path: string
  headers: Readonly<Record<string, string>>
  body: string
  ranAtMs: number
  /** Whether the whole answer was handed to the connection. */
  answered: boolean
}

export interface ServiceState {
  readonly name: string
  readonly faults: FaultSwitches<ServiceFaults>
  /** Records a call that runs. */
  run (call: Omit<ServiceCallRecord, 'ranAtMs' | 'answered'>): ServiceCallRecord
  records (): readonly ServiceCallRecord[]
  /** Returns how many calls ran with each idempotency key. */
  runsByIdempotencyKey (): Readonly<Record<string, number>>
  total (): number
  /** Makes the service refuse calls as not run. */
  startDraining (): void
  isLeaving (): boolean
}

export interface ServiceServer {
  readonly address: string
  readonly admin: AdminTarget
  close (): Promise<void>
}

const IDEMPOTENCY_KEY_HEADER = 'idempotency-key'

export function createServiceState (options: { name: string, clock: Clock }): ServiceState {
  const { name, clock } = options
  const faults = createFaultSwitches<ServiceFaults>({
    ...NO_STATEMENTS, delayMs: 0, crashMid: false, stall: false, silentConnections: false, loseAnswer: false, crossedAnswers: false, refuse: false, crash: false
  })
  const records: ServiceCallRecord[] = []
  let leaving = false
  return {
    name,
    faults,
    run: call => {
      const record = { ...call, ranAtMs: clock.now(), answered: false }
      records.push(record)
      return record
    },
    records: () => records,
    runsByIdempotencyKey: () => records.reduce<Record<string, number>>((runs, { idempotencyKey }) => {
      if (idempotencyKey !== undefined) runs[idempotencyKey] = (runs[idempotencyKey] ?? 0) + 1
      return runs
    }, {}),
    total: () => records.length,
    startDraining: () => { leaving = true },
    isLeaving: () => leaving
  }
}

/** Returns the answer to a call; a check compares it to verify that it got the complete answer to its own call. */
export function serviceAnswer (service: string, call: Pick<ServiceCallRecord, 'method' | 'path' | 'body'>): object {
  return { service, method: call.method, path: call.path, echo: call.body }
}

export async function createServiceServer (options: { service: ServiceState, clock: Clock, host?: string, port?: number }): Promise<ServiceServer> {
  const { service, clock, host, port } = options
  const { faults } = service
  const admin = createAdminTarget(faults, () => ({ total: service.total(), runsByKey: service.runsByIdempotencyKey(), calls: service.records() }))

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const path = req.url ?? '/'
    if (handleAdmin(admin, path, req, res)) return
    stateInAnswer(res, faults.current, service.isLeaving())
    const body = await readText(req)
    const requestId = asText(req.headers[REQUEST_ID_HEADER])
    if (service.isLeaving() || faults.current.refuse) {
      return sendJson(res, 503, { error: 'refused' }, { [NOT_RUN_HEADER]: 'true', [REQUEST_ID_HEADER]: requestId, ...backoffHeaders(faults.current) })
    }
    const record = service.run({
      requestId,
      idempotencyKey: asText(req.headers[IDEMPOTENCY_KEY_HEADER]) || undefined,
      method: req.method ?? '',
      path,
      headers: Object.fromEntries(Object.entries(req.headers).map(([name, value]) => [name, String(value)])),
      body
    })
    await sleep(clock, faults.current.delayMs)
    answer(res, record)
  }

  const answer = (res: ServerResponse, record: ServiceCallRecord): void => {
    if (faults.current.stall) return
    if (faults.current.loseAnswer) {
      res.destroy()
      return
    }
    const text = JSON.stringify(serviceAnswer(service.name, record))
    const requestId = faults.current.crossedAnswers ? `crossed-${record.requestId}` : record.requestId
    res.writeHead(200, {
      'content-type': 'application/json',
      'content-length': String(Buffer.byteLength(text)),
      [REQUEST_ID_HEADER]: requestId
    })
    if (faults.current.crashMid) {
      res.write(text.slice(0, 1))
      res.socket?.write('', () => res.socket?.destroy())
      return
    }
    res.end(text)
    record.answered = true
  }

  const listener = await createListener({
    host,
    port,
    handler: (req, res) => { serve(req, res).catch(() => res.destroy()) }
  })
  faults.onChange((_current, changed) => {
    if (changed.silentConnections === true) listener.silenceConnections()
    if (changed.crash === undefined) return
    return changed.crash ? listener.refuse() : listener.accept()
  })
  return { address: listener.address, admin, close: listener.close }
}
