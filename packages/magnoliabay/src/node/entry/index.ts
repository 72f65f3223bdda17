/** Where callers connect. */
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import polka from 'polka'
import type { Keyring } from '../admission'
import type { Allowance } from '../allowance'
import type { Directory, Pools } from '../backend'
import type { Clock } from '../clock'
import type { ConfigHolder, ResolvedSettings } from '../config'
import { refusal } from '../failures'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { Metrics } from '../metrics'
import type { Once } from '../once'
import type { Routing } from '../routing'
import { messageOf, parseHostPort } from '../utils'
import { answerBadInput } from './badInput'
import { completionHandler } from './completions'
import { authenticateMiddleware } from './middleware/authenticate'
import { bodyMiddleware } from './middleware/body'
import { deadlineMiddleware } from './middleware/deadline'
import { requestIdMiddleware } from './middleware/requestId'
import { locateHandler, modelsHandler } from './queries'
import { sendFailure, sendJson } from './respond'
import { serviceHandler } from './services'
import type { EntryRequest, Handler } from './types'

export interface EntryOptions {
  settings: ResolvedSettings
  cfg: ConfigHolder
  keyring: Keyring
  allowance: Allowance
  routing: Routing
  directory: Directory
  once: Once
  pools: Pools
  peers: Peers
  clock: Clock
  logger: Logger
  metrics: Metrics
  isReady: () => boolean
}

export interface Entry {
  start (): Promise<void>
  /** Stops taking connections and resolves when every open request has ended. */
  close (): Promise<void>
}

export function createEntry (options: EntryOptions): Entry {
  const { settings, metrics } = options
  const { limits } = settings
  const server = createServer()
  answerBadInput(server, options.clock)
  const app = polka({
    server,
    onError: (err, req, res) => {
      options.logger.error('entry-fault', { reason: messageOf(err) })
      sendFailure(res as ServerResponse, refusal('internal', 'Something went wrong here, before the request was sent.'), (req as unknown as EntryRequest).requestId)
    },
    onNoMatch: (req, res) => {
      const allowed = routes.filter(route => servesPath(route.path, req.path)).map(route => route.method)
      const failure = allowed.length === 0
        ? refusal('not_found', `Nothing is served at ${req.path}.`)
        : refusal('method_not_allowed', `${req.path} takes ${allowed.join(', ')}, not ${req.method}.`)
      if (allowed.length > 0) res.setHeader('allow', allowed.join(', '))
      sendFailure(res, failure, (req as unknown as EntryRequest).requestId)
    }
  })
  const callers = [authenticateMiddleware(options.keyring)]
  const calls = [...callers, deadlineMiddleware(options.clock, limits.deadlineMs), bodyMiddleware(options.clock, limits)]
  const completion = completionHandler({ ...options, defaultMaxTokens: limits.defaultMaxTokens })
  const routes: RouteTable = [
    { method: 'GET', path: '/healthz', handlers: [(_req, res) => sendJson(res, 200, { status: 'ok' })] },
    { method: 'GET', path: '/readyz', handlers: [(_req, res) => sendJson(res, options.isReady() ? 200 : 503, { ready: options.isReady() })] },
    { method: 'GET', path: '/metrics', handlers: [metricsHandler(metrics)] },
    { method: 'GET', path: '/v1/models', handlers: [...callers, modelsHandler(options.cfg)] },
    { method: 'GET', path: '/v1/locate', handlers: [...callers, locateHandler(options.peers, options.allowance)] },
    { method: 'POST', path: '/v1/chat/completions', handlers: [...calls, completion] },
    { method: 'POST', path: '/v1/completions', handlers: [...calls, completion] },
    ...SERVICE_METHODS.map(method => ({ method, path: '/v1/services/*', handlers: [...calls, serviceHandler(options)] }))
  ]
  app.use(requestIdMiddleware() as never)
  routes.forEach(route => app.add(route.method, route.path, ...route.handlers as never[]))

  return {
    start: () => startServer(server, app, settings.instance.entryAddress),
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeIdleConnections()
    })
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
