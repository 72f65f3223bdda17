/** What a caller gets who sends bytes that are no HTTP request, or more of a body than was waited for. */
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
 * A connection that is closed while bytes of the body still come in is reset, and the caller's system
 * throws away the answer that it has not read yet: the caller sees a broken connection in place of the
 * refusal. So the rest is read and dropped for a while first. A caller that sends for ever is cut then.
 */
const DISCARD_MS = 2000

const REFUSALS: Readonly<Record<string, Failure>> = {
  HPE_HEADER_OVERFLOW: createRefusal('headers_too_large', 'The headers are larger than this server takes.'),
  ERR_HTTP_REQUEST_TIMEOUT: createRefusal('body_timeout', 'The request did not arrive in time.')
}
const NOT_HTTP = createRefusal('bad_request', 'This is no HTTP request.')

/**
 * Answers bad input with a typed error and closes its connection.
 *
 * A request that came before the bad bytes on the same connection gets its own answer first. Node's
 * default writes `400 Bad Request` at once: the caller would take that for the answer to a request that
 * is running. One whose own body breaks off in bad bytes is itself refused.
 */
export function handleClientErrors (server: Server, clock: Clock): void {
  const latest = new WeakMap<Duplex, Exchange>()
  server.on('request', (req, res) => {
    latest.set(req.socket, { req, res })
    res.on('finish', () => discardRest(clock, req))
  })
  server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
    if (err.code === 'ECONNRESET' || !socket.writable) return socket.destroy()
    const failure = REFUSALS[err.code ?? ''] ?? NOT_HTTP
    const exchange = latest.get(socket)
    if (exchange === undefined || exchange.res.writableFinished) return endWith(socket, failure)
    if (exchange.req.complete) return exchange.res.once('finish', () => endWith(socket, failure))
    exchange.res.once('finish', () => socket.end())
    sendFailure(exchange.res, failure, (exchange.req as EntryRequest).requestId)
  })
}

function discardRest (clock: Clock, req: IncomingMessage): void {
  if (req.complete) return
  const cancel = clock.schedule(DISCARD_MS, () => { if (!req.complete) req.destroy() })
  req.on('close', cancel)
  req.resume()
}

function endWith (socket: Duplex, failure: Failure): void {
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
