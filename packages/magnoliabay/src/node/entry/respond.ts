/** Response helpers shared by all handlers. */
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http'
import { REQUEST_ID_HEADER } from '../backend/protocol'
import type { Clock } from '../clock'
import { cutResponse } from '../http/cutResponse'
import { failureBody, httpStatusOf } from '../failures'
import type { Failure } from '../failures'

export function sendJson (res: ServerResponse, status: number, body: unknown): void {
  endJson(res, status, {}, body)
}

/**
 * Sends a failure to the caller: as the response if no headers have been sent, otherwise as a typed event
 * after which the connection is cut, so that no client takes the stream for complete: `clock` as for {@link cutResponse}.
 */
export function sendFailure (res: ServerResponse, failure: Failure, requestId: string, clock?: Clock): void {
  if (res.destroyed) return
  if (res.headersSent) {
    res.write(`event: error\ndata: ${JSON.stringify(failureBody(failure, requestId))}\n\n`, () => cutResponse(res, clock))
    return
  }
  const retryAfter = failure.retryAfterSeconds === undefined ? {} : { 'retry-after': String(failure.retryAfterSeconds) }
  endJson(res, httpStatusOf(failure), { [REQUEST_ID_HEADER]: requestId, ...retryAfter }, failureBody(failure, requestId))
}

function endJson (res: ServerResponse, status: number, headers: OutgoingHttpHeaders, body: unknown): void {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
  res.end(text)
}
