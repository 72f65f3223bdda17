/** An exponentially weighted average of a quantity over time, starting at 0. */

export interface DecayingAverage {
  /** Records the current value; returns the average. */
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
