/** A weighted mean whose samples lose weight exponentially with time. */

export interface DecayingMean {
  add (value: number, weight: number, nowMs: number): void
  /** Returns the mean of the samples and of `prior`, which counts as `priorWeight` samples. */
  read (prior: number, priorWeight: number): number
  /** Returns the weight that the samples still have. */
  weight (nowMs: number): number
}

export function createDecayingMean (timeConstantMs: number): DecayingMean {
  let sum = 0
  let totalWeight = 0
  let updatedMs = 0

  const decay = (nowMs: number): void => {
    const factor = Math.exp(-Math.max(0, nowMs - updatedMs) / timeConstantMs)
    sum *= factor
    totalWeight *= factor
    updatedMs = nowMs
  }
  return {
    add: (value, weight, nowMs) => {
      decay(nowMs)
      sum += value * weight
      totalWeight += weight
    },
    read: (prior, priorWeight) => {
      const weight = totalWeight + priorWeight
      return weight === 0 ? prior : (sum + prior * priorWeight) / weight
    },
    weight: nowMs => {
      decay(nowMs)
      return totalWeight
    }
  }
}
