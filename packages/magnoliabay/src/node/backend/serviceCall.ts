/** One call to a plain service, whose response is returned in full or not at all. */
import { UNSENT } from '../answers'
import type { Clock } from '../clock'
import type { BackendStatements } from './backendStatements'
import type { ConnectionPools } from './engineClient'
import { startExchange } from './httpExchange'
import type { ExchangeRequest, HttpExchangeEnd, HttpMethod, ResponseHeaders } from './httpExchange'
import { REQUEST_ID_HEADER } from './protocol'
import { attributeResponse } from './responseAttribution'
import type { NotRunBasis } from './relayTypes'
import { waitForEnd } from './relayConnection'

export interface ServiceCallRequest {
  address: string
  method: HttpMethod
  path: string
  headers: Readonly<Record<string, string>>
  body: Buffer
  requestId: string
  /** Longest wait for the whole response, milliseconds. */
  responseTimeoutMs: number
  /** The call may safely be repeated. */
  isIdempotent: boolean
  signal: AbortSignal
}

export interface ServiceResponse {
  status: number
  contentType: string
  body: Buffer
}

/**
 * `answered`: the service's whole response. `not-run`: certainly not run; it may be sent to another server.
 * `lost`: it may have run. `stopped`: aborted on the caller's side; `isSent` says whether it may have run.
 */
export type ServiceCallResult =
  | { kind: 'answered', response: ServiceResponse }
  | { kind: 'not-run', message: string, isLeaving: boolean, notRun: NotRunBasis }
  | { kind: 'lost', message: string }
  | { kind: 'stopped', isSent: boolean }

export interface ServiceCallOptions {
  connectionPools: ConnectionPools
  statements: Pick<BackendStatements, 'record'>
  clock: Clock
}

const MAX_RESPONSE_BYTES = 16 * 1_048_576
const DEFAULT_CONTENT_TYPE = 'application/octet-stream'
const HTTP_UNAVAILABLE = 503

export async function callService (options: ServiceCallOptions, req: ServiceCallRequest): Promise<ServiceCallResult> {
  if (req.isIdempotent) return await sendCall(options, req, options.connectionPools.of(req.address))
  // If the service closes a kept-alive connection while a call is being sent, it is unknown whether the service read
  // the call. On a new connection, either connecting fails and nothing was sent, or the call may have run.
  const freshClient = options.connectionPools.createUnpooled(req.address)
  try {
    return await sendCall(options, req, freshClient)
  } finally {
    freshClient.destroy().catch(() => {})
  }
}

async function sendCall (options: ServiceCallOptions, req: ServiceCallRequest, dispatcher: Parameters<typeof startExchange>[0]): Promise<ServiceCallResult> {
  const chunks: Buffer[] = []
  let size = 0
  let status = 0
  let headers: ResponseHeaders = {}
  let problem = ''
  let notRun: NotRunBasis | undefined
  const exchange = startExchange(dispatcher, options.clock, exchangeRequestOf(req), {
    onHead: (responseStatus, responseHeaders, use) => {
      status = responseStatus
      headers = responseHeaders
      // Plain services need not name the request.
      const attribution = attributeResponse(req.requestId, status, headers, use, false)
      if (attribution.kind !== 'own') {
        problem = `The service's answer is not used: ${attribution.reason}.`
        return exchange.stop(problem)
      }
      options.statements.record(req.address, status, headers, attribution.disclaimer === undefined)
      if (attribution.disclaimer !== undefined) {
        notRun = { connection: use.connection, basis: attribution.disclaimer }
        exchange.limitRest()
      }
      // The answer to the next request on the connection could not be told from a late one to this.
      if (headers[REQUEST_ID_HEADER] === undefined) exchange.closeAtEnd()
    },
    onData: chunk => {
      chunks.push(chunk)
      size += chunk.length
      if (size <= MAX_RESPONSE_BYTES) return
      problem = `The service's answer has more than ${MAX_RESPONSE_BYTES} bytes.`
      exchange.stop(problem)
    }
  })
  const { connectionPools } = options
  /**
   * A response without length ends with its connection, also when the service or an instance between has crashed midway: the
   * caller would get part of a response as the whole, and so would each repeat of its call.
   */
  const isWhole = async ({ connection }: HttpExchangeEnd): Promise<boolean> => connection === undefined || await connectionPools.isEndedByServer(req.address, connection)
  const end = await waitForEnd(exchange, req.signal)
  if (end.kind === 'silent') options.connectionPools.checkPath(req.address)
  if (notRun !== undefined) return { kind: 'not-run', message: `The service refused with status ${status}.`, isLeaving: status === HTTP_UNAVAILABLE, notRun }
  if (end.kind === 'complete' && !await isWhole(end)) return { kind: 'lost', message: 'The response without length may have been cut.' }
  if (end.kind === 'complete') {
    const contentType = String(headers['content-type'] ?? DEFAULT_CONTENT_TYPE)
    return { kind: 'answered', response: { status, contentType, body: Buffer.concat(chunks) } }
  }
  if (req.signal.aborted) return { kind: 'stopped', isSent: end.isSent }
  if (!end.isSent) return { kind: 'not-run', message: end.message, isLeaving: false, notRun: { connection: undefined, basis: UNSENT } }
  return { kind: 'lost', message: problem || end.message }
}

function exchangeRequestOf (req: ServiceCallRequest): ExchangeRequest {
  const { method, path, body, responseTimeoutMs } = req
  return {
    method,
    path,
    body: body.length === 0 ? undefined : body,
    headers: { ...req.headers, [REQUEST_ID_HEADER]: req.requestId },
    firstByteTimeoutMs: responseTimeoutMs,
    idleTimeoutMs: responseTimeoutMs,
    totalTimeoutMs: responseTimeoutMs
  }
}
