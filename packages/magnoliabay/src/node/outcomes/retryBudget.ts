/**
 * Limits retries to a fraction of the traffic. Unlimited retries multiply the load on backend servers that
 * fail from overload, and keep them from recovering.
 */

export interface RetryBudgetOptions {
  /** Retries allowed for each first attempt. @default 0.1 */
  retriesPerRequest?: number
  /** Maximum number of unused retries, so that a fleet with little traffic can retry at all; a function is called at each use. @default 10 */
  burst?: number | (() => number)
  /** Part of the burst that is there at the beginning. @default 1 */
  initialRatio?: number
}

/** What all instances together may retry for a service in a window. */
export interface FleetRetryLimit {
  /** Retries for each request. */
  ratio: number
  /** Retries beyond these. */
  slack: number
}

export interface RetryBudget {
  recordFirstAttempt (): void
  /** Takes one retry; returns false if none is left. */
  tryTake (): boolean
  /** Returns a retry that was taken and is not made. */
  giveBack (): void
  remaining (): number
}

const DEFAULT_RETRIES_PER_REQUEST = 0.1
const DEFAULT_BURST = 10
/** Part of the fleet's limit that is used; the rest covers differences between the counts of two instances, and restarts. */
const FLEET_LIMIT_RATIO = 0.5
/**
 * Part of its reserve with which an instance begins. Each restart of all instances within a window adds as much to the reserve that
 * was used before it: whole ones would exceed the fleet's limit after two restarts.
 */
const FLEET_INITIAL_RATIO = 0.25

export function createRetryBudget (options: RetryBudgetOptions = {}): RetryBudget {
  const retriesPerRequest = options.retriesPerRequest ?? DEFAULT_RETRIES_PER_REQUEST
  const { burst = DEFAULT_BURST, initialRatio = 1 } = options
  const maxAvailable = (): number => typeof burst === 'number' ? burst : burst()
  let available = maxAvailable() * initialRatio
  return {
    recordFirstAttempt: () => { available = Math.min(maxAvailable(), available + retriesPerRequest) },
    tryTake: () => {
      if (available < 1) return false
      available -= 1
      return true
    },
    giveBack: () => { available = Math.min(maxAvailable(), available + 1) },
    remaining: () => available
  }
}

/** Creates an instance's part of the retries that the fleet may make for one service. */
export function createFleetRetryBudget ({ ratio, slack }: FleetRetryLimit, memberCount: () => number): RetryBudget {
  const burst = (): number => slack * FLEET_LIMIT_RATIO / Math.max(1, memberCount())
  return createRetryBudget({ retriesPerRequest: ratio * FLEET_LIMIT_RATIO, burst, initialRatio: FLEET_INITIAL_RATIO })
}
