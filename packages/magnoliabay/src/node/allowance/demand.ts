/** Measures how many tokens per second a team requests at this instance, averaged over the last seconds. */
import { createDecayingRate } from '../decayingRate'

const AVERAGING_TIME_MS = 5000

export interface Demand {
  record (tokens: number, nowMs: number): void
  /** Tokens per second. */
  rate (nowMs: number): number
  /** Monotonic time of the last request. */
  lastRequestMs (): number
}

export function createDemand (): Demand {
  const requestedTokens = createDecayingRate(AVERAGING_TIME_MS)
  let lastRequestMs = -Infinity
  return {
    record: (tokens, now) => {
      requestedTokens.add(tokens, now)
      lastRequestMs = now
    },
    rate: requestedTokens.read,
    lastRequestMs: () => lastRequestMs
  }
}
