/** An exponentially weighted rate per second. */

export interface DecayingRate {
  add (amount: number, nowMs: number): void
  /** Returns the rate per second. */
  read (nowMs: number): number
  /** Discards all amounts added so far. */
  reset (nowMs: number): void
}

const MS_PER_SECOND = 1000

export function createDecayingRate (timeConstantMs: number): DecayingRate {
  let average = 0
  let updatedMs = 0

  const decay = (now: number): void => {
    average *= Math.exp(-Math.max(0, now - updatedMs) / timeConstantMs)
    updatedMs = now
  }
  return {
    add: (amount, now) => {
      decay(now)
      average += amount / timeConstantMs * MS_PER_SECOND
    },
    read: now => {
      decay(now)
      return average
    },
    reset: now => {
      average = 0
      updatedMs = now
    }
  }
}
