/** Mean and standard deviation of a quantity over its recent samples; older samples count for less. */

export interface SampleSummary {
  mean: number
  deviation: number
  /** Number of samples, each counted by its decayed weight. */
  weight: number
}

export interface DecayingSample {
  add (value: number, nowMs: number): void
  read (nowMs: number): SampleSummary
}

export function createDecayingSample (timeConstantMs: number): DecayingSample {
  let weight = 0
  let sum = 0
  let sumOfSquares = 0
  let updatedMs = 0
  const decayTo = (nowMs: number): void => {
    const factor = Math.exp(-Math.max(0, nowMs - updatedMs) / timeConstantMs)
    weight *= factor
    sum *= factor
    sumOfSquares *= factor
    updatedMs = nowMs
  }
  return {
    add: (value, nowMs) => {
      decayTo(nowMs)
      weight += 1
      sum += value
      sumOfSquares += value * value
    },
    read: nowMs => {
      decayTo(nowMs)
      if (weight === 0) return { mean: 0, deviation: 0, weight }
      const mean = sum / weight
      // Rounding may make the difference of two nearly equal numbers negative.
      return { mean, deviation: Math.sqrt(Math.max(0, sumOfSquares / weight - mean * mean)), weight }
    }
  }
}
