/** Response times of a probe: log-normal, before and after a backend server has become slow. */

export interface LatencyModel {
  /** Median before the change, in milliseconds. */
  medianMs: number
  /** Standard deviation of the logarithm. */
  sigma: number
}

export type NextNormal = () => number

const TWO_PI = 2 * Math.PI

/** Standard normal numbers from uniform ones (Box and Muller). */
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

/** Normal numbers of which neighbours resemble each other: load that comes and goes. `correlation` from 0 to 1. */
export function createCorrelatedNormal (normal: NextNormal, correlation: number): NextNormal {
  const fresh = Math.sqrt(1 - correlation * correlation)
  let last = normal()
  return () => {
    last = correlation * last + fresh * normal()
    return last
  }
}

/** A response time in milliseconds, `slowdown` times the usual one. */
export function latencyOf (model: LatencyModel, slowdown: number, normal: number): number {
  return model.medianMs * slowdown * Math.exp(model.sigma * normal)
}

/** Logarithm of how much likelier a response time is at `assumedSlowdown` than at the usual speed. */
export function createLogLikelihoodRatio (model: LatencyModel, assumedSlowdown: number): (latencyMs: number) => number {
  const shift = Math.log(assumedSlowdown) / model.sigma
  const center = Math.log(model.medianMs)
  return latencyMs => {
    const standardized = (Math.log(latencyMs) - center) / model.sigma
    return shift * standardized - shift * shift / 2
  }
}
