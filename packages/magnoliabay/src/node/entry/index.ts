/** HTTP server for callers. */
import { listenOn } from '../http/listen'
import type { RequestListener, ServerResponse } from 'node:http'
import polka from 'polka'
import type { Keyring } from '../admission'
import type { Allowance } from '../allowance'
import type { BackendDirectory, EngineClient, ConnectionPools } from '../backend'
import type { BackendStatements } from '../backend/backendStatements'
import type { LeavingBackends } from '../backend/leavingBackends'
import type { Clock } from '../clock'
import { TIMED_OUT, withTimeout } from '../clock'
import type { ConfigProvider, ResolvedSettings } from '../config'
import { createRefusal } from '../failures'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { Metrics } from '../metrics'
import type { IdempotencyClaims } from '../once'
import type { CrashAttribution } from '../crashes'
import { createRetryBudget } from '../outcomes'
import type { SloTracker } from '../report'
import type { RequestQueue } from '../queue'
import type { ReplicaRouter } from '../routing'
import { createHttpServer } from '../tls'
import type { Certificates } from '../tls'
import { messageOf } from '../utils'
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

/** Time for the failures of requests aborted by a shutdown to reach their callers. */
const ABORT_RESPONSE_TIMEOUT_MS = 1000
/** Longer than callers keep idle connections open, so that none sends on a connection that the server is closing. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000
/** Idle time after which TCP keep-alive probes start. */
const TCP_KEEP_ALIVE_DELAY_MS = 15_000

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
  statements: BackendStatements
  crashes: CrashAttribution
  leavingBackends: LeavingBackends
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
   * Stops accepting connections and resolves when every open request has ended. Requests still open after
   * `drainMs` milliseconds are aborted with a typed failure.
   */
  close (drainMs: number): Promise<void>
}

export function createEntryServer (options: EntryServerOptions): EntryServer {
  const { settings, metrics } = options
  const { limits } = settings
  const server = createHttpServer({ keepAlive: true, keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, options.certificates)
  handleClientErrors(server, options.clock)
  const app = polka({
    server,
    onError: (err, req, res) => {
      const { requestId, execution } = req as unknown as EntryRequest
      options.logger.error('entry-fault', { reason: messageOf(err) })
      const outcome = execution.conclude(createRefusal('internal', 'Something went wrong here.'))
      if (outcome.kind !== 'answered') sendFailure(res as ServerResponse, outcome.failure, requestId)
    },
    onNoMatch: (req, res) => {
      const allowed = routes.filter(route => matchesRoute(route.path, req.path)).map(route => route.method)
      const failure = allowed.length === 0
        ? createRefusal('not_found', `Nothing is served at ${req.path}.`)
        : createRefusal('method_not_allowed', `${req.path} takes ${allowed.join(', ')}, not ${req.method}.`)
      if (allowed.length > 0) res.setHeader('allow', allowed.join(', '))
      sendFailure(res, failure, (req as unknown as EntryRequest).requestId)
    }
  })
  const { clock, peers, connectionPools, engineClient, statements } = options
  const openRequests = createOpenRequests(limits)
  const handlerOptions = { ...options, retryBudget: createRetryBudget(), relay: { connectionPools, engineClient, statements, clock, limits } }
  const authentication = [authenticateMiddleware(options.keyring)]
  const requestMiddleware = [
    openRequests.admit,
    ...authentication,
    deadlineMiddleware(clock, limits.deadlineMs, openRequests),
    withdrawalMiddleware(options.keyring),
    bodyMiddleware(clock, limits, openRequests)
  ]
  const completion = completionHandler({ ...handlerOptions, defaultMaxTokens: limits.defaultMaxTokens })
  const service = serviceHandler({ ...handlerOptions, serviceAnswerMs: limits.serviceAnswerMs })
  const routes: RouteTable = [
    { method: 'GET', path: '/healthz', handlers: [(_req, res) => sendJson(res, 200, { status: 'ok' })] },
    { method: 'GET', path: '/readyz', handlers: [(_req, res) => sendJson(res, options.isReady() ? 200 : 503, { ready: options.isReady() })] },
    { method: 'GET', path: '/metrics', handlers: [metricsHandler(metrics)] },
    { method: 'GET', path: '/v1/models', handlers: [...authentication, modelsHandler(options.cfg)] },
    { method: 'GET', path: '/v1/locate', handlers: [...authentication, locateHandler(peers, options.allowance, settings.shutdown.locateKeepMs)] },
    { method: 'POST', path: '/v1/chat/completions', handlers: [...requestMiddleware, completion] },
    { method: 'POST', path: '/v1/completions', handlers: [...requestMiddleware, completion] },
    ...SERVICE_METHODS.map(method => ({ method, path: '/v1/services/*', handlers: [...requestMiddleware, service] }))
  ]
  app.use(requestIdMiddleware() as never, leavingMiddleware(() => peers.self.leaving) as never)
  routes.forEach(route => app.add(route.method, route.path, ...route.handlers as never[]))
  server.on('request', app.handler as RequestListener)

  return {
    start: () => listenOn(server, settings.instance.entryAddress, clock, options.logger),
    close: async drainMs => {
      const closed = new Promise<void>(resolve => { server.close(() => resolve()) })
      server.closeIdleConnections()
      if (await withTimeout(clock, drainMs, closed) !== TIMED_OUT) return
      // A caller that never reads, or an engine that never finishes, would keep the process running forever.
      options.logger.warn('requests-ended-by-shutdown', { open: openRequests.count() })
      openRequests.abortAll('shutting-down')
      if (await withTimeout(clock, ABORT_RESPONSE_TIMEOUT_MS, closed) === TIMED_OUT) {
        openRequests.cutAll()
        server.closeAllConnections()
      }
      await closed
    }
  }
}

type Method = 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
type RouteTable = Array<{ method: Method, path: string, handlers: Handler[] }>

const SERVICE_METHODS: Method[] = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']

/** Route paths match exactly, or as a prefix if they end in `*`. */
function matchesRoute (routePath: string, path: string): boolean {
  return routePath.endsWith('*') ? path.startsWith(routePath.slice(0, -1)) : routePath === path
}

function metricsHandler (metrics: Metrics): Handler {
  return async function serveMetrics (_req, res) {
    res.writeHead(200, { 'content-type': metrics.registry.contentType })
    res.end(await metrics.registry.metrics())
  }
}
