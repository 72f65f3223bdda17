/** Where callers connect. */
import type { Server, ServerResponse } from 'node:http'
import polka from 'polka'
import type { Keyring } from '../admission'
import type { Allowance } from '../allowance'
import type { BackendDirectory, EngineClient, ConnectionPools } from '../backend'
import { createLeavingBackends } from '../backend/leavingBackends'
import type { Clock } from '../clock'
import { TIMED_OUT, withTimeout } from '../clock'
import type { ConfigProvider, ResolvedSettings } from '../config'
import { createRefusal } from '../failures'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { Metrics } from '../metrics'
import type { IdempotencyClaims } from '../once'
import { createCrashCheck, createRetryBudget, createSuspects } from '../outcomes'
import type { SloTracker } from '../report'
import type { RequestQueue } from '../queue'
import type { ReplicaRouter } from '../routing'
import { createHttpServer } from '../tls'
import type { Certificates } from '../tls'
import { messageOf, parseHostPort } from '../utils'
import { handleClientErrors } from './clientErrors'
import { completionHandler } from './completions'
import { authenticateMiddleware } from './middleware/authenticate'
import { bodyMiddleware } from './middleware/body'
import { deadlineMiddleware, withdrawalMiddleware } from './middleware/deadline'
import { leavingMiddleware } from './middleware/leaving'
import { requestIdMiddleware } from './middleware/requestId'
import { createOpenRequests } from './openRequests'
import { locateHandler, modelsHandler } from './queries'
import { sendFailure, sendJson } from './respond'
import { serviceHandler } from './services'
import type { EntryRequest, Handler } from './types'

/** For the failures of requests that outlast a shutdown to reach their callers, milliseconds. */
const LAST_WORDS_MS = 1000
/** Longer than callers' own, so that a caller never sends into a connection that is just being closed. */
const KEEP_ALIVE_MS = 75_000
/** After this much silence the system probes whether a caller is still there, milliseconds. */
const PROBE_DELAY_MS = 15_000

export interface EntryServerOptions {
  settings: ResolvedSettings
  cfg: ConfigProvider
  keyring: Keyring
  allowance: Allowance
  queue: RequestQueue
  routing: ReplicaRouter
  directory: BackendDirectory
  idempotencyClaims: IdempotencyClaims
  connectionPools: ConnectionPools
  engineClient: EngineClient
  peers: Peers
  clock: Clock
  logger: Logger
  metrics: Metrics
  /** @default plain text */
  certificates?: Certificates
  report: Pick<SloTracker, 'recordRequest'>
  isReady: () => boolean
}

export interface EntryServer {
  start (): Promise<void>
  /**
   * Stops taking connections and resolves when every open request has ended; those still open after
   * `drainMs` milliseconds are ended with a typed failure.
   */
  close (drainMs: number): Promise<void>
}

export function createEntryServer (options: EntryServerOptions): EntryServer {
  const { settings, metrics } = options
  const { limits } = settings
  const server = createHttpServer({ keepAlive: true, keepAliveInitialDelay: PROBE_DELAY_MS, keepAliveTimeout: KEEP_ALIVE_MS }, options.certificates)
  handleClientErrors(server, options.clock)
  const app = polka({
    server,
    onError: (err, req, res) => {
      const { requestId, execution: trail } = req as unknown as EntryRequest
      options.logger.error('entry-fault', { reason: messageOf(err) })
      const outcome = trail.conclude(createRefusal('internal', 'Something went wrong here.'))
      if (outcome.kind !== 'answered') sendFailure(res as ServerResponse, outcome.failure, requestId)
    },
    onNoMatch: (req, res) => {
      const allowed = routes.filter(route => servesPath(route.path, req.path)).map(route => route.method)
      const failure = allowed.length === 0
        ? createRefusal('not_found', `Nothing is served at ${req.path}.`)
        : createRefusal('method_not_allowed', `${req.path} takes ${allowed.join(', ')}, not ${req.method}.`)
      if (allowed.length > 0) res.setHeader('allow', allowed.join(', '))
      sendFailure(res, failure, (req as unknown as EntryRequest).requestId)
    }
  })
  const { clock, peers, connectionPools, engineClient } = options
  const open = createOpenRequests(limits)
  const departures = createLeavingBackends({ peers, clock })
  const suspects = createSuspects({ peers, clock, logger: options.logger, hasCrashed: createCrashCheck(engineClient) })
  const shared = { ...options, retryBudget: createRetryBudget(), suspects, departures, relay: { connectionPools, engineClient, clock, limits } }
  const callers = [authenticateMiddleware(options.keyring)]
  const calls = [
    open.admit,
    ...callers,
    deadlineMiddleware(clock, limits.deadlineMs, open),
    withdrawalMiddleware(options.keyring),
    bodyMiddleware(clock, limits, open)
  ]
  const completion = completionHandler({ ...shared, defaultMaxTokens: limits.defaultMaxTokens })
  const service = serviceHandler({ ...shared, serviceAnswerMs: limits.serviceAnswerMs })
  const routes: RouteTable = [
    { method: 'GET', path: '/healthz', handlers: [(_req, res) => sendJson(res, 200, { status: 'ok' })] },
    { method: 'GET', path: '/readyz', handlers: [(_req, res) => sendJson(res, options.isReady() ? 200 : 503, { ready: options.isReady() })] },
    { method: 'GET', path: '/metrics', handlers: [metricsHandler(metrics)] },
    { method: 'GET', path: '/v1/models', handlers: [...callers, modelsHandler(options.cfg)] },
    { method: 'GET', path: '/v1/locate', handlers: [...callers, locateHandler(peers, options.allowance, settings.shutdown.locateKeepMs)] },
    { method: 'POST', path: '/v1/chat/completions', handlers: [...calls, completion] },
    { method: 'POST', path: '/v1/completions', handlers: [...calls, completion] },
    ...SERVICE_METHODS.map(method => ({ method, path: '/v1/services/*', handlers: [...calls, service] }))
  ]
  app.use(requestIdMiddleware() as never, leavingMiddleware(() => peers.self.leaving) as never)
  routes.forEach(route => app.add(route.method, route.path, ...route.handlers as never[]))

  return {
    start: () => startServer(server, app, settings.instance.entryAddress),
    close: async drainMs => {
      const closed = new Promise<void>(resolve => { server.close(() => resolve()) })
      server.closeIdleConnections()
      if (await withTimeout(clock, drainMs, closed) !== TIMED_OUT) return
      // A caller that never reads, or an engine that never ends, would keep the process for good.
      options.logger.warn('requests-ended-by-shutdown', { open: open.count() })
      open.abortAll('shutting-down')
      if (await withTimeout(clock, LAST_WORDS_MS, closed) === TIMED_OUT) server.closeAllConnections()
      await closed
    }
  }
}

type Method = 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
type RouteTable = Array<{ method: Method, path: string, handlers: Handler[] }>

const SERVICE_METHODS: Method[] = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']

/** Route paths end in `*` or stand as they are. */
function servesPath (routePath: string, path: string): boolean {
  return routePath.endsWith('*') ? path.startsWith(routePath.slice(0, -1)) : routePath === path
}

function metricsHandler (metrics: Metrics): Handler {
  return async function serveMetrics (_req, res) {
    res.writeHead(200, { 'content-type': metrics.registry.contentType })
    res.end(await metrics.registry.metrics())
  }
}

function startServer (server: Server, app: polka.Polka, address: string): Promise<void> {
  const { host, port } = parseHostPort(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    app.listen(port, host, () => resolve())
  })
}
