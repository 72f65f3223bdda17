/**
 * Retries as a share of traffic. Without it, retries multiply the load just when backend servers fail from
 * it, and keep them down.
 */

export interface RetryBudgetOptions {
  /** Retries allowed for each first attempt. @default 0.1 */
  retriesPerRequest?: number
  /** Retries allowed at once after a calm time, so that a rarely used fleet can retry at all; asked anew each time. @default 10 */
  burst?: number | (() => number)
}

export interface RetryBudget {
  recordFirstAttempt (): void
  /** Takes one retry, or says that there is none left. */
  tryTake (): boolean
  remaining (): number
}

const SHARE = 0.1
const RESERVE = 10

export function createRetryBudget (options: RetryBudgetOptions = {}): RetryBudget {
  const share = options.retriesPerRequest ?? SHARE
  const { burst: reserve = RESERVE } = options
  const most = (): number => typeof reserve === 'number' ? reserve : reserve()
  let left = most()
  return {
    recordFirstAttempt: () => { left = Math.min(most(), left + share) },
    tryTake: () => {
      if (left < 1) return false
      left -= 1
      return true
    },
    remaining: () => left
  }
}
