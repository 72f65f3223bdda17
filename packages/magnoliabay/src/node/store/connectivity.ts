/** Whether the store answers, by all calls of this instance together. */
import type { Clock } from '../clock'
import type { Logger } from '../logger'

export interface StoreConnectivity {
  /** Undefined before the first call has ended. */
  isReachable (): boolean | undefined
  /** Monotonic milliseconds of the last answer to anything. */
  lastContactMs (): number
  /** Since when the store has answered every call, monotonic milliseconds; -Infinity from the start on, Infinity while it does not. */
  reachableSinceMs (): number
  /** The listener is called when the store is lost, when it answers again, and when it has gone back to an older copy. */
  onChanged (listener: () => void): void
  /** To be told how each call ended; `call` names it for the log. */
  recordCall (reached: boolean, call: string, reason: string): void
  /**
   * The store answers, from an older copy of itself: what it has lacks whatever was written since, until that is written
   * again. As after an outage, what waits for an answer is asked anew, and what is missing counts as not known yet.
   */
  recordRollback (): void
}

export interface ReachOptions {
  /** For the log. */
  address: string
  clock: Clock
  logger: Logger
}

export function createStoreConnectivity ({ address, clock, logger }: ReachOptions): StoreConnectivity {
  let lastContactMs = -Infinity
  let isReachable: boolean | undefined
  let steadySinceMs = Infinity
  const listeners: Array<() => void> = []

  return {
    onChanged: listener => { listeners.push(listener) },
    isReachable: () => isReachable,
    lastContactMs: () => lastContactMs,
    reachableSinceMs: () => steadySinceMs,
    recordCall: (reached, call, reason) => {
      if (reached) lastContactMs = clock.monotonic()
      if (reached === isReachable) return
      // The first contact of a process says nothing of the store having been away.
      const isFirst = isReachable === undefined
      isReachable = reached
      steadySinceMs = reached ? (isFirst ? -Infinity : clock.monotonic()) : Infinity
      logger.info(reached ? 'store-reached' : 'store-lost', { address, call, reason })
      listeners.forEach(listener => listener())
    },
    recordRollback: () => {
      if (isReachable !== false) steadySinceMs = clock.monotonic()
      listeners.forEach(listener => listener())
    }
  }
}
