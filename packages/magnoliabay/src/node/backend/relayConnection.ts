/** The part of a streamed response that is received over one connection. */
import type { Dispatcher } from 'undici'
import { createIndeterminateFailure, createRefusal } from '../failures'
import { UNSENT } from '../answers'
import type { Disclaimer } from '../answers'
import type { ConnectionUse } from '../http/connectionUse'
import { startExchange } from './httpExchange'
import type { ExchangeRequest, HttpExchange, HttpExchangeEnd, ResponseHeaders } from './httpExchange'
import { attributeResponse } from './responseAttribution'
import type { StreamState } from './relayStreamState'
import type { NotRunBasis, RelayOptions, RelayRequest, RelayResult } from './relayTypes'

const HTTP_OK = 200
const HTTP_TOO_MANY_REQUESTS = 429
/** Statuses of an invalid request: every engine would refuse it. */
const REQUEST_ERROR_STATUSES: ReadonlySet<number> = new Set([400, 413, 422])
const MAX_ERROR_TEXT_BYTES = 200
/** Longest wait for an engine to end its response after the end mark, so that its connection can be reused, milliseconds. */
const CLOSE_TIMEOUT_MS = 500

/**
 * `done`: the end mark arrived. `refused`: the engine answered with an error. `broken`: the connection failed, timed out
 * or carried a wrong event. `stopped`: the request was aborted.
 */
export type PartKind = 'done' | 'refused' | 'broken' | 'stopped'

export interface PartResult {
  kind: PartKind
  message: string
  status: number
  /** Why the request was certainly not run, not even in part; undefined if it may have. */
  notRun: NotRunBasis | undefined
  /** The fault may lie in this connection alone, and not in the engine: a new connection may work. */
  isConnectionSuspect: boolean
  /** The engine may still be running the request, though its response is no longer read. */
  isLeftRunning: boolean
  /** The connection broke, or ended before the response was whole: the engine's process may have terminated. */
  isConnectionBroken: boolean
}

/** Status and relevant headers of a response, and the text of a refusal. */
export interface ResponseHead {
  status: number
  /** Why the response is not used: nothing ties it to this request. */
  unattributed: string | undefined
  /** Connection on which it arrived. */
  connection: number
  /** What in it says that the request has not run. */
  disclaimer: Disclaimer | undefined
  errorText: string
}

export function createResponseHead (): ResponseHead {
  return { status: 0, unattributed: undefined, connection: 0, disclaimer: undefined, errorText: '' }
}

/** Reads the head of a response to the request with the id. Engines name it in each completion. */
function readResponseHead (head: ResponseHead, requestId: string, status: number, headers: ResponseHeaders, use: ConnectionUse): void {
  const attribution = attributeResponse(requestId, status, headers, use, status === HTTP_OK)
  head.status = status
  head.connection = use.connection
  if (attribution.kind === 'own') head.disclaimer = attribution.disclaimer
  else head.unattributed = attribution.reason
}

/**
 * Starts the exchange of a request, reads its response head into `head` and the text of a refusal. A response that nothing
 * ties to the request ends it.
 */
export function startRelayExchange (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, exchangeReq: ExchangeRequest, head: ResponseHead, onBody: (chunk: Buffer) => void): HttpExchange {
  const exchange = startExchange(dispatcher, options.clock, exchangeReq, {
    onHead: (status, headers, use) => {
      readResponseHead(head, req.engineRequestId, status, headers, use)
      if (head.unattributed !== undefined) return exchange.stop(`The engine's answer is not used: ${head.unattributed}.`)
      options.statements.record(req.address, status, headers, status === HTTP_OK)
      if (status !== HTTP_OK) exchange.limitRest()
    },
    onData: chunk => {
      if (head.status !== HTTP_OK) return appendErrorText(head, chunk)
      onBody(chunk)
    }
  })
  return exchange
}

export async function runPart (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, exchangeReq: ExchangeRequest, stream: StreamState): Promise<PartResult> {
  const head = createResponseHead()
  let isDone = false
  let problem = ''
  let cancelCloseTimer = (): void => {}
  const exchange = startRelayExchange(options, dispatcher, req, exchangeReq, head, chunk => {
    if (isDone) return exchange.stop('The engine went on after the end of its answer.')
    const pushResult = stream.push(chunk)
    isDone = pushResult.isDone
    if (isDone) {
      stream.end()
      cancelCloseTimer = options.clock.schedule(CLOSE_TIMEOUT_MS, () => exchange.stop('The engine kept its connection open after the end.'))
    }
    if (pushResult.problem !== undefined) {
      problem = `The engine sent a ${pushResult.problem} event.`
      exchange.stop(problem)
    } else if (!pushResult.isWritable && !isDone) {
      exchange.pause()
    }
  })
  stream.setOnDrain(() => exchange.resume())
  const end = await waitForEnd(exchange, req.signal)
  cancelCloseTimer()
  if (end.kind === 'silent') options.connectionPools.checkPath(req.address)
  return toPartResult(end, head, isDone, req.signal, problem)
}

/** Waits until the exchange has ended; stops it when the request is aborted. */
export async function waitForEnd (exchange: { ended: Promise<HttpExchangeEnd>, stop: (message: string) => void }, signal: AbortSignal): Promise<HttpExchangeEnd> {
  const onAbort = (): void => exchange.stop('The request was given up.')
  if (signal.aborted) onAbort()
  signal.addEventListener('abort', onAbort, { once: true })
  const end = await exchange.ended
  signal.removeEventListener('abort', onAbort)
  return end
}

function appendErrorText (head: ResponseHead, chunk: Buffer): void {
  if (head.errorText.length < MAX_ERROR_TEXT_BYTES) head.errorText += chunk.toString('utf8').slice(0, MAX_ERROR_TEXT_BYTES)
}

export function toPartResult (end: HttpExchangeEnd, head: ResponseHead, isDone: boolean, signal: AbortSignal, problem: string): PartResult {
  const result: PartResult = {
    kind: 'broken',
    message: problem || end.message || 'The engine ended the answer before it was whole.',
    status: head.status,
    notRun: end.isSent ? undefined : { connection: undefined, basis: UNSENT },
    isConnectionSuspect: false,
    isLeftRunning: false,
    isConnectionBroken: false
  }
  if (isDone) return { ...result, kind: 'done' }
  if (signal.aborted) return { ...result, kind: 'stopped', isLeftRunning: end.isSent }
  if (!end.isSent) return result
  if (head.status !== 0 && head.status !== HTTP_OK && head.unattributed === undefined) {
    const notRun = head.disclaimer === undefined ? undefined : { connection: head.connection, basis: head.disclaimer }
    return { ...result, kind: 'refused', notRun, message: `The engine answered with status ${head.status}: ${head.errorText}` }
  }
  return { ...result, isConnectionSuspect: true, isLeftRunning: true, isConnectionBroken: end.kind !== 'silent' }
}

/** Returns the result of a part of which nothing was sent to the caller. */
export function toFailedResult (part: PartResult): RelayResult {
  if (part.kind === 'stopped') return { kind: 'stopped', failure: createIndeterminateFailure('backend_failed', part.message), isConnectionBroken: false }
  const { notRun } = part
  if (notRun === undefined) return { kind: 'failed', failure: createIndeterminateFailure('backend_failed', part.message), isConnectionBroken: part.isConnectionBroken }
  if (part.status === HTTP_TOO_MANY_REQUESTS) return { kind: 'refused', failure: createRefusal('overloaded', part.message, 1), notRun }
  if (REQUEST_ERROR_STATUSES.has(part.status)) return { kind: 'refused', failure: createRefusal('bad_request', part.message), notRun }
  return { kind: 'not-run', failure: createRefusal('backend_failed', part.message, 1), notRun }
}
