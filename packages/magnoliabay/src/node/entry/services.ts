/** `/v1/services/<name>/…`: calls of plain services, some of which run at most once. */
import { inBackground } from '../background'
import { setMaxListeners } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { ServiceResponse } from '../backend/serviceCall'
import type { ConfigProvider, ServiceConfig } from '../config'
import { createIndeterminateFailure, createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { IdempotencyClaim, IdempotencyClaims } from '../once'
import type { RequestOutcome } from '../outcomes'
import { REQUEST_ID_HEADER } from '../backend/protocol'
import { hasNoBody } from '../http/responseFraming'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { mayCall } from './authorization'
import { concludeHandler } from './requestOutcome'
import type { ConcludeOptions } from './requestOutcome'
import { createServiceAttempts } from './serviceAttempts'
import type { ServiceAttemptOptions, ServiceTarget } from './serviceAttempts'
import type { EntryRequest, Handler } from './types'

const SERVICE_PATH = /^\/v1\/services\/([^/]+)(\/.*)?$/
export const IDEMPOTENCY_HEADER = 'idempotency-key'
const MAX_IDEMPOTENCY_KEY_LENGTH = 512
const NEVER_ABORTED = new AbortController().signal
// All open calls share it. Each removes its listener when it ends, so more than ten are no leak.
setMaxListeners(0, NEVER_ABORTED)

export interface ServiceOptions extends ConcludeOptions, ServiceAttemptOptions {
  cfg: ConfigProvider
  idempotencyClaims: IdempotencyClaims
}

interface ServiceCall extends ServiceTarget {
  service: ServiceConfig
}

export function serviceHandler (options: ServiceOptions): Handler {
  const { cfg, idempotencyClaims } = options
  const attempts = createServiceAttempts(options)

  const resolve = (req: EntryRequest): Result<ServiceCall, Failure> => {
    const match = SERVICE_PATH.exec(req.path)
    const name = match?.[1] ?? ''
    const service = cfg.service(name)
    if (service === undefined) return Err(createRefusal('unknown_service', `No service is called ${name}.`))
    if (!mayCall(cfg, req.caller.team, name)) return Err(createRefusal('forbidden_model', `Team ${req.caller.team} may not call ${name}.`))
    const isIdempotent = !service.nonIdempotent.some(method => method === req.method)
    const path = `${match?.[2] ?? '/'}${req.search ?? ''}`
    return Ok({ service, name, path, isIdempotent })
  }
  const runClaimed = async (req: EntryRequest, call: ServiceCall, idempotencyKey: string): Promise<Result<ServiceResponse, Failure>> => {
    const claiming = idempotencyClaims.claim({
      team: req.caller.team,
      service: call.name,
      idempotencyKey,
      method: req.method ?? '',
      path: call.path,
      body: req.rawBody
    })
    // The store may take longer to answer than the caller, or a shutdown, allows.
    const claimed = await Promise.race([claiming, waitForAbort(req.deadline.signal)])
    if (claimed.err) {
      if (req.deadline.signal.aborted) inBackground('release-claim', releaseUnused(claiming))
      return claimed
    }
    if (claimed.val.kind === 'answered') return Ok(claimed.val.response)
    return await Promise.race([sendClaimed(req, call, claimed.val.claim), waitForAbort(req.deadline.signal)])
  }
  /** Removes a claim that is made after its request was given up: nothing is sent under it. */
  const releaseUnused = async (claiming: ReturnType<IdempotencyClaims['claim']>): Promise<void> => {
    const claimed = await claiming
    if (claimed.ok && claimed.val.kind === 'claimed') await idempotencyClaims.release(claimed.val.claim)
  }
  /** Runs to completion even if the caller has disconnected, so that its retry finds the stored response. */
  const sendClaimed = async (req: EntryRequest, call: ServiceCall, claim: IdempotencyClaim): Promise<Result<ServiceResponse, Failure>> => {
    const response = await attempts.run(req, call, NEVER_ABORTED)
    if (response.ok) idempotencyClaims.storeResponse(claim, response.val)
    else if (req.execution.state() === 'untouched') await idempotencyClaims.release(claim)
    return response
  }
  const run = async (req: EntryRequest, res: ServerResponse): Promise<RequestOutcome> => {
    const { conclude } = req.execution
    const call = resolve(req)
    if (call.err) return conclude(call.val)
    const idempotencyKey = req.headers[IDEMPOTENCY_HEADER]
    if (typeof idempotencyKey === 'string' && idempotencyKey.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
      return conclude(createRefusal('bad_request', `An Idempotency-Key may have ${MAX_IDEMPOTENCY_KEY_LENGTH} characters at most.`))
    }
    const response = !call.val.isIdempotent && typeof idempotencyKey === 'string'
      ? await runClaimed(req, call.val, idempotencyKey)
      : await attempts.run(req, call.val, req.deadline.signal)
    if (response.err) return conclude(response.val)
    if (res.destroyed) return conclude(createIndeterminateFailure('caller_gone', 'The caller closed its connection.'))
    sendResponse(res, response.val, req)
    return { kind: 'answered' }
  }
  return concludeHandler(options, run)
}

function waitForAbort (signal: AbortSignal): Promise<Result<never, Failure>> {
  return new Promise(resolve => {
    const onAbort = (): void => resolve(Err(createIndeterminateFailure('idempotency_in_progress', 'The request is being carried out. Ask again with the same key for its answer.')))
    if (signal.aborted) return onAbort()
    signal.addEventListener('abort', onAbort, { once: true })
  })
}

function sendResponse (res: ServerResponse, { status, contentType, body }: ServiceResponse, { method, requestId }: EntryRequest): void {
  // A length beside a status without a body is against the protocol, and to HEAD it would be a wrong one.
  const describedBody = hasNoBody(method ?? 'GET', status) ? {} : { 'content-type': contentType, 'content-length': body.length }
  res.writeHead(status, { ...describedBody, [REQUEST_ID_HEADER]: requestId })
  res.end(body)
}
