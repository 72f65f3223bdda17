/** A rate a second, averaged over the last while: older amounts fade away exponentially. */

export interface DecayingRate {
  add (amount: number, nowMs: number): void
  /** Amount a second. */
  read (nowMs: number): number
  /** Forgets what was noted before. */
  reset (nowMs: number): void
}

const MS_PER_SECOND = 1000

export function createDecayingRate (averagedOverMs: number): DecayingRate {
  let average = 0
  let atMs = 0

  const decay = (now: number): void => {
    average *= Math.exp(-Math.max(0, now - atMs) / averagedOverMs)
    atMs = now
  }
  return {
    add: (amount, now) => {
      decay(now)
      average += amount / averagedOverMs * MS_PER_SECOND
    },
    read: now => {
      decay(now)
      return average
    },
    reset: now => {
      average = 0
      atMs = now
    }
  }
}
