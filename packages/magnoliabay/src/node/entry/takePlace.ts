/** Takes places at backend servers for requests that may be aborted meanwhile. */
import type { BackendStatements, Place } from '../backend/backendStatements'

/** The result of a wait that the abort of its request ended. */
export const ABORTED = Symbol('aborted')

/**
 * Waits for a place no longer than until `signal` aborts; one that is granted later is released. Another instance grants the
 * places of some servers, and may take longer than a caller or a shutdown allows.
 */
export function takePlace (statements: Pick<BackendStatements, 'takePlace'>, address: string, signal: AbortSignal): Promise<Place | undefined | typeof ABORTED> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => resolve(ABORTED)
    signal.addEventListener('abort', onAbort, { once: true })
    statements.takePlace(address).then(place => {
      signal.removeEventListener('abort', onAbort)
      if (signal.aborted) place?.release(false)
      resolve(signal.aborted ? ABORTED : place)
    }, reject)
    if (signal.aborted) onAbort()
  })
}
