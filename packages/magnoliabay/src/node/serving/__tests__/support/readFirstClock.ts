/** A clock for tests in which a caller and the entry share an event loop, which other processes may delay. */
import { createSystemClock } from '../../../clock'
import type { CancelTimer, Clock } from '../../../clock'

/** Turns of the event loop in which what is on its way is written and read. */
const TURNS = 10

function afterTurns (turns: number, callback: () => void): void {
  if (turns === 0) return callback()
  setImmediate(() => afterTurns(turns - 1, callback))
}

/**
 * Runs the callbacks of its timers after some further turns of the event loop. In a loop that was delayed past a timer, the timer
 * is due before the caller has read what arrived meanwhile; callers in processes of their own have read it by then.
 */
export function createReadFirstClock (): Clock {
  const clock = createSystemClock()
  return {
    ...clock,
    schedule: (delayMs, callback) => {
      let isCancelled = false
      const cancel: CancelTimer = clock.schedule(delayMs, () => afterTurns(TURNS, () => { if (!isCancelled) callback() }))
      return () => {
        isCancelled = true
        cancel()
      }
    }
  }
}
