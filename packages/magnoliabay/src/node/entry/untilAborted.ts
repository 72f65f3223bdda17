/**
 * Waits for a task no longer than until `signal` aborts; the task goes on. Rejects as the task does before that. For what other
 * instances are asked: that may take longer than a caller or a shutdown allows.
 */
export function untilAborted (signal: AbortSignal, task: Promise<unknown>): Promise<void> {
  return new Promise((resolve, reject) => {
    const end = (): void => {
      signal.removeEventListener('abort', end)
      resolve()
    }
    signal.addEventListener('abort', end, { once: true })
    task.then(end, (err: unknown) => {
      signal.removeEventListener('abort', end)
      reject(err)
    })
    if (signal.aborted) end()
  })
}
