/**
 * Learns the usual demand of one part of an allowance: the units that it asks for in a window, averaged over a minute.
 * A burst of some seconds at many times the usual demand may change the average only a little, since the guarantees of
 * all parts follow from it. So each sample counts up to one and a half times the average, plus some requests: a part
 * with few requests varies by more than its average.
 */
import { createSlidingWindowCounter } from './slidingWindowCounter'

/** Averaging time of the usual demand, in milliseconds. */
const USUAL_DEMAND_MS = 60_000
/** Interval of the samples, in milliseconds. */
export const SAMPLE_INTERVAL_MS = 1000
/** Weight of one sample in the average. */
export const SAMPLE_WEIGHT = SAMPLE_INTERVAL_MS / USUAL_DEMAND_MS
/** Largest sample, as a multiple of the average, plus a number of requests of the usual size. */
const MAX_SAMPLE_RATIO = 1.5
const MAX_SAMPLE_REQUESTS = 4
/** Weight of the latest request in the usual size of a request. */
const SIZE_WEIGHT = 0.05
/** A part is silent after this many times its usual time between two requests without one, and after a window at least. */
const SILENT_GAPS = 3
/** Usual number of requests in a window below which no request is expected after a window without one. */
const MIN_EXPECTED_REQUESTS = 0.1
/** Usual number of requests in a window below which a part is forgotten after a window without one. */
const MIN_USUAL_REQUESTS = 0.01

export interface PartDemand {
  recordAsked (units: number, nowMs: number): void
  /**
   * Adds a sample to the average. `learnedWeight` is the weight of all samples so far, this one included: below 1 while
   * they are few. All samples count in full if `isUncapped`, since there is no average to compare them with yet.
   */
  addSample (nowMs: number, learnedWeight: number, isUncapped: boolean): void
  /** Returns the units asked for in the last window. */
  asked (nowMs: number): number
  /** Returns the units that are usually asked for in a window; 0 before the first sample. */
  usual (): number
  /** Returns the units of a request of the usual size. */
  requestSize (): number
  /** Whether no request came for so long that none is expected soon. */
  isSilent (nowMs: number): boolean
  /** Whether the average has decayed to about nothing since the last request. */
  isForgotten (nowMs: number): boolean
}

export function createPartDemand (windowMs: number): PartDemand {
  const asked = createSlidingWindowCounter(windowMs)
  let weightedSum = 0
  let usual = 0
  let requestSize = 0
  let lastAskedMs = -Infinity

  const isSilent = (nowMs: number): boolean => {
    const silentMs = nowMs - lastAskedMs
    if (silentMs <= windowMs) return false
    return usual <= MIN_EXPECTED_REQUESTS * requestSize || silentMs > SILENT_GAPS * windowMs * requestSize / usual
  }
  return {
    recordAsked: (units, nowMs) => {
      asked.record(units, nowMs)
      requestSize += (units - requestSize) * (lastAskedMs === -Infinity ? 1 : SIZE_WEIGHT)
      lastAskedMs = nowMs
    },
    addSample: (nowMs, learnedWeight, isUncapped) => {
      const cap = isUncapped ? Infinity : MAX_SAMPLE_RATIO * usual + MAX_SAMPLE_REQUESTS * requestSize
      weightedSum += (Math.min(asked.spent(nowMs), cap) - weightedSum) * SAMPLE_WEIGHT
      usual = weightedSum / learnedWeight
    },
    asked: nowMs => asked.spent(nowMs),
    usual: () => usual,
    requestSize: () => requestSize,
    isSilent,
    isForgotten: nowMs => nowMs - lastAskedMs > windowMs && usual < MIN_USUAL_REQUESTS * requestSize
  }
}
