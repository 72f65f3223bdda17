/** A simulated process: while it is paused, its timers and the answers to its calls are deferred. */
import type { EngineClient } from '../../../backend/engineClient'
import type { Clock } from '../../../clock'
import type { Store } from '../../../store'

export interface Pausable {
  readonly clock: Clock
  store (store: Store): Store
  engines (engines: EngineClient): EngineClient
  pause (): void
  resume (): void
  /** Ends the process permanently: drops its timers and answers. */
  stop (): void
}

export function createPausable (clock: Clock): Pausable {
  let isPaused = false
  let isStopped = false
  let deferred: Array<() => void> = []
  const runOrDefer = (callback: () => void): void => {
    if (isStopped) return
    if (isPaused) deferred.push(callback)
    else callback()
  }
  const deferResult = <T>(promise: Promise<T>): Promise<T> => promise.then(value => new Promise<T>(resolve => runOrDefer(() => resolve(value))))
  /** Makes no call, and never settles, after the process has ended. */
  const call = <Args extends unknown[], T>(target: (...args: Args) => Promise<T>) => (...args: Args): Promise<T> =>
    isStopped ? new Promise<T>(() => {}) : deferResult(target(...args))
  return {
    clock: {
      now: clock.now,
      monotonic: clock.monotonic,
      schedule: (delayMs, callback) => {
        let isCancelled = false
        const cancel = clock.schedule(delayMs, () => runOrDefer(() => { if (!isCancelled) callback() }))
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
        onEvent: event => runOrDefer(() => handlers.onEvent(event)),
        onSnapshot: snapshot => runOrDefer(() => handlers.onSnapshot(snapshot))
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
      const callbacks = deferred
      deferred = []
      callbacks.forEach(runOrDefer)
    },
    stop: () => { isStopped = true }
  }
}
