/** A quantity averaged over the last while, from nothing on: what it was before fades away exponentially. */

export interface DecayingAverage {
  /** The quantity as it is now; returns its average. */
  update (value: number, nowMs: number): number
}

export function createDecayingAverage (timeConstantMs: number): DecayingAverage {
  let average = 0
  let updatedMs: number | undefined
  return {
    update: (value, nowMs) => {
      const decay = updatedMs === undefined ? 1 : Math.exp(-Math.max(0, nowMs - updatedMs) / timeConstantMs)
      average = average * decay + value * (1 - decay)
      updatedMs = nowMs
      return average
    }
  }
}
