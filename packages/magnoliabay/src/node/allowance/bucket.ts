/** A token bucket under a clock that the caller reads. Starts empty. */

export interface Bucket {
  /** Tokens there at `nowMs`. */
  level (nowMs: number): number
  /** Takes `tokens` if they are there. */
  take (tokens: number, nowMs: number): boolean
  /** Puts unused tokens back, up to the burst. */
  give (tokens: number, nowMs: number): void
  /** Milliseconds until `tokens` will be there, or Infinity when the burst is less. */
  waitFor (tokens: number, nowMs: number): number
  /** Changes rate and burst; the level is kept, cut to the new burst. */
  resize (size: BucketSize, nowMs: number): void
}

export interface BucketSize {
  /** Tokens a second. */
  rate: number
  /** Most tokens at once. */
  burst: number
}

const MS_PER_SECOND = 1000

export function createBucket (initial: BucketSize, nowMs: number): Bucket {
  let size = initial
  let tokens = 0
  let filledAtMs = nowMs

  const fill = (now: number): void => {
    const elapsedMs = Math.max(0, now - filledAtMs)
    tokens = Math.min(size.burst, tokens + size.rate * elapsedMs / MS_PER_SECOND)
    filledAtMs = now
  }
  return {
    level: now => {
      fill(now)
      return tokens
    },
    take: (wanted, now) => {
      fill(now)
      if (wanted > tokens) return false
      tokens -= wanted
      return true
    },
    give: (unused, now) => {
      fill(now)
      tokens = Math.min(size.burst, tokens + unused)
    },
    waitFor: (wanted, now) => {
      fill(now)
      if (wanted > size.burst) return Infinity
      return Math.max(0, wanted - tokens) / size.rate * MS_PER_SECOND
    },
    resize: (next, now) => {
      fill(now)
      size = next
      tokens = Math.min(tokens, size.burst)
    }
  }
}
