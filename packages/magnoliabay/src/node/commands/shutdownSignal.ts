/**
 * Resolves on SIGTERM or SIGINT. The listeners stay: process managers often send a second signal, which by default would
 * end the process in the middle of its shutdown and cut requests.
 */
export function waitForShutdownSignal (): Promise<void> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve())
    process.on('SIGINT', () => resolve())
  })
}
