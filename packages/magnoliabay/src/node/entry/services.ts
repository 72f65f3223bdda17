/** `/v1/services/<name>/…`: calls of plain services, some of which run at most once. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Directory, Pools } from '../backend'
import { engineErrorOf } from '../backend/engineClient'
import { REQUEST_ID_HEADER } from '../backend/protocol'
import type { ConfigHolder, ServiceConfig } from '../config'
import { mayHaveRun, refusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import type { Claim, Once, StoredAnswer } from '../once'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { mayCall } from './access'
import { sendFailure } from './respond'
import type { EntryRequest, Handler } from './types'
import type { ServerResponse } from 'node:http'

const SERVICE_PATH = /^\/v1\/services\/([^/]+)(\/.*)?$/
const IDEMPOTENCY_HEADER = 'idempotency-key'
const ANSWER_TIMEOUT_MS = 30_000

export interface ServiceOptions {
  cfg: ConfigHolder
  directory: Directory
  once: Once
  pools: Pools
  logger: Logger
}

interface ServiceCall {
  service: ServiceConfig
  path: string
}

export function serviceHandler (options: ServiceOptions): Handler {
  const { cfg, once, logger } = options

  const resolve = (req: EntryRequest): Result<ServiceCall, Failure> => {
    const match = SERVICE_PATH.exec(req.path)
    const name = match?.[1] ?? ''
    const service = cfg.service(name)
    if (service === undefined) return Err(refusal('unknown_service', `No service is called ${name}.`))
    if (!mayCall(cfg, req.caller.team, name)) return Err(refusal('forbidden_model', `Team ${req.caller.team} may not call ${name}.`))
    return Ok({ service, path: match?.[2] ?? '/' })
  }
  const runOnce = async (req: EntryRequest, call: ServiceCall, idempotencyKey: string): Promise<Result<StoredAnswer, Failure>> => {
    const claimed = await once.claim({ team: req.caller.team, service: call.service.name, idempotencyKey, body: req.rawBody })
    if (claimed.err) return claimed
    if (claimed.val.kind === 'answered') return Ok(claimed.val.answer)
    return await sendClaimed(req, call, claimed.val.claim)
  }
  const sendClaimed = async (req: EntryRequest, call: ServiceCall, claim: Claim): Promise<Result<StoredAnswer, Failure>> => {
    const answer = await send(options, req, call)
    if (answer.ok) await once.storeAnswer(claim, answer.val)
    else if (answer.val.notRun) await once.release(claim)
    return answer
  }
  const isNonIdempotent = (req: EntryRequest, service: ServiceConfig): boolean =>
    service.nonIdempotent.some(method => method === req.method)

  return async function callService (req, res) {
    const call = resolve(req)
    if (call.err) return sendFailure(res, call.val, req.requestId)
    const idempotencyKey = req.headers[IDEMPOTENCY_HEADER]
    const answer = isNonIdempotent(req, call.val.service) && typeof idempotencyKey === 'string'
      ? await runOnce(req, call.val, idempotencyKey)
      : await send(options, req, call.val)
    logger.info('service-call-ended', {
      request: req.requestId,
      team: req.caller.team,
      service: call.val.service.name,
      code: answer.ok ? answer.val.status : answer.val.code
    })
    if (answer.err) return sendFailure(res, answer.val, req.requestId)
    sendAnswer(res, answer.val, req.requestId)
  }
}

function sendAnswer (res: ServerResponse, answer: StoredAnswer, requestId: string): void {
  res.writeHead(answer.status, { 'content-type': answer.contentType, [REQUEST_ID_HEADER]: requestId })
  res.end(Buffer.from(answer.body, 'base64'))
}

async function send (options: ServiceOptions, req: EntryRequest, call: ServiceCall): Promise<Result<StoredAnswer, Failure>> {
  const listed = options.directory.services(call.service.name).find(service => service.status === 'live')
  if (listed === undefined) return Err(refusal('no_capacity', `No instance of ${call.service.name} is live.`, 1))
  try {
    const answer = await options.pools.of(listed.address).request({
      method: req.method as 'POST',
      path: call.path,
      headers: forwardedHeaders(req.headers, req),
      body: req.rawBody,
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS
    })
    const body = Buffer.from(await answer.body.arrayBuffer())
    const contentType = String(answer.headers['content-type'] ?? 'application/octet-stream')
    return Ok({ status: answer.statusCode, contentType, body: body.toString('base64') })
  } catch (err) {
    const engineError = engineErrorOf(err)
    if (engineError.kind === 'not-sent') return Err(refusal('backend_failed', engineError.message, 1))
    return Err(mayHaveRun('may_have_run', `The service did not answer in full: ${engineError.message}`))
  }
}

function forwardedHeaders (headers: IncomingHttpHeaders, req: EntryRequest): Record<string, string> {
  const kept = ['content-type', 'accept', IDEMPOTENCY_HEADER]
    .flatMap(name => typeof headers[name] === 'string' ? [[name, headers[name] as string]] : [])
  return { ...Object.fromEntries(kept), [REQUEST_ID_HEADER]: req.requestId, 'x-team': req.caller.team }
}
