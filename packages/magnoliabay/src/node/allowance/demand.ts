/** How many tokens a second a team asks for at this instance, averaged over the last seconds. */
import { MS_PER_SECOND } from './constants'

const AVERAGED_OVER_MS = 5000

export interface Demand {
  note (tokens: number, nowMs: number): void
  /** Tokens a second. */
  rate (nowMs: number): number
  /** Monotonic time of the last request. */
  lastMs (): number
}

export function createDemand (): Demand {
  let average = 0
  let atMs = 0
  let lastMs = -Infinity

  const decay = (now: number): void => {
    average *= Math.exp(-Math.max(0, now - atMs) / AVERAGED_OVER_MS)
    atMs = now
  }
  return {
    note: (tokens, now) => {
      decay(now)
      average += tokens / AVERAGED_OVER_MS * MS_PER_SECOND
      lastMs = now
    },
    rate: now => {
      decay(now)
      return average
    },
    lastMs: () => lastMs
  }
}
