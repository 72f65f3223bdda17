/**
 * Limits loads from the weight store, in rate over a window and in concurrency. The number of loads that the store runs
 * at full speed is not published; beyond it each load takes proportionally longer, so it is learned from durations.
 */

export interface WeightLoadLimiterOptions {
  /** Window in which loads are counted, milliseconds. */
  windowMs: number
  loadsPerSecond: () => number
}

export interface WeightLoadLimiter {
  /** Returns how many loads may begin now. */
  remaining (nowMs: number): number
  /** Records that an engine begins a load, or may have begun one. */
  recordStart (engine: string, nowMs: number): void
  /** Records the end of the engine's load. `uncontendedMs`: its expected duration without other loads. */
  recordEnd (engine: string, tookMs: number, aloneMs: number): void
  /** Whether the engine is loading from the weight store. */
  isLoading (engine: string): boolean
  /** Returns the factor by which a load takes longer that begins behind the running loads and `loadsAhead` others. */
  slowdownFactor (ahead: number): number
  /**
   * Counts the window as half used and all but one of the concurrent loads as running: a previous leader may have begun
   * loads.
   */
  assumeEarlierLoads (nowMs: number): void
}

/** Concurrent loads allowed until the first ones have ended. */
const INITIAL_CONCURRENCY = 3
/**
 * Time for which a load whose end was not reported counts as running, milliseconds: several times its uncontended
 * duration.
 */
const MAX_LOAD_MS = 30_000
/**
 * Time for which loads that a previous leader may have begun count as running, milliseconds: about the duration of one.
 */
const ASSUMED_LOAD_MS = 7000
/** Ratio to the uncontended duration above which a load was slowed down by others. */
const CONTENTION_RATIO = 1.2

/** A rate that is not limited, or not known, would else make a list without end. */
const MAX_ASSUMED_STARTS = 1000

interface RunningLoad {
  sinceMs: number
  /** Highest number of loads that ran at the same time, including this one. */
  maxConcurrent: number
}

export function createWeightLoadLimiter ({ windowMs, loadsPerSecond }: WeightLoadLimiterOptions): WeightLoadLimiter {
  let startTimesMs: number[] = []
  const runningLoads = new Map<string, RunningLoad>()
  let concurrency = INITIAL_CONCURRENCY
  /** Lowest concurrency at which loads slowed each other down. */
  let contendedConcurrency = Infinity

  const startsInWindow = (nowMs: number): number => startTimesMs.filter(atMs => nowMs - atMs < windowMs).length
  const expire = (nowMs: number): void => runningLoads.forEach(({ sinceMs }, engine) => { if (nowMs - sinceMs > MAX_LOAD_MS) runningLoads.delete(engine) })
  return {
    remaining: nowMs => {
      expire(nowMs)
      return Math.max(0, Math.min(Math.floor(loadsPerSecond() * windowMs / 1000) - startsInWindow(nowMs), concurrency - runningLoads.size))
    },
    recordStart: (engine, nowMs) => {
      startTimesMs = [...startTimesMs.filter(atMs => nowMs - atMs < windowMs), nowMs]
      runningLoads.set(engine, { sinceMs: nowMs, maxConcurrent: 1 })
      runningLoads.forEach(load => { load.maxConcurrent = Math.max(load.maxConcurrent, runningLoads.size) })
    },
    recordEnd: (engine, tookMs, uncontendedMs) => {
      const load = runningLoads.get(engine)
      if (load === undefined) return
      runningLoads.delete(engine)
      const slowdown = tookMs / uncontendedMs
      if (slowdown > CONTENTION_RATIO && load.maxConcurrent > 1) {
        contendedConcurrency = Math.min(contendedConcurrency, load.maxConcurrent)
        concurrency = Math.max(1, Math.min(concurrency, Math.round(load.maxConcurrent / slowdown)))
      } else if (load.maxConcurrent >= concurrency && concurrency + 1 < contendedConcurrency) concurrency += 1
    },
    isLoading: engine => runningLoads.has(engine),
    slowdownFactor: loadsAhead => Math.max(1, (runningLoads.size + loadsAhead + 1) / concurrency),
    assumeEarlierLoads: nowMs => {
      const assumedStarts = Math.min(MAX_ASSUMED_STARTS, Math.floor(loadsPerSecond() * windowMs / 2000))
      startTimesMs = Array.from({ length: assumedStarts }, () => nowMs)
      runningLoads.clear()
      // A process that has just started begins one load at once: two would add up where it restarts several times in a window.
      const assumedRunning = assumedStarts === 0 ? 0 : Math.min(Math.max(assumedStarts, INITIAL_CONCURRENCY - 1), concurrency - 1)
      Array.from({ length: assumedRunning }).forEach((_, index) => runningLoads.set(`earlier ${index}`, { sinceMs: nowMs - MAX_LOAD_MS + ASSUMED_LOAD_MS, maxConcurrent: 1 }))
    }
  }
}
