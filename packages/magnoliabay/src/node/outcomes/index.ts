/** How a request ended: one type, made in one place. */
import type { Failure } from '../failures'

export type Outcome =
  | { kind: 'answered', usedTokens: number }
  | { kind: 'refused-not-run', failure: Failure }
  | { kind: 'failed-may-have-run', failure: Failure }

/** The outcome of a failure follows from whether anything may have run. */
export function failed (failure: Failure): Outcome {
  return failure.notRun
    ? { kind: 'refused-not-run', failure }
    : { kind: 'failed-may-have-run', failure }
}
