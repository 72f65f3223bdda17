/** One call of a plain service, answered in full or not at all. */
import type { Clock } from '../clock'
import type { ConnectionPools } from './engineClient'
import { startExchange } from './httpExchange'
import type { ExchangeRequest, HttpMethod, ResponseHeaders } from './httpExchange'
import { NOT_RUN_HEADER, REQUEST_ID_HEADER } from './protocol'
import { untilEnded } from './relayConnection'

export interface ServiceCallRequest {
  address: string
  method: HttpMethod
  path: string
  headers: Readonly<Record<string, string>>
  body: Buffer
  requestId: string
  /** Longest wait for the answer, and longest silence within it, milliseconds. */
  responseTimeoutMs: number
  /** The call may be repeated without harm. */
  isIdempotent: boolean
  signal: AbortSignal
}

export interface ServiceResponse {
  status: number
  contentType: string
  body: Buffer
}

/**
 * `answered`: the service's whole answer. `not-run`: certainly not run; it may be sent elsewhere.
 * `lost`: it may have run. `stopped`: given up by the caller's side; `isSent` tells whether it may have run.
 */
export type ServiceCallResult =
  | { kind: 'answered', answer: ServiceResponse }
  | { kind: 'not-run', message: string, isLeaving: boolean }
  | { kind: 'lost', message: string }
  | { kind: 'stopped', isSent: boolean }

export interface ServiceCallOptions {
  connectionPools: ConnectionPools
  clock: Clock
}

const MAX_ANSWER_BYTES = 16 * 1_048_576
const DEFAULT_CONTENT_TYPE = 'application/octet-stream'
const HTTP_UNAVAILABLE = 503

export async function callService (options: ServiceCallOptions, req: ServiceCallRequest): Promise<ServiceCallResult> {
  if (req.isIdempotent) return await callOver(options, req, options.connectionPools.of(req.address))
  // On a kept connection nobody can tell whether a call that met its closing was read by the service. On a
  // new one either the connection fails, and nothing was sent, or the call may have run: no third case.
  const fresh = options.connectionPools.createUnpooled(req.address)
  try {
    return await callOver(options, req, fresh)
  } finally {
    fresh.destroy().catch(() => {})
  }
}

async function callOver (options: ServiceCallOptions, req: ServiceCallRequest, dispatcher: Parameters<typeof startExchange>[0]): Promise<ServiceCallResult> {
  const chunks: Buffer[] = []
  let size = 0
  let status = 0
  let headers: ResponseHeaders = {}
  let problem = ''
  const exchange = startExchange(dispatcher, options.clock, exchangeOf(req), {
    onHead: (answered, received) => {
      status = answered
      headers = received
      if (!isForeign(headers, req.requestId)) return
      problem = 'The service answered another request.'
      exchange.stop(problem)
    },
    onData: chunk => {
      chunks.push(chunk)
      size += chunk.length
      if (size <= MAX_ANSWER_BYTES) return
      problem = `The service's answer has more than ${MAX_ANSWER_BYTES} bytes.`
      exchange.stop(problem)
    }
  })
  const end = await untilEnded(exchange, req.signal)
  if (end.kind === 'complete') {
    const isNotRun = headers[NOT_RUN_HEADER] === 'true' && headers[REQUEST_ID_HEADER] === req.requestId
    if (isNotRun) return { kind: 'not-run', message: `The service refused with status ${status}.`, isLeaving: status === HTTP_UNAVAILABLE }
    const contentType = String(headers['content-type'] ?? DEFAULT_CONTENT_TYPE)
    return { kind: 'answered', answer: { status, contentType, body: Buffer.concat(chunks) } }
  }
  if (req.signal.aborted) return { kind: 'stopped', isSent: end.isSent }
  if (!end.isSent) return { kind: 'not-run', message: end.message, isLeaving: false }
  return { kind: 'lost', message: problem || end.message }
}

function exchangeOf (req: ServiceCallRequest): ExchangeRequest {
  const { method, path, body, responseTimeoutMs: answerMs } = req
  return {
    method,
    path,
    body: body.length === 0 ? undefined : body,
    headers: { ...req.headers, [REQUEST_ID_HEADER]: req.requestId },
    firstByteMs: answerMs,
    gapMs: answerMs
  }
}

/** Plain services need not repeat the request's id; one that names another request answers that one. */
function isForeign (headers: ResponseHeaders, requestId: string): boolean {
  const named = headers[REQUEST_ID_HEADER]
  return named !== undefined && named !== requestId
}
