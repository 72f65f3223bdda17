/** Handles connections with malformed HTTP, and request bodies that are not read to their end. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Clock } from '../clock'
import { failureBody, httpStatusOf, createRefusal } from '../failures'
import type { Failure } from '../failures'
import { createId } from '../utils'
import { sendFailure } from './respond'
import type { EntryRequest } from './types'

interface Exchange {
  req: IncomingMessage
  res: ServerResponse
}

/**
 * How long the rest of a body is read and discarded after the response. Closing a connection while the body
 * still arrives resets it: the caller's operating system then drops the unread response, and the caller sees a broken
 * connection in place of the refusal. A caller that still sends after this time is disconnected.
 */
const DISCARD_TIMEOUT_MS = 2000

const FAILURE_BY_ERROR_CODE: Readonly<Record<string, Failure>> = {
  HPE_HEADER_OVERFLOW: createRefusal('headers_too_large', 'The headers are larger than this server takes.'),
  ERR_HTTP_REQUEST_TIMEOUT: createRefusal('body_timeout', 'The request did not arrive in time.')
}
const NOT_HTTP_FAILURE = createRefusal('bad_request', 'This is no HTTP request.')

/**
 * Responds to malformed input with a typed error and closes its connection.
 *
 * An earlier request on the same connection gets its own response first. Node's default writes
 * `400 Bad Request` at once, which the caller would take for the response to the running request. A request
 * whose own body is malformed is refused.
 */
export function handleClientErrors (server: Server, clock: Clock): void {
  const latestExchange = new WeakMap<Duplex, Exchange>()
  server.on('request', (req, res) => {
    latestExchange.set(req.socket, { req, res })
    res.on('finish', () => discardRemainingBody(clock, req))
  })
  server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
    if (err.code === 'ECONNRESET' || !socket.writable) return socket.destroy()
    const failure = FAILURE_BY_ERROR_CODE[err.code ?? ''] ?? NOT_HTTP_FAILURE
    const exchange = latestExchange.get(socket)
    if (exchange === undefined || exchange.res.writableFinished) return endSocketWithFailure(socket, failure)
    if (exchange.req.complete) return exchange.res.once('finish', () => endSocketWithFailure(socket, failure))
    exchange.res.once('finish', () => socket.end())
    sendFailure(exchange.res, failure, (exchange.req as EntryRequest).requestId)
  })
}

function discardRemainingBody (clock: Clock, req: IncomingMessage): void {
  if (req.complete) return
  const cancel = clock.schedule(DISCARD_TIMEOUT_MS, () => { if (!req.complete) req.destroy() })
  req.on('close', cancel)
  req.resume()
}

function endSocketWithFailure (socket: Duplex, failure: Failure): void {
  const status = httpStatusOf(failure)
  const body = JSON.stringify(failureBody(failure, createId('req')))
  socket.end([
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body
  ].join('\r\n'))
}
