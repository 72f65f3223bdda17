/** The attempts that one completion is allowed, each at another engine. */
import type { ServerResponse } from 'node:http'
import { relayCompletion } from '../backend/relay'
import type { RelayOptions, RelayResult } from '../backend/relayTypes'
import type { Clock } from '../clock'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import type { Metrics } from '../metrics'
import { fingerprintOf } from '../outcomes'
import type { RequestOutcome, RetryBudget, Suspects } from '../outcomes'
import { WORK_CLASS_HEADER, ENGINE_PRIORITY_BY_CLASS, parseWorkClass } from '../queue'
import type { ReplicaRouter } from '../routing'
import type { CompletionRequest } from './completionRequest'
import type { EntryRequest } from './types'

/** Engines that one request may be tried at. */
const MAX_ATTEMPTS = 3
const MS_PER_SECOND = 1000
const CRASHES_BACKEND = createRefusal('crashes_backend', 'Engines died while they ran this request. It is not sent to any more of them; change it before you send it again.')

export interface AttemptOptions {
  routing: ReplicaRouter
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
  run (req: EntryRequest, res: ServerResponse, completion: CompletionRequest): Promise<RequestOutcome>
}

export function createAttempts (options: AttemptOptions): Attempts {
  const { routing, retryBudget, suspects, clock, logger, metrics } = options

  const attemptAt = async (attempt: Attempt): Promise<Result> => {
    const { tries, avoid, req, res, completion, onFirstByte } = attempt
    const askedMs = clock.monotonic()
    const route = await routing.acquireReplica({
      modelOrAdapter: completion.model,
      team: req.caller.team,
      prefixHash: completion.prefix,
      deadlineMs: req.deadline.atMs,
      excludedEngines: avoid,
      signal: req.deadline.signal
    })
    if (route.err) return { kind: 'no-route', failure: route.val }
    req.observation.wasCold ||= clock.monotonic() - askedMs > COLD_WAIT_MS
    const { replica, release } = route.val
    const result = await relayCompletion(options.relay, {
      address: replica.address,
      path: req.path,
      requestId: req.requestId,
      engineRequestId: tries === 0 ? req.requestId : `${req.requestId}.${tries}`,
      team: req.caller.team,
      priority: ENGINE_PRIORITY_BY_CLASS[parseWorkClass(req.headers[WORK_CLASS_HEADER])],
      body: completion.body,
      isStream: completion.isStream,
      signal: req.deadline.signal,
      execution: req.execution,
      tryTakeRetry: retryBudget.tryTake
    }, res, onFirstByte).finally(release)
    avoid.add(replica.engine)
    const isBroken = 'isConnectionBroken' in result && result.isConnectionBroken
    if (isBroken && await suspects.hasCrashed(replica.address)) suspects.recordCrash(attempt.fingerprint, `${req.requestId}.${tries}`)
    logger.debug('request-relayed', { request: req.requestId, engine: replica.engine, result: result.kind })
    return result
  }

  /** A suspect waits until no other suspect runs here, and is cleared by running to its end. */
  const attemptApart = async (attempt: Attempt): Promise<Result> => {
    const leave = await suspects.acquireIsolation(attempt.req.deadline.signal)
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
        req.observation.firstTokenMs = clock.monotonic() - req.observation.startedMs
        metrics.firstToken.observe({ start: req.observation.wasCold ? 'cold' : 'warm' }, (clock.monotonic() - startedMs) / MS_PER_SECOND)
      }
      let last: Failure = createRefusal('no_capacity', 'No engine could take the request.', 1)
      retryBudget.recordFirstAttempt()
      for (let tries = 0; tries < MAX_ATTEMPTS; tries += 1) {
        const verdict = suspects.assess(fingerprint)
        if (verdict === 'refused') return req.execution.conclude(CRASHES_BACKEND)
        if (tries > 0 && !retryBudget.tryTake()) {
          logger.info('retry-withheld', { request: req.requestId, reason: 'retry budget spent' })
          break
        }
        const attempt = { tries, avoid, req, res, completion, fingerprint, onFirstByte }
        const result = verdict === 'suspect' ? await attemptApart(attempt) : await attemptAt(attempt)
        if (result.kind === 'answered') return result
        if (result.kind === 'no-route') return req.execution.conclude(tries === 0 ? result.failure : last)
        if (!isRetryable(result)) return req.execution.conclude(result.failure)
        last = result.failure
        logger.info('request-retried', { request: req.requestId, result: result.kind, reason: last.message })
      }
      return req.execution.conclude(last)
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
