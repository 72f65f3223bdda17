/** `POST /v1/chat/completions` and `/v1/completions`. */
import type { ServerResponse } from 'node:http'
import type { Allowance } from '../allowance'
import type { ConfigProvider } from '../config'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { RequestOutcome } from '../outcomes'
import { WORK_CLASS_HEADER, parseWorkClass } from '../queue'
import type { RequestQueue } from '../queue'
import { mayCall } from './authorization'
import { createRequestGuard, fingerprintOf, suspectsOf } from '../crashes'
import type { RequestGuard } from '../crashes'
import { concludeAccused, createAttempts } from './attempts'
import type { AttemptOptions } from './attempts'
import { parseCompletion } from './completionRequest'
import type { CompletionRequest } from './completionRequest'
import { concludeHandler } from './requestOutcome'
import type { ConcludeOptions } from './requestOutcome'
import type { EntryRequest, Handler } from './types'

/** All engines of the completions run the same service. */
const SERVICE = 'completions'

export interface CompletionOptions extends ConcludeOptions, AttemptOptions {
  cfg: ConfigProvider
  allowance: Allowance
  queue: RequestQueue
  defaultMaxTokens: number
}

export function completionHandler (options: CompletionOptions): Handler {
  const { cfg, allowance, queue } = options
  const attempts = createAttempts(options)

  const validate = (req: EntryRequest, completion: CompletionRequest): Failure | undefined => {
    if (cfg.model(completion.model) === undefined && cfg.adapter(completion.model) === undefined) return createRefusal('unknown_model', `No model is called ${completion.model}. GET /v1/models lists those there are.`)
    if (!mayCall(cfg, req.caller.team, completion.model)) return createRefusal('forbidden_model', `Team ${req.caller.team} may not call ${completion.model}.`)
    return undefined
  }
  const run = async (req: EntryRequest, res: ServerResponse): Promise<RequestOutcome> => {
    const { conclude } = req.execution
    const parsed = parseCompletion(req.rawBody, options.defaultMaxTokens)
    if (parsed.err) return conclude(parsed.val)
    req.observation.model = parsed.val.model
    const failure = validate(req, parsed.val)
    if (failure !== undefined) return conclude(failure)
    const guard = guardOf(req, parsed.val)
    // What is refused here counts neither in an allowance nor in a queue.
    const accusation = await guard.admit()
    if (accusation !== undefined) return concludeAccused(options.logger, req, accusation)
    return await runGuarded(req, res, parsed.val, guard).finally(guard.endTrial)
  }
  const guardOf = (req: EntryRequest, completion: CompletionRequest): RequestGuard => {
    const { team } = req.caller
    const fingerprint = fingerprintOf(team, completion.model, completion.body)
    return createRequestGuard(options.crashes, suspectsOf({ service: SERVICE, team, sharedParts: completion.sharedParts, fingerprint }), req.requestId)
  }
  const runGuarded = async (req: EntryRequest, res: ServerResponse, completion: CompletionRequest, guard: RequestGuard): Promise<RequestOutcome> => {
    const { conclude } = req.execution
    const reservation = await allowance.reserve(req.caller.team, completion.reservedTokens)
    if (reservation.err) return conclude(reservation.val)
    const permit = await queue.acquire({
      team: req.caller.team,
      model: completion.model,
      workClass: parseWorkClass(req.headers[WORK_CLASS_HEADER]),
      reservedTokens: completion.reservedTokens,
      deadlineMs: req.deadline.atMs,
      signal: req.deadline.signal
    })
    if (permit.err) {
      allowance.settle(reservation.val, 0)
      return conclude(permit.val)
    }
    let usedTokens = reservation.val.tokens
    try {
      const outcome = await attempts.run(req, res, completion, guard)
      usedTokens = usedTokensOf(outcome, reservation.val.tokens)
      return outcome
    } finally {
      // Runs after an exception too; otherwise the permit and the reservation would never be released.
      permit.val.release(usedTokens)
      allowance.settle(reservation.val, usedTokens)
    }
  }
  return concludeHandler(options, run)
}

/** Counts the whole reservation as used if the engine reports no usage, so that a team never gains from a fault. */
function usedTokensOf (outcome: RequestOutcome, reservedTokens: number): number {
  if (outcome.kind === 'refused-not-run') return 0
  return outcome.kind === 'answered' ? outcome.usedTokens ?? reservedTokens : reservedTokens
}
