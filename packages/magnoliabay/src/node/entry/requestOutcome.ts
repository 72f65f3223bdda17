/**
 * Concludes every request: responds to the caller, whatever the handler did, and counts and logs the outcome.
 */
import type { ServerResponse } from 'node:http'
import { formatEvidence } from '../answers'
import type { Clock } from '../clock'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { LogFields, Logger } from '../logger'
import type { Metrics } from '../metrics'
import type { RequestOutcome } from '../outcomes'
import type { SloTracker } from '../report'
import { messageOf } from '../utils'
import type { AbortReason } from './deadline'
import { sendFailure } from './respond'
import type { EntryRequest, Handler } from './types'

export interface ConcludeOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  report: Pick<SloTracker, 'recordRequest'>
}

/** Runs a request. `answered` means that the runner has sent the complete response. */
export type RequestRunner = (req: EntryRequest, res: ServerResponse) => Promise<RequestOutcome>

/** Failures of aborted requests; they replace whatever failure the abort caused in the handler. */
const FAILURE_BY_ABORT_REASON: Record<AbortReason, Failure> = {
  deadline: createRefusal('deadline_exceeded', 'The deadline of the request passed.', 1),
  'caller-gone': createRefusal('caller_gone', 'The caller closed its connection.'),
  'key-withdrawn': createRefusal('key_withdrawn', 'The key was withdrawn while the request was open.'),
  'shutting-down': createRefusal('shutting_down', 'This instance ended before the request did.', 1)
}

/** Wraps `run` in a handler that responds exactly once. `describe` adds fields to the log event. */
export function concludeHandler (options: ConcludeOptions, run: RequestRunner, describe: (req: EntryRequest) => LogFields = () => ({})): Handler {
  const { clock, logger, metrics } = options

  const runSafely = async (req: EntryRequest, res: ServerResponse): Promise<RequestOutcome> => {
    try {
      return await run(req, res)
    } catch (err) {
      // An exception must not leave the caller waiting, nor report *not run* for a request that was sent.
      logger.error('request-fault', { request: req.requestId, reason: messageOf(err) })
      return req.execution.conclude(createRefusal('internal', 'Something went wrong here.'))
    }
  }
  /** A request that the handler says may have run, or may still, is not reported as not run: nothing of it may have been sent yet. */
  const applyAbortReason = (req: EntryRequest, outcome: RequestOutcome): RequestOutcome => {
    const reason = req.deadline.reason()
    if (outcome.kind === 'answered' || reason === undefined) return outcome
    const failure = FAILURE_BY_ABORT_REASON[reason]
    return req.execution.conclude({ ...failure, notRun: failure.notRun && outcome.failure.notRun })
  }
  return async function conclude (req, res) {
    const startedMs = clock.monotonic()
    req.observation = { startedMs, wasCold: false }
    metrics.openRequests.inc()
    const outcome = applyAbortReason(req, await runSafely(req, res))
    metrics.openRequests.dec()
    const code = outcome.kind === 'answered' ? 'ok' : outcome.failure.code
    if (outcome.kind !== 'answered') sendFailure(res, outcome.failure, req.requestId, clock)
    options.report.recordRequest({ ...req.observation, team: req.caller.team, outcome: outcome.kind, code })
    metrics.requests.inc({ outcome: outcome.kind, code, team: req.caller.team })
    logger.info('request-ended', {
      request: req.requestId,
      team: req.caller.team,
      model: req.observation.model,
      outcome: outcome.kind,
      code,
      cold: req.observation.wasCold || undefined,
      reason: outcome.kind === 'answered' ? undefined : outcome.failure.message,
      notRunBy: outcome.kind === 'refused-not-run' ? formatEvidence(req.execution.evidence()) : undefined,
      tookMs: Math.round(clock.monotonic() - startedMs),
      ...describe(req)
    })
  }
}
