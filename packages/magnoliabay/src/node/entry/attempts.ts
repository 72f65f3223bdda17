/** The attempts that one completion is allowed, each at another engine. */
import type { ServerResponse } from 'node:http'
import { relayCompletion } from '../backend/relay'
import type { RelayOptions, RelayResult } from '../backend/relayTypes'
import type { Clock } from '../clock'
import { refusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import type { Metrics } from '../metrics'
import { fingerprintOf } from '../outcomes'
import type { Outcome, RetryBudget, Suspects } from '../outcomes'
import { CLASS_HEADER, ENGINE_PRIORITIES, workClassOf } from '../queue'
import type { Routing } from '../routing'
import type { CompletionRequest } from './completionRequest'
import type { EntryRequest } from './types'

/** Engines that one request may be tried at. */
const MAX_ATTEMPTS = 3
const MS_PER_SECOND = 1000
const CRASHES_BACKEND = refusal('crashes_backend', 'Engines died while they ran this request. It is not sent to any more of them; change it before you send it again.')

export interface AttemptOptions {
  routing: Routing
  relay: RelayOptions
  retryBudget: RetryBudget
  suspects: Suspects
  clock: Clock
  logger: Logger
  metrics: Metrics
}

/** A request that waited longer than this for a replica counts as a cold start. */
const COLD_WAIT_MS = 200

export interface Attempts {
  run (req: EntryRequest, res: ServerResponse, completion: CompletionRequest): Promise<Outcome>
}

export function createAttempts (options: AttemptOptions): Attempts {
  const { routing, retryBudget, suspects, clock, logger, metrics } = options

  const attemptAt = async (attempt: Attempt): Promise<Result> => {
    const { tries, avoid, req, res, completion, onFirstByte } = attempt
    const askedMs = clock.monotonic()
    const route = await routing.acquire({
      name: completion.model,
      team: req.caller.team,
      prefix: completion.prefix,
      deadlineMs: req.deadline.atMs,
      avoid,
      signal: req.deadline.signal
    })
    if (route.err) return { kind: 'no-route', failure: route.val }
    req.seen.wasCold ||= clock.monotonic() - askedMs > COLD_WAIT_MS
    const { replica, release } = route.val
    const result = await relayCompletion(options.relay, {
      address: replica.address,
      path: req.path,
      requestId: req.requestId,
      engineRequestId: tries === 0 ? req.requestId : `${req.requestId}.${tries}`,
      team: req.caller.team,
      priority: ENGINE_PRIORITIES[workClassOf(req.headers[CLASS_HEADER])],
      body: completion.body,
      isStream: completion.isStream,
      signal: req.deadline.signal,
      trail: req.trail,
      mayRetry: retryBudget.take
    }, res, onFirstByte).finally(release)
    avoid.add(replica.engine)
    const isBroken = 'isBroken' in result && result.isBroken
    if (isBroken && await suspects.hasDied(replica.address)) suspects.noteCrash(attempt.fingerprint, `${req.requestId}.${tries}`)
    logger.debug('request-relayed', { request: req.requestId, engine: replica.engine, result: result.kind })
    return result
  }

  /** A suspect waits until no other suspect runs here, and is cleared by running to its end. */
  const attemptApart = async (attempt: Attempt): Promise<Result> => {
    const leave = await suspects.enterLane(attempt.req.deadline.signal)
    const result = await attemptAt(attempt).finally(leave)
    if (result.kind === 'answered') suspects.clear(attempt.fingerprint)
    return result
  }

  return {
    run: async (req, res, completion) => {
      const fingerprint = fingerprintOf(req.caller.team, completion.model, completion.body)
      const avoid = new Set<string>()
      const startedMs = clock.monotonic()
      const onFirstByte = (): void => {
        req.seen.firstTokenMs = clock.monotonic() - req.seen.startedMs
        metrics.firstToken.observe({ start: req.seen.wasCold ? 'cold' : 'warm' }, (clock.monotonic() - startedMs) / MS_PER_SECOND)
      }
      let last: Failure = refusal('no_capacity', 'No engine could take the request.', 1)
      retryBudget.noteFirstAttempt()
      for (let tries = 0; tries < MAX_ATTEMPTS; tries += 1) {
        const verdict = suspects.verdict(fingerprint)
        if (verdict === 'refused') return req.trail.conclude(CRASHES_BACKEND)
        if (tries > 0 && !retryBudget.take()) {
          logger.info('retry-withheld', { request: req.requestId, reason: 'retry budget spent' })
          break
        }
        const attempt = { tries, avoid, req, res, completion, fingerprint, onFirstByte }
        const result = verdict === 'suspect' ? await attemptApart(attempt) : await attemptAt(attempt)
        if (result.kind === 'answered') return result
        if (result.kind === 'no-route') return req.trail.conclude(tries === 0 ? result.failure : last)
        if (!isRetryable(result)) return req.trail.conclude(result.failure)
        last = result.failure
        logger.info('request-retried', { request: req.requestId, result: result.kind, reason: last.message })
      }
      return req.trail.conclude(last)
    }
  }
}

interface Attempt {
  tries: number
  /** Engines tried before. */
  avoid: Set<string>
  req: EntryRequest
  res: ServerResponse
  completion: CompletionRequest
  fingerprint: string
  onFirstByte: () => void
}

type Result = RelayResult | { kind: 'no-route', failure: Failure }

/** Completions are idempotent: as long as the caller has seen nothing, another engine may be tried. */
function isRetryable (result: Result): boolean {
  return result.kind === 'not-run' || result.kind === 'failed'
}
