/** The operators' interface, apart from the callers': its own address, its own keys. */
import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer } from 'node:http'
import type { ServerResponse } from 'node:http'
import polka from 'polka'
import type { Clock } from '../clock'
import type { ResolvedSettings } from '../config'
import { refusal } from '../failures'
import { bodyMiddleware } from '../entry/middleware/body'
import { requestIdMiddleware } from '../entry/middleware/requestId'
import { sendFailure, sendJson } from '../entry/respond'
import type { EntryRequest, Handler } from '../entry/types'
import type { Result } from '../result'
import { parseHostPort } from '../utils'
import type { OperatorCommands, OperatorError } from './commands'

const BEARER = /^Bearer +(\S+)$/i

const STATUS_OF_ERROR: Record<OperatorError['kind'], number> = { store: 503, 'unknown-key': 404, config: 422 }

export interface OperatorsOptions {
  settings: ResolvedSettings
  commands: OperatorCommands
  /** Facts for `status`, as JSON. */
  status: () => object
  clock: Clock
}

export interface Operators {
  start (): Promise<void>
  close (): Promise<void>
}

export function createOperators (options: OperatorsOptions): Operators {
  const { settings, commands } = options
  const server = createServer()
  const app = polka({ server })
  const guards = [requestIdMiddleware(), operatorMiddleware(settings.operators.keyDigests), bodyMiddleware(options.clock, settings.limits)]
  const handle = (handler: Handler): never[] => [...guards, handler] as never[]

  app.post('/operator/keys', ...handle(async (req, res) => {
    const { team } = JSON.parse(req.rawBody.toString()) as { team: string }
    reply(res, await commands.createKey(team))
  }))
  app.post('/operator/keys/:id/withdraw', ...handle(async (req, res) => reply(res, await commands.withdrawKey(req.params.id!))))
  app.put('/operator/config', ...handle(async (req, res) => {
    reply(res, (await commands.applyConfig('fleet.toml', req.rawBody.toString())).map(version => ({ version })))
  }))
  app.get('/operator/status', ...handle((_req, res) => sendJson(res, 200, options.status())))

  return {
    start: () => new Promise((resolve, reject) => {
      const { host, port } = parseHostPort(settings.instance.operatorAddress)
      server.once('error', reject)
      app.listen(port, host, () => resolve())
    }),
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

function reply<T> (res: ServerResponse, result: Result<T, OperatorError>): void {
  if (result.ok) return sendJson(res, 200, result.val)
  sendJson(res, STATUS_OF_ERROR[result.val.kind], { error: result.val })
}

export function operatorKeyDigest (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

function operatorMiddleware (digests: readonly string[]): Handler {
  const known = digests.map(digest => Buffer.from(digest, 'hex'))
  return function authenticateOperator (req: EntryRequest, res, next) {
    const shown = BEARER.exec(req.headers.authorization ?? '')?.[1] ?? ''
    const digest = Buffer.from(operatorKeyDigest(shown), 'hex')
    const isKnown = known.some(candidate => candidate.length === digest.length && timingSafeEqual(candidate, digest))
    if (!isKnown) return sendFailure(res, refusal('invalid_key', 'This needs an operator key.'), req.requestId)
    next()
  }
}
