/** How many tokens a second a team asks for at this instance, averaged over the last seconds. */
import { createDecayingRate } from '../decayingRate'

const AVERAGED_OVER_MS = 5000

export interface Demand {
  note (tokens: number, nowMs: number): void
  /** Tokens a second. */
  rate (nowMs: number): number
  /** Monotonic time of the last request. */
  lastMs (): number
}

export function createDemand (): Demand {
  const asked = createDecayingRate(AVERAGED_OVER_MS)
  let lastMs = -Infinity
  return {
    note: (tokens, now) => {
      asked.add(tokens, now)
      lastMs = now
    },
    rate: asked.read,
    lastMs: () => lastMs
  }
}
