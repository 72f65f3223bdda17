/** A lane that one at a time may use, in order of arrival. */

export interface Lane {
  /** Resolves when the lane is free, or when `signal` aborts; call what it resolves to on leaving. */
  enter (signal: AbortSignal): Promise<() => void>
}

export function createLane (): Lane {
  let tail: Promise<void> = Promise.resolve()
  return {
    enter: async signal => {
      const before = tail
      let leave = (): void => {}
      const left = new Promise<void>(resolve => { leave = resolve })
      tail = before.then(() => left)
      await Promise.race([before, aborted(signal)])
      return leave
    }
  }
}

function aborted (signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) return resolve()
    signal.addEventListener('abort', () => resolve(), { once: true })
  })
}
