/** How requests end: one type, and the one account of whether anything may have run. */
export { createTrail } from './trail'
export type { Trail } from './trail'
export type { Outcome } from './outcome'
export { createRetryBudget } from './retryBudget'
export type { RetryBudget } from './retryBudget'
export { createSuspects, fingerprintOf } from './suspects'
export type { Suspects } from './suspects'
export { createCrashCheck } from './crashCheck'
