/** Binds listening sockets, and handles their errors from then on. */
import type { Server } from 'node:net'
import { reportFault } from '../background'
import { sleep } from '../clock'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { parseHostPort } from '../utils'

/** Another process may hold an address for a moment: one that ends, or a connection that was given the port. */
const ADDRESS_IN_USE_RETRY_MS = 250
const ADDRESS_IN_USE_TIMEOUT_MS = 10_000

function listenOnce (server: Server, address: string): Promise<void> {
  const { host, port } = parseHostPort(address)
  return new Promise((resolve, reject) => {
    const onListening = (): void => {
      server.removeListener('error', onError)
      resolve()
    }
    const onError = (err: Error): void => {
      server.removeListener('listening', onListening)
      reject(err)
    }
    server.once('error', onError)
    server.once('listening', onListening)
    server.listen(port, host)
  })
}

const isInUse = (err: unknown): boolean => (err as NodeJS.ErrnoException).code === 'EADDRINUSE'

/**
 * Listens on `ip:port`; waits up to ten seconds for an address that is in use, and rejects if it cannot be bound.
 *
 * An error of a socket that listens, such as a connection that cannot be accepted for want of descriptors, is reported: without a
 * listener the runtime would end the process, and the connections that are open with it.
 */
export async function listenOn (server: Server, address: string, clock: Clock, logger: Logger): Promise<void> {
  const startedMs = clock.monotonic()
  let isWaiting = false
  for (;;) {
    try {
      await listenOnce(server, address)
      server.on('error', err => reportFault('listening-socket', err))
      return
    } catch (err) {
      if (!isInUse(err) || clock.monotonic() - startedMs >= ADDRESS_IN_USE_TIMEOUT_MS) throw err
      if (!isWaiting) logger.warn('address-in-use', { address, waitMs: ADDRESS_IN_USE_TIMEOUT_MS })
      isWaiting = true
      await sleep(clock, ADDRESS_IN_USE_RETRY_MS)
    }
  }
}
