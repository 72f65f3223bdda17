/** Measures the time to the first event of a stream and the gaps between its events, for the speed of its engine. */
import type { Clock } from '../../clock'
import type { EngineSpeeds } from './engineSpeeds'

export interface StreamTimer {
  /** Records that events have arrived. */
  recordEvents (): void
  /** Records the end of the stream. */
  recordEnd (): void
}

export interface StreamTimerOptions {
  speeds: EngineSpeeds
  clock: Clock
  server: string
  model: string
  /** Tokens of the prompt. */
  promptTokens: number
  /** Requests at the server for each slot. */
  fill: () => number
}

export function startStreamTimer ({ speeds, clock, server, model, promptTokens, fill }: StreamTimerOptions): StreamTimer {
  const startedMs = clock.monotonic()
  const hadToQueue = fill() > 1
  let firstMs: number | undefined
  let lastMs = startedMs
  let longestGapMs = 0

  return {
    recordEvents: () => {
      const now = clock.monotonic()
      const gapMs = now - lastMs
      lastMs = now
      if (firstMs === undefined) {
        firstMs = now
        if (!hadToQueue) speeds.recordFirstEvent(server, gapMs, promptTokens)
        return
      }
      longestGapMs = Math.max(longestGapMs, gapMs)
      speeds.recordGap(server, model, gapMs, fill())
    },
    recordEnd: () => {
      if (firstMs === undefined || longestGapMs === 0) return
      speeds.recordRun(server, model, clock.monotonic() - firstMs, longestGapMs, fill())
    }
  }
}
