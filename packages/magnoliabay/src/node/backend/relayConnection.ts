/** The part of a streamed response that is received over one connection. */
import type { Dispatcher } from 'undici'
import { createIndeterminateFailure, createRefusal } from '../failures'
import { startExchange } from './httpExchange'
import type { HttpExchangeEnd, ExchangeRequest, ResponseHeaders } from './httpExchange'
import { NOT_RUN_HEADER, REQUEST_ID_HEADER } from './protocol'
import type { StreamState } from './relayStreamState'
import type { RelayOptions, RelayRequest, RelayResult } from './relayTypes'

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
  /** The request was certainly not run, not even in part. */
  isNotRun: boolean
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
  isForOtherRequest: boolean
  isNotRun: boolean
  errorText: string
}

export function createResponseHead (): ResponseHead {
  return { status: 0, isForOtherRequest: false, isNotRun: false, errorText: '' }
}

/** Reads the head of a response. A response without this request's id is not evidence about the request. */
export function readResponseHead (head: ResponseHead, requestId: string, status: number, headers: ResponseHeaders): void {
  head.status = status
  const isForThisRequest = headers[REQUEST_ID_HEADER] === requestId
  head.isForOtherRequest = headers[REQUEST_ID_HEADER] === undefined ? status === HTTP_OK : !isForThisRequest
  head.isNotRun = isForThisRequest && status !== HTTP_OK && headers[NOT_RUN_HEADER] === 'true'
}

export async function runPart (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, exchangeReq: ExchangeRequest, stream: StreamState): Promise<PartResult> {
  const head = createResponseHead()
  let isDone = false
  let problem = ''
  let cancelCloseTimer = (): void => {}
  const exchange = startExchange(dispatcher, options.clock, exchangeReq, {
    onHead: (status, headers) => {
      readResponseHead(head, req.engineRequestId, status, headers)
      if (head.isForOtherRequest) return exchange.stop('The engine answered another request.')
      options.statements.record(req.address, status, headers, status === HTTP_OK)
    },
    onData: chunk => {
      if (head.status !== HTTP_OK) return appendErrorText(head, chunk)
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

export function appendErrorText (head: ResponseHead, chunk: Buffer): void {
  if (head.errorText.length < MAX_ERROR_TEXT_BYTES) head.errorText += chunk.toString('utf8').slice(0, MAX_ERROR_TEXT_BYTES)
}

export function toPartResult (end: HttpExchangeEnd, head: ResponseHead, isDone: boolean, signal: AbortSignal, problem: string): PartResult {
  const result: PartResult = {
    kind: 'broken',
    message: problem || end.message || 'The engine ended the answer before it was whole.',
    status: head.status,
    isNotRun: !end.isSent,
    isConnectionSuspect: false,
    isLeftRunning: false,
    isConnectionBroken: false
  }
  if (isDone) return { ...result, kind: 'done' }
  if (signal.aborted) return { ...result, kind: 'stopped', isLeftRunning: end.isSent }
  if (!end.isSent) return result
  if (head.status !== 0 && head.status !== HTTP_OK && !head.isForOtherRequest) {
    return { ...result, kind: 'refused', isNotRun: head.isNotRun, message: `The engine answered with status ${head.status}: ${head.errorText}` }
  }
  return { ...result, isConnectionSuspect: true, isLeftRunning: true, isConnectionBroken: end.kind !== 'silent' }
}

/** Returns the result of a part of which nothing was sent to the caller. */
export function toFailedResult (part: PartResult): RelayResult {
  if (part.kind === 'stopped') return { kind: 'stopped', failure: createIndeterminateFailure('backend_failed', part.message), isConnectionBroken: false }
  if (part.isNotRun && part.status === HTTP_TOO_MANY_REQUESTS) return { kind: 'refused', failure: createRefusal('overloaded', part.message, 1) }
  if (part.isNotRun && REQUEST_ERROR_STATUSES.has(part.status)) return { kind: 'refused', failure: createRefusal('bad_request', part.message) }
  if (part.isNotRun) return { kind: 'not-run', failure: createRefusal('backend_failed', part.message, 1) }
  return { kind: 'failed', failure: createIndeterminateFailure('backend_failed', part.message), isConnectionBroken: part.isConnectionBroken }
}
