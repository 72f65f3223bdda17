/** Resolves when the process is asked to end. */
export function untilSignal (): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve())
    process.once('SIGINT', () => resolve())
  })
}
