/** Whether a request may run once more, and the retry budget that it takes for that. */
import { isSuccess } from './attempt'
import type { RequestRun } from './requestRun'
import type { ServingContext } from './servingContext'

export interface RetryRules {
  /** Whether the request may run once more, at another server. */
  canRetry (run: RequestRun): boolean
  /** Takes a retry from the budget of the request's service, for a send that is made in any case. */
  tryTakeRetry (run: RequestRun): boolean
  /**
   * Takes the next attempt of the request from the budget; returns whether it has one. It lasts until the attempt is sent, so
   * that several reasons to end an attempt take one retry.
   */
  reserveRetry (run: RequestRun): boolean
  /** Gives back an attempt that was reserved and is not made. */
  releaseRetry (run: RequestRun): void
}

/**
 * Whether another response may follow what the caller has of this one. Only a stream goes on, after its last event; any other
 * response would be made of two servers' parts and look complete.
 */
function canFollow ({ inbound: { res }, events }: RequestRun): boolean {
  return !res.headersSent || (events !== undefined && isSuccess(res.statusCode))
}

export function createRetryRules ({ retryBudget }: Pick<ServingContext, 'retryBudget'>): RetryRules {
  const budgetOf = ({ admitted }: RequestRun): ReturnType<typeof retryBudget> => retryBudget(admitted.service.name)
  const tryTakeRetry: RetryRules['tryTakeRetry'] = run => budgetOf(run).tryTake()
  return {
    canRetry: run => {
      const { kind, isResumable, maxAttempts } = run.admitted.route
      return (kind === 'idempotent' || (kind === 'stream' && isResumable)) && run.possibleRuns < maxAttempts && canFollow(run)
    },
    tryTakeRetry,
    reserveRetry: run => {
      run.isRetryReserved ||= tryTakeRetry(run)
      return run.isRetryReserved
    },
    releaseRetry: run => {
      if (run.isRetryReserved) budgetOf(run).giveBack()
      run.isRetryReserved = false
    }
  }
}
