/**
 * How many loads from the weight store may begin: bounded in rate over a window, and in number at once. How many run
 * at full speed is nowhere told; with more, each takes longer in proportion, so it is learned from how long they took.
 */

export interface WeightLoadLimiterOptions {
  /** Window in which loads are counted, milliseconds. */
  windowMs: number
  loadsPerSecond: () => number
}

export interface WeightLoadLimiter {
  /** Loads that may begin now. */
  left (nowMs: number): number
  /** An engine begins one, or may have begun it. */
  noteBegun (engine: string, nowMs: number): void
  /** The engine's load came to its end. */
  noteEnded (engine: string, tookMs: number, aloneMs: number): void
  /** Whether the engine is loading from the weight store. */
  isLoading (engine: string): boolean
  /** How much longer a load takes that begins now behind so many others, as a factor. */
  slowness (ahead: number): number
  /** Counts as if the window were half full, and all but one of those at once under way: an instance before this one may have begun loads. */
  assumeEarlier (nowMs: number): void
}

/** Loads at once to begin with, until the first ones tell. */
const FIRST_AT_ONCE = 3
/** A load whose end nobody told counts as under way for this long, milliseconds: several times what one takes alone. */
const MAX_UNDER_WAY_MS = 30_000
/** Loads that an instance before this one may have begun count for this long, milliseconds: about what one takes. */
const EARLIER_MS = 7000
/** A load that took this much longer than one alone shared the store's speed with others. */
const SHARED = 1.2

interface UnderWay {
  sinceMs: number
  /** Loads under way beside it at most, itself included. */
  beside: number
}

export function createWeightLoadLimiter ({ windowMs, loadsPerSecond }: WeightLoadLimiterOptions): WeightLoadLimiter {
  let begun: number[] = []
  const underWay = new Map<string, UnderWay>()
  let atOnce = FIRST_AT_ONCE
  /** So many at once have been seen to slow each other down. */
  let tooMany = Infinity

  const inWindow = (nowMs: number): number => begun.filter(atMs => nowMs - atMs < windowMs).length
  const expire = (nowMs: number): void => underWay.forEach(({ sinceMs }, engine) => { if (nowMs - sinceMs > MAX_UNDER_WAY_MS) underWay.delete(engine) })
  return {
    left: nowMs => {
      expire(nowMs)
      return Math.max(0, Math.min(Math.floor(loadsPerSecond() * windowMs / 1000) - inWindow(nowMs), atOnce - underWay.size))
    },
    noteBegun: (engine, nowMs) => {
      begun = [...begun.filter(atMs => nowMs - atMs < windowMs), nowMs]
      underWay.set(engine, { sinceMs: nowMs, beside: 1 })
      underWay.forEach(load => { load.beside = Math.max(load.beside, underWay.size) })
    },
    noteEnded: (engine, tookMs, aloneMs) => {
      const load = underWay.get(engine)
      if (load === undefined) return
      underWay.delete(engine)
      const factor = tookMs / aloneMs
      if (factor > SHARED && load.beside > 1) {
        tooMany = Math.min(tooMany, load.beside)
        atOnce = Math.max(1, Math.min(atOnce, Math.round(load.beside / factor)))
      } else if (load.beside >= atOnce && atOnce + 1 < tooMany) atOnce += 1
    },
    isLoading: engine => underWay.has(engine),
    slowness: ahead => Math.max(1, (underWay.size + ahead + 1) / atOnce),
    assumeEarlier: nowMs => {
      const half = Math.floor(loadsPerSecond() * windowMs / 2000)
      begun = Array.from({ length: half }, () => nowMs)
      underWay.clear()
      const untold = Math.min(half, atOnce - 1)
      Array.from({ length: untold }).forEach((_, index) => underWay.set(`earlier ${index}`, { sinceMs: nowMs - MAX_UNDER_WAY_MS + EARLIER_MS, beside: 1 }))
    }
  }
}
