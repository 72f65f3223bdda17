/** Ends requests: writes the log line, counts the metrics and sends the response to the caller. */
import { formatEvidence } from '../answers'
import type { Accusation } from '../crashes'
import { cutResponse } from '../http/cutResponse'
import { sendCompleteResponse } from './attempt'
import type { ServingContext } from './servingContext'
import { FINAL_REASONS, statusOf } from './refusal'
import type { EndReason, Refusal } from './refusal'
import type { Inbound, RequestRun } from './requestRun'
import type { CallerRequest } from './types'

export interface RequestCompletion {
  /** Ends a request without a response from a server. `logFields` are logged beside the reason. */
  refuse (inbound: Inbound, caller: CallerRequest, refusal: Refusal, mayHaveRun: boolean, logFields: object): void
  /** Ends a request that was admitted, with the failure response of a server if there is one. */
  fail (run: RequestRun, refusal: Refusal): void
  /** Records that a server's response was passed on. */
  recordAnswered (run: RequestRun, outcome: string): void
}

const NEW_STREAM_MESSAGE = 'The stream cannot go on. Drop its events and send the request again as a new one, without Last-Event-Id and Resumes.'
/** Tells the caller what to do, where a retry alone does not help. */
const MESSAGES: Readonly<Partial<Record<EndReason, string>>> = {
  'stream-version-unknown': NEW_STREAM_MESSAGE,
  'stream-version-gone': NEW_STREAM_MESSAGE,
  'crashes-servers': 'Servers crashed on requests with the same part of a prompt, or on this very request. Change it before you send it again.'
}

/** Log fields that lead from a refused request to the crashes for which something in it is blamed. */
export function toAccusationFields (accusation: Accusation | undefined): object {
  return accusation === undefined ? {} : { suspect: accusation.suspects[0], crashed: accusation.servers.join(',') }
}

export function createRequestCompletion (ctx: ServingContext): RequestCompletion {
  const { allowance, cfg, clock, logger, metrics, protocol } = ctx

  const refuse: RequestCompletion['refuse'] = (inbound, caller, refusal, mayHaveRun, logFields) => {
    const { res } = inbound
    const status = statusOf(refusal.reason, mayHaveRun)
    metrics.ended.inc({ reason: refusal.reason })
    logger.info('request-refused', {
      request: caller.attemptId,
      reason: refusal.reason,
      status,
      mayHaveRun,
      tookMs: Math.round(clock.monotonic() - inbound.arrivedMs),
      retryAfterMs: refusal.retryAfterMs,
      config: cfg.version(),
      ...logFields
    })
    if (res.headersSent || res.destroyed) return cutResponse(res, clock)
    const sendsRetryAfter = !mayHaveRun && refusal.retryAfterMs !== undefined && !FINAL_REASONS.has(refusal.reason)
    const body = JSON.stringify({ error: refusal.reason, message: MESSAGES[refusal.reason] })
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(sendsRetryAfter ? { 'retry-after': (refusal.retryAfterMs! / 1000).toFixed(3) } : {})
    })
    res.end(body)
  }
  const logFieldsOf = (run: RequestRun): object => ({
    route: run.admitted.route.name,
    team: run.admitted.team?.name,
    model: run.caller.model,
    adapter: run.caller.adapter,
    server: run.server?.id,
    softwareVersion: run.server?.softwareVersion,
    ...toAccusationFields(run.guard.accusation()),
    resumes: run.caller.resumption?.firstAttemptId,
    resumesAfter: run.caller.resumption?.lastEventId,
    through: run.sentOn?.forwarder,
    sends: run.sends,
    waitedMs: Math.round(run.waitedMs),
    firstMs: run.firstMs === undefined ? undefined : Math.round(run.firstMs)
  })
  const refundUnits = (run: RequestRun): void => {
    if (run.unitsTaken === 0 || run.admitted.team === undefined) return
    allowance.refund(run.admitted.team, run.unitsTaken, clock.monotonic() - run.unitsTakenMs, run.admitted.route.name)
    run.unitsTaken = 0
  }
  const fail: RequestCompletion['fail'] = (run, refusal) => {
    const mayHaveRun = run.execution.state() !== 'untouched'
    if (!mayHaveRun) refundUnits(run)
    // A request that was refused where it waited ends a second time once that wait is over.
    if (run.hasEnded) return
    run.hasEnded = true
    if (run.lastResponse !== undefined && mayHaveRun && !run.inbound.res.headersSent) {
      sendCompleteResponse(run.inbound.res, run.lastResponse, protocol.toCallerHeaders)
      return recordAnswered(run, `relayed ${run.lastResponse.head.status}`)
    }
    refuse(run.inbound, run.caller, refusal, mayHaveRun, { ...logFieldsOf(run), notRunBy: mayHaveRun ? undefined : formatEvidence(run.execution.evidence()) })
  }
  const recordAnswered: RequestCompletion['recordAnswered'] = (run, outcome) => {
    run.hasEnded = true
    const tookMs = clock.monotonic() - run.inbound.arrivedMs
    metrics.ended.inc({ reason: 'answered' })
    metrics.answerSeconds.observe(tookMs / 1000)
    logger.info('request-ended', { request: run.caller.attemptId, outcome, tookMs: Math.round(tookMs), config: cfg.version(), ...logFieldsOf(run) })
  }

  return { refuse, fail, recordAnswered }
}
