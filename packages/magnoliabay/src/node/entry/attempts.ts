/** Runs the attempts of one completion, each at a different engine. */
import type { ServerResponse } from 'node:http'
import { relayCompletion } from '../backend/relay'
import type { Place } from '../backend/backendStatements'
import type { RelayOptions, RelayResult } from '../backend/relayTypes'
import type { Clock } from '../clock'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import type { Metrics } from '../metrics'
import type { Accusation, CrashAttribution, CutRequest, RequestGuard } from '../crashes'
import type { RequestOutcome, RetryBudget } from '../outcomes'
import { WORK_CLASS_HEADER, ENGINE_PRIORITY_BY_CLASS, parseWorkClass } from '../queue'
import type { AcquiredReplica, ReplicaRouter } from '../routing'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import type { CompletionRequest } from './completionRequest'
import { ABORTED, takePlace } from './takePlace'
import type { EntryRequest } from './types'
import { untilAborted } from './untilAborted'

const MAX_ATTEMPTS = 3
const MS_PER_SECOND = 1000
/** Its refusal names no time: a retry cannot end otherwise. */
const CRASHES_BACKEND_FAILURE = createRefusal('crashes_backend', 'Engines crashed on this request, or on others that share one of its messages. It is not sent to any more of them; change it before you send it again.')

/** Engines state no software version here. */
const NO_VERSION = ''
/** An engine takes longer to restart, so that what instances tell of it within this time is one crash, milliseconds. */
const CRASH_INTERVAL_MS = 5000

export interface AttemptOptions {
  routing: ReplicaRouter
  relay: RelayOptions
  retryBudget: RetryBudget
  crashes: CrashAttribution
  clock: Clock
  logger: Logger
  metrics: Metrics
}

/** A request that waits longer than this for a replica counts as a cold start. */
const COLD_START_THRESHOLD_MS = 200

export interface CompletionAttempts {
  run (req: EntryRequest, res: ServerResponse, completion: CompletionRequest, guard: RequestGuard): Promise<RequestOutcome>
}

export function createAttempts (options: AttemptOptions): CompletionAttempts {
  const { routing, retryBudget, crashes, clock, logger, metrics } = options

  /** Attempts whose answers have not begun. */
  const waiting = new Set<WaitingAttempt>()
  // A request on which engines certainly crash is withdrawn from the queue of its engine.
  crashes.onBlamed(() => [...waiting].filter(({ guard }) => guard.mustWithdraw()).forEach(({ withdrawal }) => withdrawal.abort()))

  /** Acquires a replica whose engine takes the request now; the router leaves out those that have refused it. */
  const acquireAdmitted = async ({ excludedEngines, req, completion }: Attempt): Promise<Result<AdmittedReplica, Failure>> => {
    for (;;) {
      const route = await routing.acquireReplica({
        modelOrAdapter: completion.model,
        team: req.caller.team,
        prefixHash: completion.prefixHash,
        deadlineMs: req.deadline.atMs,
        excludedEngines,
        signal: req.deadline.signal
      })
      if (route.err) return route
      const place = await takePlace(options.relay.statements, route.val.replica.address, req.deadline.signal)
      if (place !== undefined && place !== ABORTED) return Ok({ ...route.val, place })
      route.val.release()
      if (place === ABORTED) return Err(createRefusal('deadline_exceeded', 'The request was given up before an engine took it.', 1))
    }
  }
  /** Names a crash of an engine, for which the platform's list has no id of a process. */
  const crashOf = (engine: string): string => `${engine}@${Math.floor(clock.now() / CRASH_INTERVAL_MS)}`
  /** The next attempt waits for this, so that it does not go out with what has just been blamed. */
  const recordIfCrashed = async ({ address, engine }: AcquiredReplica['replica'], guard: RequestGuard, times: Pick<CutRequest, 'sentMs' | 'brokeMs' | 'trial'>): Promise<void> => {
    if (await crashes.hasCrashed(address)) guard.recordCrash({ process: crashOf(engine), softwareVersion: NO_VERSION, ...times })
  }
  const runAttempt = async (attempt: Attempt): Promise<AttemptResult> => {
    const { attemptIndex, excludedEngines, req, res, completion, guard, onFirstByte } = attempt
    const requestedAtMs = clock.monotonic()
    const route = await acquireAdmitted(attempt)
    if (route.err) return { kind: 'no-route', failure: route.val }
    req.observation.wasCold ||= clock.monotonic() - requestedAtMs > COLD_START_THRESHOLD_MS
    const { replica, release, place } = route.val
    const sentMs = clock.monotonic()
    const waitingAttempt: WaitingAttempt = { guard, withdrawal: new AbortController() }
    waiting.add(waitingAttempt)
    const hasBegun = (): boolean => !waiting.has(waitingAttempt)
    const recordBegun = (): void => {
      if (waiting.delete(waitingAttempt)) guard.recordBegun(NO_VERSION)
    }
    const result = await relayCompletion(options.relay, {
      address: replica.address,
      path: req.path,
      requestId: req.requestId,
      engineRequestId: attemptIndex === 0 ? req.requestId : `${req.requestId}.${attemptIndex}`,
      team: req.caller.team,
      priority: ENGINE_PRIORITY_BY_CLASS[parseWorkClass(req.headers[WORK_CLASS_HEADER])],
      body: completion.body,
      isStream: completion.isStream,
      signal: AbortSignal.any([req.deadline.signal, waitingAttempt.withdrawal.signal]),
      execution: req.execution,
      tryTakeRetry: retryBudget.tryTake
    }, res, () => {
      recordBegun()
      onFirstByte()
    }).finally(release)
    place.release(result.kind === 'not-run' || result.kind === 'refused')
    excludedEngines.add(replica.engine)
    const isConnectionBroken = 'isConnectionBroken' in result && result.isConnectionBroken
    const brokeMs = clock.monotonic()
    const isCutBeforeBegun = isConnectionBroken && !hasBegun()
    waiting.delete(waitingAttempt)
    if (isCutBeforeBegun) await untilAborted(req.deadline.signal, recordIfCrashed(replica, guard, { sentMs, brokeMs, trial: guard.trial() }))
    logger.debug('request-relayed', { request: req.requestId, engine: replica.engine, result: result.kind })
    return result.kind === 'stopped' && waitingAttempt.withdrawal.signal.aborted ? { ...result, failure: CRASHES_BACKEND_FAILURE } : result
  }

  return {
    run: async (req, res, completion, guard) => {
      const excludedEngines = new Set<string>()
      const startedMs = clock.monotonic()
      const onFirstByte = (): void => {
        req.observation.firstTokenMs = clock.monotonic() - req.observation.startedMs
        metrics.firstToken.observe({ start: req.observation.wasCold ? 'cold' : 'warm' }, (clock.monotonic() - startedMs) / MS_PER_SECOND)
      }
      let lastFailure: Failure = createRefusal('no_capacity', 'No engine could take the request.', 1)
      retryBudget.recordFirstAttempt()
      for (let attemptIndex = 0; attemptIndex < MAX_ATTEMPTS; attemptIndex += 1) {
        const accusation = await guard.admit()
        if (accusation !== undefined) return concludeAccused(logger, req, accusation)
        if (attemptIndex > 0 && !retryBudget.tryTake()) {
          logger.info('retry-withheld', { request: req.requestId, reason: 'retry budget spent' })
          break
        }
        const attempt = { attemptIndex, excludedEngines, req, res, completion, guard, onFirstByte }
        const result = await runAttempt(attempt).finally(guard.endTrial)
        if (result.kind === 'answered') return result
        if (result.kind === 'no-route') return req.execution.conclude(attemptIndex === 0 ? result.failure : lastFailure)
        if (!isRetryable(result) || req.deadline.signal.aborted) return req.execution.conclude(result.failure)
        lastFailure = result.failure
        logger.info('request-retried', { request: req.requestId, result: result.kind, reason: lastFailure.message })
      }
      return req.execution.conclude(lastFailure)
    }
  }
}

/** A replica whose engine takes the request now. */
type AdmittedReplica = AcquiredReplica & { place: Place }

interface WaitingAttempt {
  guard: RequestGuard
  /** Aborted to end the attempt. */
  withdrawal: AbortController
}

interface Attempt {
  attemptIndex: number
  /** Engines of earlier attempts. */
  excludedEngines: Set<string>
  req: EntryRequest
  res: ServerResponse
  completion: CompletionRequest
  guard: RequestGuard
  onFirstByte: () => void
}

type AttemptResult = RelayResult | { kind: 'no-route', failure: Failure }

/** Ends a request on which engines crash; the log leads to the crashes. */
export function concludeAccused (logger: Logger, req: EntryRequest, { suspects, servers }: Accusation): RequestOutcome {
  logger.info('suspect-refused', { request: req.requestId, team: req.caller.team, suspect: suspects[0], crashed: servers })
  return req.execution.conclude(CRASHES_BACKEND_FAILURE)
}

/** Completions are idempotent, so they are retried until the first byte has reached the caller. */
function isRetryable (result: AttemptResult): boolean {
  return result.kind === 'not-run' || result.kind === 'failed'
}
