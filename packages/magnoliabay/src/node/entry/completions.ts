/** `POST /v1/chat/completions` and `/v1/completions`. */
import type { ServerResponse } from 'node:http'
import type { Allowance } from '../allowance'
import type { Pools } from '../backend'
import { relayCompletion } from '../backend/relay'
import type { RelayResult } from '../backend/relay'
import type { Clock } from '../clock'
import type { ConfigHolder } from '../config'
import { refusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import type { Metrics } from '../metrics'
import { failed } from '../outcomes'
import type { Outcome } from '../outcomes'
import type { Routing } from '../routing'
import { mayCall } from './access'
import { parseCompletion } from './completionRequest'
import type { CompletionRequest } from './completionRequest'
import { sendFailure } from './respond'
import type { EntryRequest, Handler } from './types'

/** Engines that one request may be tried at. */
const MAX_ATTEMPTS = 3

export interface CompletionOptions {
  cfg: ConfigHolder
  allowance: Allowance
  routing: Routing
  pools: Pools
  clock: Clock
  logger: Logger
  metrics: Metrics
  defaultMaxTokens: number
}

export function completionHandler (options: CompletionOptions): Handler {
  const { cfg, allowance, clock, logger, metrics } = options

  const check = (req: EntryRequest, completion: CompletionRequest): Failure | undefined => {
    if (cfg.model(completion.model) === undefined) return refusal('unknown_model', `No model is called ${completion.model}. GET /v1/models lists those there are.`)
    if (!mayCall(cfg, req.caller.team, completion.model)) return refusal('forbidden_model', `Team ${req.caller.team} may not call ${completion.model}.`)
    return undefined
  }
  const run = async (req: EntryRequest, res: ServerResponse): Promise<Outcome> => {
    const parsed = parseCompletion(req.rawBody, options.defaultMaxTokens)
    if (parsed.err) return failed(parsed.val)
    const refused = check(req, parsed.val)
    if (refused !== undefined) return failed(refused)
    const reservation = await allowance.reserve(req.caller.team, parsed.val.reservedTokens)
    if (reservation.err) return failed(reservation.val)
    const outcome = await attempt(options, req, res, parsed.val)
    const usedTokens = outcome.kind === 'answered' ? outcome.usedTokens : outcome.kind === 'refused-not-run' ? 0 : reservation.val.tokens
    allowance.settle(reservation.val, usedTokens)
    return outcome
  }
  return async function answerCompletion (req, res) {
    const startedMs = clock.monotonic()
    metrics.openRequests.inc()
    const outcome = await run(req, res)
    metrics.openRequests.dec()
    const code = outcome.kind === 'answered' ? 'ok' : outcome.failure.code
    if (outcome.kind !== 'answered') sendFailure(res, outcome.failure, req.requestId)
    metrics.requests.inc({ outcome: outcome.kind, code, team: req.caller.team })
    logger.info('request-ended', {
      request: req.requestId,
      team: req.caller.team,
      outcome: outcome.kind,
      code,
      tookMs: Math.round(clock.monotonic() - startedMs)
    })
  }
}

async function attempt (options: CompletionOptions, req: EntryRequest, res: ServerResponse, completion: CompletionRequest): Promise<Outcome> {
  const avoid = new Set<string>()
  const startedMs = options.clock.monotonic()
  const onFirstByte = (): void => options.metrics.firstToken.observe({ start: 'any' }, (options.clock.monotonic() - startedMs) / 1000)
  let last: Failure = refusal('no_capacity', 'No engine could take the request.', 1)
  for (let tries = 0; tries < MAX_ATTEMPTS; tries += 1) {
    const route = await options.routing.acquire({
      model: completion.model,
      deadlineMs: req.deadline.atMs,
      avoid,
      signal: req.deadline.signal
    })
    if (route.err) return failed(tries === 0 ? route.val : last)
    const { replica } = route.val
    const result = await relayCompletion(options.pools, {
      address: replica.address,
      path: req.path,
      requestId: req.requestId,
      team: req.caller.team,
      body: completion.body,
      isStream: completion.isStream,
      signal: req.deadline.signal
    }, res, onFirstByte)
    route.val.release()
    options.logger.debug('request-relayed', { request: req.requestId, engine: replica.engine, result: result.kind })
    if (!isRetryable(result)) return outcomeOf(result)
    avoid.add(replica.engine)
    last = result.failure
  }
  return failed(last)
}

type Retryable = Extract<RelayResult, { kind: 'not-run' | 'failed' }>

/** Completions are idempotent: as long as the caller has seen nothing, another engine may be tried. */
function isRetryable (result: RelayResult): result is Retryable {
  return result.kind === 'not-run' || result.kind === 'failed'
}

function outcomeOf (result: Exclude<RelayResult, Retryable>): Outcome {
  return result.kind === 'answered' ? result : failed(result.failure)
}
