/** How a request ends: the one line that says so, and what its caller is told. */
import { sendCompleteResponse } from './attempt'
import type { ServingContext } from './servingContext'
import { statusOf } from './refusal'
import type { Refusal } from './refusal'
import type { Inbound, Run } from './requestRun'
import type { CallerRequest } from './types'

export interface Endings {
  /** Ends a request without an answer of a server. `facts` go into the line beside the reason. */
  refuse (inbound: Inbound, caller: CallerRequest, refusal: Refusal, mayHaveRun: boolean, facts: object): void
  /** Ends a request that was admitted, with the failure that a server answered if there is one. */
  end (run: Run, refusal: Refusal): void
  /** Notes that an answer of a server was passed on. */
  logEnd (run: Run, outcome: string): void
}

export function createEndings (ctx: ServingContext): Endings {
  const { allowance, cfg, clock, logger, metrics, wire } = ctx

  const refuse: Endings['refuse'] = (inbound, caller, refusal, mayHaveRun, facts) => {
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
      ...facts
    })
    if (res.headersSent || res.destroyed) {
      res.destroy()
      return
    }
    const promise = !mayHaveRun && refusal.retryAfterMs !== undefined
    const body = JSON.stringify({ error: refusal.reason })
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(promise ? { 'retry-after': (refusal.retryAfterMs! / 1000).toFixed(3) } : {})
    })
    res.end(body)
  }
  const factsOf = (run: Run): object => ({
    route: run.admitted.route.name,
    team: run.admitted.team?.name,
    model: run.caller.model,
    adapter: run.caller.adapter,
    server: run.server?.id,
    sends: run.sends,
    waitedMs: Math.round(run.waitedMs),
    firstMs: run.firstMs === undefined ? undefined : Math.round(run.firstMs)
  })
  const end: Endings['end'] = (run, refusal) => {
    const mayHaveRun = run.trail.state() !== 'untouched'
    if (run.unitsTaken > 0 && !mayHaveRun && run.admitted.team !== undefined) allowance.refund(run.admitted.team, run.unitsTaken)
    if (run.lastAnswer !== undefined && mayHaveRun && !run.inbound.res.headersSent) {
      sendCompleteResponse(run.inbound.res, run.lastAnswer, wire.toCallerHeaders)
      return logEnd(run, `relayed ${run.lastAnswer.head.status}`)
    }
    refuse(run.inbound, run.caller, refusal, mayHaveRun, factsOf(run))
  }
  const logEnd: Endings['logEnd'] = (run, outcome) => {
    const tookMs = clock.monotonic() - run.inbound.arrivedMs
    metrics.ended.inc({ reason: 'answered' })
    metrics.answerSeconds.observe(tookMs / 1000)
    logger.info('request-ended', { request: run.caller.attemptId, outcome, tookMs: Math.round(tookMs), config: cfg.version(), ...factsOf(run) })
  }

  return { refuse, end, logEnd }
}
