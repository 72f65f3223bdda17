/** A quantity averaged over the last while, from nothing on: what it was before fades away exponentially. */

export interface DecayingAverage {
  /** The quantity as it is now; returns its average. */
  update (value: number, nowMs: number): number
}

export function createDecayingAverage (averagedOverMs: number): DecayingAverage {
  let average = 0
  let atMs: number | undefined
  return {
    update: (value, nowMs) => {
      const kept = atMs === undefined ? 1 : Math.exp(-Math.max(0, nowMs - atMs) / averagedOverMs)
      average = average * kept + value * (1 - kept)
      atMs = nowMs
      return average
    }
  }
}
