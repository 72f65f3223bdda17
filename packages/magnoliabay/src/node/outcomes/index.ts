/** Outcomes of requests, execution tracking and retry budgets. */
export { createExecutionTracker } from './executionTracker'
export type { ExecutionTracker } from './executionTracker'
export type { RequestOutcome } from './outcome'
export { createFleetRetryBudget, createRetryBudget } from './retryBudget'
export type { RetryBudget } from './retryBudget'
