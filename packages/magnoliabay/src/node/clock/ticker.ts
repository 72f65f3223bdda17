/**
 * One timer for what several parts of a process do at the same pace: a timer of each of a process's links would wake it
 * once for each of them, hundreds of times a second over a fleet that has nothing to do. Tickers of all processes tick
 * together, so that what they send to each other arrives together as well.
 */
import { delayToNextWallClockPeriod } from '.'
import type { CancelTimer, Clock } from '.'

export interface Ticker {
  /** Calls `listener` at each tick until the returned function is called. */
  add (listener: () => void): () => void
}

/** Runs only while somebody listens. */
export function createTicker (clock: Clock, periodMs: number): Ticker {
  const listeners = new Set<() => void>()
  let cancel: CancelTimer | undefined
  const tick = (): void => {
    cancel = clock.schedule(delayToNextWallClockPeriod(clock, periodMs), tick)
    const current = [...listeners]
    current.forEach(listener => listener())
  }
  return {
    add: listener => {
      const own = (): void => listener()
      listeners.add(own)
      cancel ??= clock.schedule(delayToNextWallClockPeriod(clock, periodMs), tick)
      return () => {
        listeners.delete(own)
        if (listeners.size > 0) return
        cancel?.()
        cancel = undefined
      }
    }
  }
}
