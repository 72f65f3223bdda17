/**
 * Switches for faults, changed while a stand-in runs. `set` takes a partial object, as the admin interface does.
 */
export type FaultListener<T> = (now: T, changed: Partial<T>) => void | Promise<void>

export interface FaultSwitches<T extends object> {
  /** The faults in force now. */
  readonly current: Readonly<T>
  /** Takes hold at once, but for sockets that open or close; those have when the promise resolves. */
  set (changes: Partial<T>): Promise<void>
  reset (): Promise<void>
  onChange (listener: FaultListener<T>): void
}

/** `refused`: connections are refused. `status`: every call is answered 503. */
export type DownMode = 'no' | 'refused' | 'status'

/** Creates switches that start at `defaults`, which `reset` returns to. */
export function createFaultSwitches<T extends object> (defaults: T): FaultSwitches<T> {
  const now = { ...defaults }
  const listeners: Array<FaultListener<T>> = []
  const set = async (changes: Partial<T>): Promise<void> => {
    Object.assign(now, changes)
    await Promise.allSettled(listeners.map(listener => listener(now, changes)))
  }
  return {
    current: now,
    set,
    reset: () => set({ ...defaults }),
    onChange: listener => { listeners.push(listener) }
  }
}
