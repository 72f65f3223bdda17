/** Outcomes of requests, execution tracking, retry budgets and requests that crash engines. */
export { createExecutionTracker } from './executionTracker'
export type { ExecutionTracker } from './executionTracker'
export type { RequestOutcome } from './outcome'
export { createRetryBudget } from './retryBudget'
export type { RetryBudget } from './retryBudget'
export { createSuspects, fingerprintOf } from './suspects'
export type { Suspects } from './suspects'
export { createCrashCheck } from './crashCheck'
