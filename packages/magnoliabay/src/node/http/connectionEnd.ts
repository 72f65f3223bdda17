/** Watches the connection of a response that ends with it, until the response is over. */
import type { Socket } from 'node:net'

export interface ConnectionEnd {
  /** Whether the connection was closed, and not reset, when it ended. */
  wasClosed (): Promise<boolean>
  /** Stops watching. A listener that stayed would act on whatever the connection carries next. */
  stop (): void
}

/** An error of the operating system, such as ECONNRESET; a HTTP client that closes the connection itself causes others. */
function isSystemError (err: NodeJS.ErrnoException | null | undefined): boolean {
  return err?.errno !== undefined
}

/**
 * Returns whether a connection that ended was closed, and not reset. A reset that arrives together with the last bytes looks
 * like a regular end, since libuv reports a hang-up after a short read as one. A write distinguishes the two: it succeeds on
 * a closed connection and fails on a reset one. The write is an empty line, which a server that still reads has to ignore.
 */
function checkNotReset (socket: Socket): Promise<boolean> {
  return new Promise(resolve => socket.write('\r\n', err => resolve(!isSystemError(err))))
}

export function watchConnectionEnd (socket: Socket): ConnectionEnd {
  let closed: Promise<boolean> | undefined
  let hasFailed = false
  const onEnd = (): void => { closed = checkNotReset(socket) }
  const onError = (err: Error): void => { hasFailed ||= isSystemError(err) }
  // Before the HTTP client, which closes the connection at its end.
  socket.prependOnceListener('end', onEnd)
  socket.prependListener('error', onError)
  return {
    wasClosed: async () => !hasFailed && closed !== undefined && await closed && !hasFailed,
    stop: () => {
      socket.removeListener('end', onEnd)
      socket.removeListener('error', onError)
    }
  }
}
