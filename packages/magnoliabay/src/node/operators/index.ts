/** HTTP server of the operators' interface, which has its own address and keys, separate from those of callers. */
import { listenOn } from '../http/listen'
import type { RequestListener, ServerResponse } from 'node:http'
import polka from 'polka'
import type { Clock } from '../clock'
import type { ResolvedSettings } from '../config'
import { bodyMiddleware } from '../entry/middleware/body'
import { requestIdMiddleware } from '../entry/middleware/requestId'
import { sendFailure } from '../entry/respond'
import type { EntryRequest } from '../entry/types'
import { createRefusal } from '../failures'
import type { Logger } from '../logger'
import { createHttpServer } from '../tls'
import type { Certificates } from '../tls'
import { messageOf } from '../utils'
import { operatorMiddleware } from './authenticate'
import type { OperatorRequest } from './authenticate'
import { operatorRoutes } from './routes'
import type { OperatorRoute, RouteOptions } from './routes'

export { operatorKeyDigest } from './authenticate'

/** A configuration change may contain all chunks of 80,000 adapters. */
const MAX_OPERATOR_BODY_BYTES = 16 * 1024 * 1024

export interface OperatorServerOptions extends RouteOptions {
  settings: ResolvedSettings
  /** @default none: plain HTTP */
  certificates?: Certificates
  clock: Clock
  logger: Logger
}

export interface OperatorServer {
  start (): Promise<void>
  close (): Promise<void>
}

export function createOperatorServer (options: OperatorServerOptions): OperatorServer {
  const { settings, logger } = options
  const server = createHttpServer({}, options.certificates)
  const app = polka({
    server,
    onError: (err, req, res) => {
      logger.error('operators-fault', { reason: messageOf(err) })
      sendFailure(res as ServerResponse, createRefusal('internal', 'Something went wrong here.'), (req as unknown as EntryRequest).requestId)
    }
  })
  const limits = { maxBodyBytes: MAX_OPERATOR_BODY_BYTES, bodyTimeoutMs: settings.limits.bodyTimeoutMs }
  const guards = [requestIdMiddleware(), operatorMiddleware(settings.operators), bodyMiddleware(options.clock, limits)]
  const logged = (route: OperatorRoute): OperatorRoute['handle'] => async (req: OperatorRequest, res) => {
    await route.handle(req, res)
    logger.info('operator-call', { operator: req.operator, method: route.method, path: req.path, status: res.statusCode })
  }
  operatorRoutes(options).forEach(route => app.add(route.method, route.path, ...[...guards, logged(route)] as never[]))
  server.on('request', app.handler as RequestListener)

  return {
    start: () => listenOn(server, settings.instance.operatorAddress, options.clock, logger),
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}
