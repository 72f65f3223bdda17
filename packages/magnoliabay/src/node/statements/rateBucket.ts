/** Counts requests against a rate with a token bucket, and tells callers that it refuses when to come back. */

/**
 * Requests that may come at once after a pause. Larger ones would exceed, in sum over two instances that count for one
 * server, what it tolerates in a few seconds.
 */
const BURST = 2
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
  /** Tokens at the beginning. @default 2 */
  initialTokens?: number
  nowMs: number
}

export function createRateBucket ({ initialTokens = BURST, nowMs: startMs }: RateBucketOptions): RateBucket {
  let tokens = initialTokens
  let filledMs = startMs
  let promisedMs = startMs

  return {
    take: (requestsPerSecond, nowMs, reserve) => {
      const tokenMs = MS_PER_SECOND / requestsPerSecond
      tokens = Math.min(BURST, tokens + (nowMs - filledMs) / tokenMs)
      filledMs = nowMs
      const needed = Math.min(BURST, 1 + reserve)
      if (tokens >= needed) {
        tokens -= 1
        return { freeInMs: 0, retryInMs: 0 }
      }
      const freeInMs = Math.ceil((needed - tokens) * tokenMs)
      promisedMs = Math.min(nowMs + Math.max(MAX_PROMISE_MS, freeInMs), Math.max(nowMs + freeInMs, promisedMs + tokenMs))
      return { freeInMs, retryInMs: Math.round(promisedMs - nowMs) }
    }
  }
}
