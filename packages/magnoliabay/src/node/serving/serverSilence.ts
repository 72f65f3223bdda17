/**
 * Watches the attempts of requests that may run again, and ends one whose server has stopped responding once another is
 * certain to follow: the server may be sound and slow, and its answer on the way. Any other attempt goes on.
 */
import { SILENCE_TIMEOUT_MS } from './serverHealth'
import type { Attempt } from './attempt'
import type { OtherServers } from './otherServers'
import type { RequestRun } from './requestRun'
import type { RetryRules } from './retryRules'
import type { ServingContext } from './servingContext'

/** Interval at which requests that may run elsewhere check whether their server has stopped responding, milliseconds. */
const SILENCE_CHECK_INTERVAL_MS = 400

/** What is done about a silent server, and why. */
type SilenceDecision =
  | { action: 'resent', reason: undefined }
  | { action: 'kept', reason: 'no-other-server' | 'retry-budget-spent' }

export interface ServerSilenceOptions {
  ctx: Pick<ServingContext, 'clock' | 'health' | 'logger'>
  rules: Pick<RetryRules, 'canRetry' | 'reserveRetry'>
  otherServers: OtherServers
}

/** Returns a function that watches an attempt at the server process `id`, and returns how to end that. */
export function createServerSilence ({ ctx, rules: { canRetry, reserveRetry }, otherServers }: ServerSilenceOptions): (run: RequestRun, attempt: Attempt, id: string) => () => void {
  const { clock, health, logger } = ctx

  const decide = (run: RequestRun): SilenceDecision => {
    if (!otherServers.canTake(run)) return { action: 'kept', reason: 'no-other-server' }
    // What has not been sent takes nothing from the budget.
    if (run.sentOn === undefined || reserveRetry(run)) return { action: 'resent', reason: undefined }
    return { action: 'kept', reason: 'retry-budget-spent' }
  }
  /** A server counts as silent also while it cannot be connected to; an answer that goes on arriving on an open connection is sound. */
  const hasReceivedLately = ({ receivedMs = -Infinity }: RequestRun): boolean => clock.monotonic() - receivedMs < SILENCE_TIMEOUT_MS
  return (run, attempt, id) => {
    const sentMs = clock.monotonic()
    let cancel = (): void => {}
    let lastReason: SilenceDecision['reason'] | 'none' = 'none'

    const report = ({ action, reason }: SilenceDecision): void => {
      if (reason === lastReason) return
      lastReason = reason
      logger.info('server-silent', { request: run.caller.attemptId, server: run.server?.id, action, reason, attemptMs: Math.round(clock.monotonic() - sentMs) })
    }
    const check = (): void => {
      if (!attempt.isPaused() && !hasReceivedLately(run) && health.isSilent(id) && canRetry(run)) {
        const decision = decide(run)
        report(decision)
        if (decision.action === 'resent') return attempt.fail('server is silent')
      }
      cancel = clock.schedule(SILENCE_CHECK_INTERVAL_MS, check)
    }
    if (canRetry(run)) cancel = clock.schedule(SILENCE_CHECK_INTERVAL_MS, check)
    return () => cancel()
  }
}
