/**
 * Measures the engine's load for the load report, which lags behind the actual load.
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
  /** Returns the sample that was current `lagMs` ago. */
  laggedSample (): LoadSample
}

const RATE_WINDOW_MS = 1000
const MS_PER_SECOND = 1000

export function createLoadMeter (clock: Clock, lagMs: number): LoadMeter {
  let samples: LoadSample[] = [{ atMs: clock.now(), running: 0, waiting: 0, tokensPerSecond: 0 }]
  let windowStartMs = clock.now()
  let windowTokens = 0
  let tokensPerSecond = 0

  const rollWindow = (): void => {
    const elapsedMs = clock.now() - windowStartMs
    if (elapsedMs < RATE_WINDOW_MS) return
    tokensPerSecond = Math.round(windowTokens * MS_PER_SECOND / elapsedMs)
    windowStartMs = clock.now()
    windowTokens = 0
  }

  const trim = (): void => {
    const visibleUntilMs = clock.now() - lagMs
    const newestVisibleIndex = samples.findLastIndex(sample => sample.atMs <= visibleUntilMs)
    if (newestVisibleIndex > 0) samples = samples.slice(newestVisibleIndex)
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
    laggedSample: () => {
      rollWindow()
      trim()
      const [oldest = { atMs: 0, running: 0, waiting: 0, tokensPerSecond: 0 }] = samples
      return { ...oldest, atMs: clock.now() - lagMs, tokensPerSecond }
    }
  }
}
