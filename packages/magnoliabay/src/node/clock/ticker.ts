/**
 * One timer shared by the parts of a process that act at the same interval. With one timer for each link, every link
 * would wake the process separately, which makes hundreds of wake-ups a second over an idle fleet. The tickers of all
 * processes fire at the same moments, so that the messages that they send to each other arrive together as well.
 */
import { runGuarded } from '../background'
import { delayToNextWallClockPeriod } from '.'
import type { CancelTimer, Clock } from '.'

export interface Ticker {
  /** Calls `listener` at each tick until the returned function is called. */
  add (listener: () => void): () => void
}

/** The timer runs only while there are listeners. */
export function createTicker (clock: Clock, periodMs: number): Ticker {
  const listeners = new Set<() => void>()
  let cancel: CancelTimer | undefined
  const tick = (): void => {
    cancel = clock.schedule(delayToNextWallClockPeriod(clock, periodMs), tick)
    const current = [...listeners]
    // One that fails must not keep the others from being called.
    current.forEach(listener => runGuarded('ticker', listener))
  }
  return {
    add: listener => {
      const registered = (): void => listener()
      listeners.add(registered)
      cancel ??= clock.schedule(delayToNextWallClockPeriod(clock, periodMs), tick)
      return () => {
        listeners.delete(registered)
        if (listeners.size > 0) return
        cancel?.()
        cancel = undefined
      }
    }
  }
}
