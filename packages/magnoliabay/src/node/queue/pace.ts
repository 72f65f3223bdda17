/** How fast requests for a model have been started lately, for the estimate of a wait. */

const AVERAGED_OVER_MS = 5000
/** Before anybody has waited for this long the pace says nothing: there was room. */
const MEASURED_AFTER_MS = 3000
const MS_PER_SECOND = 1000

export interface Pace {
  noteStarted (tokens: number, nowMs: number): void
  /** Whether anybody waits for the model. */
  noteWaiting (isWaiting: boolean, nowMs: number): void
  /** Tokens a second while somebody waited, or undefined while that isn't known. */
  tokensPerSecond (nowMs: number): number | undefined
}

export function createPace (): Pace {
  let average = 0
  let atMs = 0
  let waitingSinceMs: number | undefined

  const decay = (now: number): void => {
    average *= Math.exp(-Math.max(0, now - atMs) / AVERAGED_OVER_MS)
    atMs = now
  }
  return {
    noteStarted: (tokens, now) => {
      decay(now)
      average += tokens / AVERAGED_OVER_MS * MS_PER_SECOND
    },
    noteWaiting: (isWaiting, now) => {
      if (!isWaiting) waitingSinceMs = undefined
      if (!isWaiting || waitingSinceMs !== undefined) return
      // What was started while there was room says nothing about the pace of a queue.
      waitingSinceMs = now
      average = 0
      atMs = now
    },
    tokensPerSecond: now => {
      if (waitingSinceMs === undefined || now - waitingSinceMs < MEASURED_AFTER_MS) return undefined
      decay(now)
      // An average that began at 0 is too low by as much as a constant pace's would be.
      const measured = average / (1 - Math.exp(-(now - waitingSinceMs) / AVERAGED_OVER_MS))
      return measured > 0 ? measured : undefined
    }
  }
}
