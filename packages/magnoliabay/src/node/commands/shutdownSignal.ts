/**
 * Resolves when the process is asked to end. It goes on listening: whoever stops processes often asks twice,
 * and by default the second signal would end the process in the middle of its shutdown, cutting requests.
 */
export function untilSignal (): Promise<void> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve())
    process.on('SIGINT', () => resolve())
  })
}
