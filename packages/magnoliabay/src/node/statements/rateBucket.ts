/** Counts requests against a rate with a token bucket, and tells callers that it refuses when to come back. */

/** A promise further ahead would be too uncertain to be of use, milliseconds. */
const MAX_PROMISE_MS = 5000
const MS_PER_SECOND = 1000

export interface Grant {
  /** Time until the next request may be granted, milliseconds; 0: this one is. */
  freeInMs: number
  /** When the caller should come back, after those that were refused before it, milliseconds. */
  retryInMs: number
}

export interface RateBucket {
  /** Takes a token if more than `reserve` are left with it. */
  take (requestsPerSecond: number, nowMs: number, reserve: number): Grant
}

export interface RateBucketOptions {
  /** Requests that may come at once after a pause. */
  burst: number
  /** Tokens at the beginning. */
  initialTokens: number
  nowMs: number
}

export function createRateBucket ({ burst, initialTokens, nowMs: startMs }: RateBucketOptions): RateBucket {
  let tokens = initialTokens
  let filledMs = startMs
  let promisedMs = startMs

  return {
    take: (requestsPerSecond, nowMs, reserve) => {
      const tokenMs = MS_PER_SECOND / requestsPerSecond
      tokens = Math.min(burst, tokens + (nowMs - filledMs) / tokenMs)
      filledMs = nowMs
      const needed = Math.min(burst, 1 + reserve)
      if (tokens >= needed) {
        tokens -= 1
        return { freeInMs: 0, retryInMs: 0 }
      }
      const freeInMs = Math.ceil((needed - tokens) * tokenMs)
      // A request that leaves tokens to others has somewhere else to go, and nobody comes back for it.
      if (reserve > 0) return { freeInMs, retryInMs: freeInMs }
      promisedMs = Math.min(nowMs + Math.max(MAX_PROMISE_MS, freeInMs), Math.max(nowMs + freeInMs, promisedMs + tokenMs))
      return { freeInMs, retryInMs: Math.round(promisedMs - nowMs) }
    }
  }
}
