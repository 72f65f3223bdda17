/** Finds out which models of an engine that states a rate limit are requested more often than the limit allows. */

export interface LimitedEngine {
  /** Requests a second that it takes from all instances together. */
  requestsPerSecond: number
  models: readonly string[]
}

export interface LimitedEngineUse {
  /** Models whose requests do not fit; the rarest models fit first. */
  modelsBeyondLimit: readonly string[]
  /** What is left beside the models that fit, for a model that is requested more rarely than the others. */
  spareRequestsPerSecond: number
}

/** `rateOf`: requests per second for the model at this engine, if its replicas get equal parts. */
export function assessLimitedEngine ({ requestsPerSecond, models }: LimitedEngine, rateOf: (model: string) => number): LimitedEngineUse {
  const byRate = models.map(model => ({ model, rate: rateOf(model) })).sort((left, right) => left.rate - right.rate)
  let spareRequestsPerSecond = requestsPerSecond
  const modelsBeyondLimit = byRate.filter(({ rate }) => {
    if (rate > spareRequestsPerSecond) return true
    spareRequestsPerSecond -= rate
    return false
  })
  return { modelsBeyondLimit: modelsBeyondLimit.map(({ model }) => model), spareRequestsPerSecond }
}
