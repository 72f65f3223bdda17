/**
 * Fault switches that can be changed while a stand-in runs. `set` takes a partial object, as the admin interface does.
 */
export type FaultListener<T> = (current: T, changed: Partial<T>) => void | Promise<void>

export interface FaultSwitches<T extends object> {
  /** The faults that are active now. */
  readonly current: Readonly<T>
  /** Applies changes at once; sockets have been opened or closed by the time the promise resolves. */
  set (changes: Partial<T>): Promise<void>
  reset (): Promise<void>
  onChange (listener: FaultListener<T>): void
}

/** `refused`: connections are refused. `status`: every call is answered 503. */
export type DownMode = 'no' | 'refused' | 'status'

/** Creates switches that start at `defaults`; `reset` restores them. */
export function createFaultSwitches<T extends object> (defaults: T): FaultSwitches<T> {
  const current = { ...defaults }
  const listeners: Array<FaultListener<T>> = []
  const set = async (changes: Partial<T>): Promise<void> => {
    Object.assign(current, changes)
    await Promise.allSettled(listeners.map(listener => listener(current, changes)))
  }
  return {
    current,
    set,
    reset: () => set({ ...defaults }),
    onChange: listener => { listeners.push(listener) }
  }
}
