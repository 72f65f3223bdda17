/** HTTP server for callers: reads requests within the configured limits and passes them to `serve`. */
import { listenOn } from '../http/listen'
import { inBackground } from '../background'
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '../clock'
import { TIMED_OUT, withTimeout } from '../clock'
import { cutResponse } from '../http/cutResponse'
import { handleClientErrors } from '../entry/clientErrors'
import { bodyMiddleware } from '../entry/middleware/body'
import type { EntryRequest, Handler } from '../entry/types'
import type { Logger } from '../logger'
import { createId, messageOf } from '../utils'
import type { Inbound } from './requestRun'
import type { CallerLimits } from './types'

/** Limits that apply until a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = { maxHeaderBytes: 65_536, maxBodyBytes: 4_194_304, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 }
/** Idle connections are kept this much longer than callers reuse them, so that none is closed as a request arrives. */
const KEEP_ALIVE_MARGIN_MS = 2000
/** Timers of the runtime hold no more than 24 days. */
const MAX_IDLE_TIMEOUT_MS = 86_400_000
/** Longest time for receiving a body, milliseconds. */
const BODY_TIMEOUT_MS = 30_000
/** How long before the connections are cut the requests that still wait are ended, milliseconds: their refusals have to be sent. */
export const LAST_ANSWERS_MS = 100

export interface EntryServerOptions {
  address: string
  serve: (inbound: Inbound) => Promise<void>
  isLeaving: () => boolean
  /** Refuses all requests of which nothing has been sent to their callers. */
  handBackAll: () => void
  clock: Clock
  logger: Logger
}

export interface EntryServer {
  start (): Promise<void>
  setLimits (limits: CallerLimits): void
  /** `ip:port` on which the server listens. */
  address (): string
  /**
   * Accepts no more connections, and resolves when the last request has ended. Those that wait are refused shortly before
   * `drainMs` have passed; then what is left is cut.
   */
  close (drainMs: number): Promise<void>
}

export function createEntryServer (options: EntryServerOptions): EntryServer {
  const { clock, logger, serve } = options
  let readBody: Handler
  const open = new Set<ServerResponse>()

  /** The latest response on each connection: a caller may send its next request before it has the answer to the one before. */
  const latestOn = new WeakMap<Socket, ServerResponse>()

  /**
   * Ends the connection with its latest response. Otherwise the caller would reuse it and send its next request to a process
   * that is about to end; with an earlier response, those behind it would be lost.
   */
  const closeWithResponse = (res: ServerResponse): void => {
    if (!res.headersSent && latestOn.get(res.req.socket) === res) res.setHeader('connection', 'close')
  }
  /** Whether the latest response on the connection has told the caller that the connection ends with it. */
  const hasAnnouncedEnd = (socket: Socket): boolean => {
    const latest = latestOn.get(socket)
    return latest !== undefined && latest.headersSent && latest.getHeader('connection') === 'close'
  }
  const recordLatest = (res: ServerResponse): void => {
    const earlier = latestOn.get(res.req.socket)
    if (earlier !== undefined && !earlier.headersSent) earlier.removeHeader('connection')
    latestOn.set(res.req.socket, res)
  }
  const handle = (req: IncomingMessage, res: ServerResponse): void => {
    // Passed on, it would run, and its answer could not be sent. Unread, its bytes would reset the connection of the response before it.
    if (hasAnnouncedEnd(req.socket)) {
      logger.info('request-dropped', { reason: 'the connection ends with the response before it' })
      req.resume()
      return
    }
    const arrivedMs = clock.monotonic()
    const entryReq = req as EntryRequest
    entryReq.requestId = createId('req')
    open.add(res)
    recordLatest(res)
    res.once('close', () => open.delete(res))
    if (options.isLeaving()) closeWithResponse(res)
    inBackground('read-body', readBody(entryReq, res, () => {
      serve({ req, res, body: entryReq.rawBody, arrivedMs }).catch((err: unknown) => {
        logger.error('request-fault', { reason: messageOf(err), stack: err instanceof Error ? err.stack : undefined })
        cutResponse(res, clock)
      })
    }))
  }
  const server = createServer({ keepAlive: true, noDelay: true, maxHeaderSize: DEFAULT_LIMITS.maxHeaderBytes }, handle)
  handleClientErrors(server, clock)
  const setLimits = (limits: CallerLimits): void => {
    server.headersTimeout = limits.headerTimeoutMs
    server.requestTimeout = limits.headerTimeoutMs + BODY_TIMEOUT_MS
    server.keepAliveTimeout = Math.min(MAX_IDLE_TIMEOUT_MS, limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS)
    readBody = bodyMiddleware(clock, { maxBodyBytes: limits.maxBodyBytes, bodyTimeoutMs: BODY_TIMEOUT_MS })
  }
  setLimits(DEFAULT_LIMITS)

  return {
    setLimits,
    address: () => {
      const bound = server.address() as AddressInfo
      return `${bound.address}:${bound.port}`
    },
    start: () => listenOn(server, options.address, clock, logger),
    close: async drainMs => {
      const closed = new Promise<void>(resolve => { server.close(() => resolve()) })
      server.closeIdleConnections()
      open.forEach(closeWithResponse)
      if (await withTimeout(clock, Math.max(0, drainMs - LAST_ANSWERS_MS), closed) !== TIMED_OUT) return
      options.handBackAll()
      if (await withTimeout(clock, LAST_ANSWERS_MS, closed) !== TIMED_OUT) return
      logger.warn('requests-cut-by-shutdown', { open: open.size })
      open.forEach(res => cutResponse(res))
      server.closeAllConnections()
    }
  }
}
