/** Measures how fast requests for a model are started, to estimate the wait in the queue. */
import { createDecayingRate } from '../decayingRate'

const AVERAGING_WINDOW_MS = 5000
/** The throughput is unknown until requests have waited for this long: before that there was spare capacity. */
const MIN_MEASURED_MS = 3000

export interface Throughput {
  recordStarted (tokens: number, nowMs: number): void
  /** Sets whether any request waits for the model. */
  setWaiting (isWaiting: boolean, nowMs: number): void
  /** Returns the tokens per second while requests waited, or undefined while that is unknown. */
  tokensPerSecond (nowMs: number): number | undefined
}

export function createThroughput (): Throughput {
  const started = createDecayingRate(AVERAGING_WINDOW_MS)
  let waitingSinceMs: number | undefined

  return {
    recordStarted: started.add,
    setWaiting: (isWaiting, now) => {
      if (!isWaiting) waitingSinceMs = undefined
      if (!isWaiting || waitingSinceMs !== undefined) return
      // Requests that started while there was spare capacity say nothing about the throughput of a queue.
      waitingSinceMs = now
      started.reset(now)
    },
    tokensPerSecond: now => {
      if (waitingSinceMs === undefined || now - waitingSinceMs < MIN_MEASURED_MS) return undefined
      // Corrects for the start at 0: the average of a constant rate would be too low by this factor.
      const measured = started.read(now) / (1 - Math.exp(-(now - waitingSinceMs) / AVERAGING_WINDOW_MS))
      return measured > 0 ? measured : undefined
    }
  }
}
