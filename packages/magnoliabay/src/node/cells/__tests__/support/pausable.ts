/** A process whose every timer and every answer waits while it is paused. */
import type { EngineClient } from '../../../backend/engineClient'
import type { Clock } from '../../../clock'
import type { Store } from '../../../store'

export interface Pausable {
  readonly clock: Clock
  store (store: Store): Store
  engines (engines: EngineClient): EngineClient
  pause (): void
  resume (): void
  /** Nothing runs any more, ever. */
  stop (): void
}

export function createPausable (clock: Clock): Pausable {
  let isPaused = false
  let isStopped = false
  let due: Array<() => void> = []
  const enter = (callback: () => void): void => {
    if (isStopped) return
    if (isPaused) due.push(callback)
    else callback()
  }
  const gate = <T>(promise: Promise<T>): Promise<T> => promise.then(value => new Promise<T>(resolve => enter(() => resolve(value))))
  /** A call of a process that has ended is never made. */
  const call = <Args extends unknown[], T>(target: (...args: Args) => Promise<T>) => (...args: Args): Promise<T> =>
    isStopped ? new Promise<T>(() => {}) : gate(target(...args))
  return {
    clock: {
      now: clock.now,
      monotonic: clock.monotonic,
      schedule: (delayMs, callback) => {
        let isCancelled = false
        const cancel = clock.schedule(delayMs, () => enter(() => { if (!isCancelled) callback() }))
        return () => {
          isCancelled = true
          cancel()
        }
      }
    },
    store: store => ({
      get: call(store.get),
      range: call(store.range),
      transact: call(store.transact),
      grantLease: call(store.grantLease),
      renewLease: call(store.renewLease),
      revokeLease: call(store.revokeLease),
      watch: (prefix, handlers, signal) => store.watch(prefix, {
        onEvent: event => enter(() => handlers.onEvent(event)),
        onSnapshot: snapshot => enter(() => handlers.onSnapshot(snapshot))
      }, signal)
    }),
    engines: engines => ({
      order: call(engines.order),
      state: call(engines.state),
      loadReport: call(engines.loadReport),
      cacheEvents: call(engines.cacheEvents),
      cancel: call(engines.cancel),
      close: call(engines.close)
    }),
    pause: () => { isPaused = true },
    resume: () => {
      isPaused = false
      const missed = due
      due = []
      missed.forEach(enter)
    },
    stop: () => { isStopped = true }
  }
}
