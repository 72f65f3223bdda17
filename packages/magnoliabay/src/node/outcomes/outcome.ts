/** Outcome of a request. */
import type { Failure } from '../failures'

export type RequestOutcome =
  /** The caller got the complete response. `usedTokens` is undefined if the backend server reported none. */
  | { kind: 'answered', usedTokens?: number }
  /** The request ran on no backend server. */
  | { kind: 'refused-not-run', failure: Failure }
  | { kind: 'failed-may-have-run', failure: Failure }
