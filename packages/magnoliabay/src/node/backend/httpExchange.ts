/**
 * One HTTP exchange with a backend server. Tracks whether any byte of the request has been sent, and detects a
 * connection on which nothing arrives any more.
 */
import { inBackground } from '../background'
import type { Socket } from 'node:net'
import type { Dispatcher } from 'undici'
import type { CancelTimer, Clock } from '../clock'
import { watchConnectionEnd } from '../http/connectionEnd'
import type { ConnectionEnd } from '../http/connectionEnd'
import { recordRequest } from '../http/connectionUse'
import type { ConnectionUse } from '../http/connectionUse'
import { MAX_HINT_BYTES, MAX_REFUSAL_BYTES, REFUSAL_BODY_TIMEOUT_MS, isOverheadEndless } from '../http/boundedBody'
import { framingOf } from '../http/responseFraming'
import type { ResponseHeaders } from '../http/responseFraming'
import { messageOf } from '../utils'
import type { TrackedDispatchOptions } from './trackedClient'

export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'

export interface ExchangeRequest {
  method: HttpMethod
  path: string
  headers: Readonly<Record<string, string>>
  body?: Buffer
  /** Longest wait for the first byte of the response's body, milliseconds. */
  firstByteTimeoutMs: number
  /** Longest pause between two chunks of the body, milliseconds. */
  idleTimeoutMs: number
  /** Longest time for the whole exchange, milliseconds. @default no limit of its own */
  totalTimeoutMs?: number
}

export type { ResponseHeaders }

export interface ExchangeHandlers {
  /** `use`: the connection on which the request went out. */
  onHead (status: number, headers: ResponseHeaders, use: ConnectionUse): void
  onData (chunk: Buffer): void
}

/**
 * `complete`: the whole response arrived. `broken`: the connection failed. `silent`: nothing arrived within the
 * timeout. `stopped`: ended by {@link HttpExchange.stop}.
 */
export type ExchangeEndKind = 'complete' | 'broken' | 'silent' | 'stopped'

export interface HttpExchangeEnd {
  kind: ExchangeEndKind
  /** False only when certainly no byte of the request left this process. */
  isSent: boolean
  message: string
  /**
   * Connection of a complete response that ended with it and was closed, not reset: whether its server closed it is to be
   * checked. Undefined for every other response.
   */
  connection?: Socket
}

export interface HttpExchange {
  readonly ended: Promise<HttpExchangeEnd>
  /** Ends the exchange and closes its connection, unless it has ended already. */
  stop (message: string): void
  /** Ends the exchange when the rest of the body is long, or takes long: the head has settled it. */
  limitRest (): void
  /** Closes the connection once the response is over, so that it carries no further request. */
  closeAtEnd (): void
  /** Stops reading until `resume`; the timeouts do not apply meanwhile. */
  pause (): void
  resume (): void
}

/** Of an informational response without headers, about. */
const HINT_LINE_BYTES = 20
const REST_WITHOUT_END = 'The rest of the answer has no end.'

export function startExchange (dispatcher: Dispatcher, clock: Clock, req: ExchangeRequest, handlers: ExchangeHandlers): HttpExchange {
  let controller: Dispatcher.DispatchController | undefined
  let isSent = false
  let hasEnded = false
  let isPaused = false
  let hintBytes = 0
  let bodyBytes = 0
  let isRestLimited = false
  /** Called once the exchange has ended. */
  const cancels: CancelTimer[] = []
  let closesAtEnd = false
  let lastActivityMs = clock.monotonic()
  let currentTimeoutMs = req.firstByteTimeoutMs
  let resolveEnded: (end: HttpExchangeEnd) => void = () => {}
  const ended = new Promise<HttpExchangeEnd>(resolve => { resolveEnded = resolve })

  let connectionOf: () => Socket | undefined = () => undefined
  /** The connection of a response that ends with it. */
  let watched: { socket: Socket, end: ConnectionEnd } | undefined
  let isUnmarked = false
  /** A connection that is not tracked may have carried others. */
  let use: ConnectionUse = { connection: 0, priorRequests: 1 }

  const finish = (kind: ExchangeEndKind, message: string, connection?: Socket): void => {
    if (hasEnded) return
    hasEnded = true
    cancelIdleCheck()
    cancels.forEach(cancel => cancel())
    watched?.end.stop()
    resolveEnded({ kind, isSent, message, connection })
  }
  /** `undici` takes a reset for the end of a response that ends with its connection, and tells its users nothing of it. */
  const finishAtConnectionEnd = async (): Promise<void> => {
    if (await watched?.end.wasClosed() === true) finish('complete', '', watched!.socket)
    else finish('broken', 'The connection was reset within a response without length.')
  }
  const abort = (kind: ExchangeEndKind, message: string): void => {
    if (hasEnded) return
    finish(kind, message)
    // Closes the connection too: data that still arrives on it must not be taken for part of another response.
    controller?.abort(new Error(message))
  }
  /** Uses one timer for each exchange, set again only when it fires; a chunk only updates `lastActivityMs`. */
  const scheduleIdleCheck = (delayMs: number): (() => void) => clock.schedule(delayMs, () => {
    if (isPaused) {
      cancelIdleCheck = scheduleIdleCheck(currentTimeoutMs)
      return
    }
    const remainingMs = lastActivityMs + currentTimeoutMs - clock.monotonic()
    if (remainingMs > 0) cancelIdleCheck = scheduleIdleCheck(remainingMs)
    else abort('silent', `Nothing came for ${currentTimeoutMs} ms.`)
  })
  let cancelIdleCheck = scheduleIdleCheck(Math.min(req.firstByteTimeoutMs, req.idleTimeoutMs))

  const { totalTimeoutMs } = req
  if (totalTimeoutMs !== undefined) cancels.push(clock.schedule(totalTimeoutMs, () => abort('broken', `The answer was not whole after ${totalTimeoutMs} ms.`)))
  /** Returns whether informational responses have no end. */
  const countHint = (headers: ResponseHeaders): boolean => {
    hintBytes += HINT_LINE_BYTES + Object.entries(headers).map(([name, value]) => name.length + String(value).length).reduce((sum, bytes) => sum + bytes, 0)
    return hintBytes > MAX_HINT_BYTES
  }
  /** The parser of `undici` bounds headers only. */
  const watchOverhead = (socket: Socket): void => {
    const bytesBefore = socket.bytesRead
    const check = (): void => { if (isOverheadEndless(socket.bytesRead - bytesBefore, bodyBytes)) abort('broken', 'The answer has no end beside its body.') }
    socket.on('readable', check)
    cancels.push(() => socket.removeListener('readable', check))
  }
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: started => {
      controller = started
      // undici queues a request again when its connection closes in some ways. One exchange must never send its
      // request twice: a second start is aborted here, before a byte of it is written.
      if (hasEnded || isSent) {
        started.abort(new Error('The exchange has ended.'))
        return finish('broken', 'The connection closed before it was used.')
      }
      isSent = true
      const socket = connectionOf()
      if (socket === undefined) return
      use = recordRequest(socket)
      watchOverhead(socket)
    },
    onResponseStart: (_controller, status, headers) => {
      if (hasEnded) return
      if (status >= 100 && status < 200) {
        if (countHint(headers)) abort('broken', 'informational responses without end')
        return
      }
      if (status < 100) return abort('broken', `status ${status} is none of HTTP`)
      lastActivityMs = clock.monotonic()
      isUnmarked = framingOf(req.method, status, headers) === 'connection'
      const socket = isUnmarked ? connectionOf() : undefined
      if (socket !== undefined) watched = { socket, end: watchConnectionEnd(socket) }
      handlers.onHead(status, headers, use)
    },
    onResponseData: (_controller, chunk) => {
      if (hasEnded) return
      lastActivityMs = clock.monotonic()
      currentTimeoutMs = req.idleTimeoutMs
      bodyBytes += chunk.length
      if (isRestLimited && bodyBytes > MAX_REFUSAL_BYTES) return abort('stopped', REST_WITHOUT_END)
      handlers.onData(chunk)
    },
    onResponseEnd: () => {
      if (isUnmarked) inBackground('verify-response', finishAtConnectionEnd())
      else finish('complete', '')
      if (closesAtEnd) connectionOf()?.destroy()
    },
    onResponseError: (_controller, err) => finish('broken', messageOf(err))
  }
  const options: TrackedDispatchOptions = {
    method: req.method,
    path: req.path,
    headers: { ...req.headers },
    body: req.body,
    headersTimeout: 0,
    bodyTimeout: 0,
    onClient: connection => { connectionOf = connection }
  }
  try {
    dispatcher.dispatch(options, handler)
  } catch (err) {
    // undici throws for a request that it does not send, such as one with an invalid header or path.
    finish('broken', messageOf(err))
  }
  return {
    ended,
    stop: message => abort('stopped', message),
    limitRest: () => {
      isRestLimited = true
      cancels.push(clock.schedule(REFUSAL_BODY_TIMEOUT_MS, () => abort('stopped', REST_WITHOUT_END)))
    },
    closeAtEnd: () => { closesAtEnd = true },
    pause: () => {
      isPaused = true
      controller?.pause()
    },
    resume: () => {
      isPaused = false
      lastActivityMs = clock.monotonic()
      controller?.resume()
    }
  }
}
