/** How fast requests for a model have been started lately, for the estimate of a wait. */
import { createDecayingRate } from '../decayingRate'

const AVERAGING_WINDOW_MS = 5000
/** Before anybody has waited for this long the pace says nothing: there was room. */
const MIN_MEASURED_MS = 3000

export interface Throughput {
  recordStarted (tokens: number, nowMs: number): void
  /** Whether anybody waits for the model. */
  setWaiting (isWaiting: boolean, nowMs: number): void
  /** Tokens a second while somebody waited, or undefined while that isn't known. */
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
      // What was started while there was room says nothing about the pace of a queue.
      waitingSinceMs = now
      started.reset(now)
    },
    tokensPerSecond: now => {
      if (waitingSinceMs === undefined || now - waitingSinceMs < MIN_MEASURED_MS) return undefined
      // An average that began at 0 is too low by as much as a constant pace's would be.
      const measured = started.read(now) / (1 - Math.exp(-(now - waitingSinceMs) / AVERAGING_WINDOW_MS))
      return measured > 0 ? measured : undefined
    }
  }
}
