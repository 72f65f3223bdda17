/** Answers that every handler gives the same way. */
import type { ServerResponse } from 'node:http'
import { REQUEST_ID_HEADER } from '../backend/protocol'
import { failureBody, httpStatusOf } from '../failures'
import type { Failure } from '../failures'

export function sendJson (res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}

/**
 * Tells the caller of a failure: as the answer while nothing has been sent, else as a typed event after
 * which the connection is cut, so that no client takes the broken stream for a whole one.
 */
export function sendFailure (res: ServerResponse, failure: Failure, requestId: string): void {
  if (res.destroyed) return
  if (res.headersSent) {
    res.write(`event: error\ndata: ${JSON.stringify(failureBody(failure, requestId))}\n\n`, () => res.destroy())
    return
  }
  const retryAfter = failure.retryAfterSeconds === undefined ? {} : { 'retry-after': String(failure.retryAfterSeconds) }
  res.writeHead(httpStatusOf(failure), { 'content-type': 'application/json', [REQUEST_ID_HEADER]: requestId, ...retryAfter })
  res.end(JSON.stringify(failureBody(failure, requestId)))
}
