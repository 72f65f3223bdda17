/** How a request ended. */
import type { Failure } from '../failures'

export type RequestOutcome =
  /** The whole answer went to the caller. `usedTokens` is undefined when the backend server didn't say. */
  | { kind: 'answered', usedTokens?: number }
  /** Nothing of it ran on any backend server. */
  | { kind: 'refused-not-run', failure: Failure }
  | { kind: 'failed-may-have-run', failure: Failure }
