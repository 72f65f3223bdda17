/** Log-normal response times of a probe, before and after a backend server becomes slow. */

export interface LatencyModel {
  /** Median before the change, in milliseconds. */
  medianMs: number
  /** Standard deviation of the logarithm. */
  sigma: number
}

export type NextNormal = () => number

const TWO_PI = 2 * Math.PI

/** Generates standard normal numbers from uniform ones (Box-Muller transform). */
export function createNormal (random: () => number): NextNormal {
  let spare: number | undefined
  return () => {
    if (spare !== undefined) {
      const value = spare
      spare = undefined
      return value
    }
    const radius = Math.sqrt(-2 * Math.log(1 - random()))
    const angle = TWO_PI * random()
    spare = radius * Math.sin(angle)
    return radius * Math.cos(angle)
  }
}

/** Generates autocorrelated normal numbers, which model varying load; `correlation` is from 0 to 1. */
export function createCorrelatedNormal (normal: NextNormal, correlation: number): NextNormal {
  const fresh = Math.sqrt(1 - correlation * correlation)
  let last = normal()
  return () => {
    last = correlation * last + fresh * normal()
    return last
  }
}

/** Returns a response time in milliseconds, `slowdown` times the normal one. */
export function latencyOf (model: LatencyModel, slowdown: number, normal: number): number {
  return model.medianMs * slowdown * Math.exp(model.sigma * normal)
}

/** Creates the log-likelihood ratio of a response time at `assumedSlowdown` to the same one at normal speed. */
export function createLogLikelihoodRatio (model: LatencyModel, assumedSlowdown: number): (latencyMs: number) => number {
  const shift = Math.log(assumedSlowdown) / model.sigma
  const center = Math.log(model.medianMs)
  return latencyMs => {
    const standardized = (Math.log(latencyMs) - center) / model.sigma
    return shift * standardized - shift * shift / 2
  }
}
