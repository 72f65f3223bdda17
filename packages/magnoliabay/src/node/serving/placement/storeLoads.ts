/** How many loads from the weight store may begin: bounded in rate over a window, and in number at once. */

export interface StoreLoadsOptions {
  /** Window in which loads are counted, milliseconds. */
  windowMs: number
  loadsPerSecond: () => number
}

export interface StoreLoads {
  /** Loads that may begin now. */
  left (nowMs: number): number
  noteBegun (nowMs: number): void
  /** Counts as if the window were half full: an instance before this one may have begun loads. */
  assumeEarlier (nowMs: number): void
}

/** Loads run at full speed only while few do; more of them make each one later. */
const AT_ONCE = 3
/** How long a load from the store counts as under way, milliseconds: a little over what one takes alone. */
const UNDER_WAY_MS = 7000

export function createStoreLoads ({ windowMs, loadsPerSecond }: StoreLoadsOptions): StoreLoads {
  let begun: number[] = []
  const within = (spanMs: number, nowMs: number): number => begun.filter(atMs => nowMs - atMs < spanMs).length
  return {
    left: nowMs => {
      const inWindow = Math.floor(loadsPerSecond() * windowMs / 1000) - within(windowMs, nowMs)
      return Math.max(0, Math.min(inWindow, AT_ONCE - within(UNDER_WAY_MS, nowMs)))
    },
    noteBegun: nowMs => { begun = [...begun.filter(atMs => nowMs - atMs < Math.max(windowMs, UNDER_WAY_MS)), nowMs] },
    assumeEarlier: nowMs => {
      const half = Math.floor(loadsPerSecond() * windowMs / 2000)
      begun = Array.from({ length: half }, () => nowMs)
    }
  }
}
