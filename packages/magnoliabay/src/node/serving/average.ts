/** A quantity averaged over the last while, from nothing on: what it was before fades away exponentially. */

export interface Average {
  /** The quantity as it is now; returns its average. */
  note (value: number, nowMs: number): number
}

export function createAverage (averagedOverMs: number): Average {
  let average = 0
  let atMs: number | undefined
  return {
    note: (value, nowMs) => {
      const kept = atMs === undefined ? 1 : Math.exp(-Math.max(0, nowMs - atMs) / averagedOverMs)
      average = average * kept + value * (1 - kept)
      atMs = nowMs
      return average
    }
  }
}
