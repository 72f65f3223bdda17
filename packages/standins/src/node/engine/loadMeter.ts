/**
 * The load report, which tells what was true some time ago.
 */
import type { Clock } from 'magnoliabay/clock/index'

export interface LoadSample {
  atMs: number
  running: number
  waiting: number
  tokensPerSecond: number
}

export interface LoadMeter {
  sample (running: number, waiting: number): void
  countToken (): void
  /** What was true `lagMs` ago. */
  lagged (): LoadSample
}

const RATE_WINDOW_MS = 1000
const MS_PER_SECOND = 1000

export function createLoadMeter (clock: Clock, lagMs: number): LoadMeter {
  let samples: LoadSample[] = [{ atMs: clock.now(), running: 0, waiting: 0, tokensPerSecond: 0 }]
  let windowStartMs = clock.now()
  let windowTokens = 0
  let tokensPerSecond = 0

  const rollWindow = (): void => {
    const passedMs = clock.now() - windowStartMs
    if (passedMs < RATE_WINDOW_MS) return
    tokensPerSecond = Math.round(windowTokens * MS_PER_SECOND / passedMs)
    windowStartMs = clock.now()
    windowTokens = 0
  }

  const trim = (): void => {
    const seenMs = clock.now() - lagMs
    const current = samples.findLastIndex(sample => sample.atMs <= seenMs)
    if (current > 0) samples = samples.slice(current)
  }

  return {
    sample: (running, waiting) => {
      rollWindow()
      samples.push({ atMs: clock.now(), running, waiting, tokensPerSecond })
      trim()
    },
    countToken: () => {
      rollWindow()
      windowTokens += 1
    },
    lagged: () => {
      rollWindow()
      trim()
      const [first = { atMs: 0, running: 0, waiting: 0, tokensPerSecond: 0 }] = samples
      return { ...first, atMs: clock.now() - lagMs, tokensPerSecond }
    }
  }
}
