/**
 * One HTTP exchange with a backend server, which knows at every moment whether anything of the request has
 * been sent, and notices a connection that has gone silent.
 */
import type { Dispatcher } from 'undici'
import type { Clock } from '../clock'
import { messageOf } from '../utils'

export type HttpMethod = 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'

export interface ExchangeRequest {
  method: HttpMethod
  path: string
  headers: Readonly<Record<string, string>>
  body?: Buffer
  /** Longest expected silence before the first byte of the answer's body, milliseconds. */
  firstByteMs: number
  /** Longest expected silence within the body, milliseconds. */
  gapMs: number
}

export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>

export interface ExchangeHandlers {
  onHead (status: number, headers: ResponseHeaders): void
  onData (chunk: Buffer): void
}

/**
 * `complete`: the whole answer came. `broken`: the connection failed. `silent`: nothing came within the
 * expected time. `stopped`: by {@link HttpExchange.stop}.
 */
export type ExchangeEndKind = 'complete' | 'broken' | 'silent' | 'stopped'

export interface HttpExchangeEnd {
  kind: ExchangeEndKind
  /** False only when certainly no byte of the request left this process. */
  isSent: boolean
  message: string
}

export interface HttpExchange {
  readonly ended: Promise<HttpExchangeEnd>
  /** Ends the exchange and closes its connection, unless it has ended. */
  stop (message: string): void
  /** No more data is read until `resume`; silence is not counted meanwhile. */
  pause (): void
  resume (): void
}

export function startExchange (dispatcher: Dispatcher, clock: Clock, req: ExchangeRequest, handlers: ExchangeHandlers): HttpExchange {
  let controller: Dispatcher.DispatchController | undefined
  let isSent = false
  let isOver = false
  let isPaused = false
  let heardMs = clock.monotonic()
  let silenceMs = req.firstByteMs
  let settle: (end: HttpExchangeEnd) => void = () => {}
  const ended = new Promise<HttpExchangeEnd>(resolve => { settle = resolve })

  const finish = (kind: ExchangeEndKind, message: string): void => {
    if (isOver) return
    isOver = true
    cancelWatch()
    settle({ kind, isSent, message })
  }
  const abandon = (kind: ExchangeEndKind, message: string): void => {
    if (isOver) return
    finish(kind, message)
    // Closes the connection too: whatever may still come on it belongs to nobody.
    controller?.abort(new Error(message))
  }
  /** One timer for each exchange, armed anew only when it fires: chunks only note the time. */
  const watch = (delayMs: number): (() => void) => clock.schedule(delayMs, () => {
    if (isPaused) {
      cancelWatch = watch(silenceMs)
      return
    }
    const leftMs = heardMs + silenceMs - clock.monotonic()
    if (leftMs > 0) cancelWatch = watch(leftMs)
    else abandon('silent', `Nothing came for ${silenceMs} ms.`)
  })
  let cancelWatch = watch(Math.min(req.firstByteMs, req.gapMs))

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: started => {
      controller = started
      // The library queues a request again when its connection closes in some ways. It must never go out
      // twice under one exchange: a second start is refused here, before a byte of it is written.
      if (isOver || isSent) {
        started.abort(new Error('The exchange has ended.'))
        return finish('broken', 'The connection closed before it was used.')
      }
      isSent = true
    },
    onResponseStart: (_controller, status, headers) => {
      if (isOver || status < 200) return
      heardMs = clock.monotonic()
      handlers.onHead(status, headers)
    },
    onResponseData: (_controller, chunk) => {
      if (isOver) return
      heardMs = clock.monotonic()
      silenceMs = req.gapMs
      handlers.onData(chunk)
    },
    onResponseEnd: () => finish('complete', ''),
    onResponseError: (_controller, err) => finish('broken', messageOf(err))
  }
  try {
    dispatcher.dispatch({ method: req.method, path: req.path, headers: { ...req.headers }, body: req.body, headersTimeout: 0, bodyTimeout: 0 }, handler)
  } catch (err) {
    // Thrown for a request that the library won't send: a header or path it takes for invalid.
    finish('broken', messageOf(err))
  }
  return {
    ended,
    stop: message => abandon('stopped', message),
    pause: () => {
      isPaused = true
      controller?.pause()
    },
    resume: () => {
      isPaused = false
      heardMs = clock.monotonic()
      controller?.resume()
    }
  }
}
