/** A token bucket whose rate and burst may change while it is in use. */

export interface Bucket {
  /** Takes `amount` if it is there; else returns the milliseconds until it may be, 0 when taken. */
  take (amount: number, nowMs: number): number
  /** Puts back what was taken and not used. */
  giveBack (amount: number, nowMs: number): void
  resize (rate: number, burst: number, nowMs: number): void
  level (nowMs: number): number
}

const MS_PER_SECOND = 1000

export function createBucket (rate: number, burst: number, startLevel: number, startMs: number): Bucket {
  let level = Math.min(startLevel, burst)
  let atMs = startMs

  const refill = (nowMs: number): void => {
    level = Math.min(burst, level + rate * Math.max(0, nowMs - atMs) / MS_PER_SECOND)
    atMs = nowMs
  }
  return {
    take: (amount, nowMs) => {
      refill(nowMs)
      // What is larger than the whole burst could never be taken: it drains the bucket and is owed.
      const needed = Math.min(amount, burst)
      if (level < needed) return Math.max(1, (needed - level) / rate * MS_PER_SECOND)
      level -= amount
      return 0
    },
    giveBack: (amount, nowMs) => {
      refill(nowMs)
      level = Math.min(burst, level + amount)
    },
    resize: (nextRate, nextBurst, nowMs) => {
      refill(nowMs)
      rate = nextRate
      burst = nextBurst
      level = Math.min(level, burst)
    },
    level: nowMs => {
      refill(nowMs)
      return level
    }
  }
}
