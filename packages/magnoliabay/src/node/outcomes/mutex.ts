/** A mutex with first-in, first-out order. */

export interface Mutex {
  /** Resolves when the mutex is free, or when `signal` aborts; the result releases it and must be called in either case. */
  acquire (signal: AbortSignal): Promise<() => void>
}

export function createMutex (): Mutex {
  let lastReleased: Promise<void> = Promise.resolve()
  return {
    acquire: async signal => {
      const previous = lastReleased
      let release = (): void => {}
      const released = new Promise<void>(resolve => { release = resolve })
      lastReleased = previous.then(() => released)
      await Promise.race([previous, aborted(signal)])
      return release
    }
  }
}

function aborted (signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) return resolve()
    signal.addEventListener('abort', () => resolve(), { once: true })
  })
}
