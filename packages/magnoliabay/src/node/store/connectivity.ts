/** Tracks whether the store responds, from the outcomes of all store calls of this instance. */
import type { Clock } from '../clock'
import type { Logger } from '../logger'

export interface StoreConnectivity {
  /** Whether the last call got a response; undefined before the first call has ended. */
  isReachable (): boolean | undefined
  /** Time of the last response to any call, in monotonic milliseconds. */
  lastContactMs (): number
  /**
   * Time since which the store has responded to every call, in monotonic milliseconds. -Infinity if it has done so
   * since the process started, Infinity while it does not respond.
   */
  reachableSinceMs (): number
  /** Adds a listener for these changes: the store is lost, it responds again, or it has been restored from an older copy. */
  onChanged (listener: () => void): void
  /** Records how a call ended; `call` names it in the log. */
  recordCall (reached: boolean, call: string, reason: string): void
  /**
   * Records that the store was restored from an older copy. It lacks what was written after that copy, until it is
   * written again. As after an outage, calls that wait for a response are sent again, and an entry that is missing
   * counts as unknown, not as deleted.
   */
  recordRollback (): void
}

export interface StoreConnectivityOptions {
  /** For the log. */
  address: string
  clock: Clock
  logger: Logger
}

export function createStoreConnectivity ({ address, clock, logger }: StoreConnectivityOptions): StoreConnectivity {
  let lastContactMs = -Infinity
  let isReachable: boolean | undefined
  let reachableSinceMs = Infinity
  const listeners: Array<() => void> = []

  return {
    onChanged: listener => { listeners.push(listener) },
    isReachable: () => isReachable,
    lastContactMs: () => lastContactMs,
    reachableSinceMs: () => reachableSinceMs,
    recordCall: (reached, call, reason) => {
      if (reached) lastContactMs = clock.monotonic()
      if (reached === isReachable) return
      // The first contact of a process doesn't mean that the store was unreachable before.
      const isFirst = isReachable === undefined
      isReachable = reached
      reachableSinceMs = reached ? (isFirst ? -Infinity : clock.monotonic()) : Infinity
      logger.info(reached ? 'store-reached' : 'store-lost', { address, call, reason })
      listeners.forEach(listener => listener())
    },
    recordRollback: () => {
      if (isReachable !== false) reachableSinceMs = clock.monotonic()
      listeners.forEach(listener => listener())
    }
  }
}
