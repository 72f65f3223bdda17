/** Resets connections, so that the other end cannot take what it has received for complete. */
import type { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'

/** One with TLS is closed without the alert that ends a TLS connection, which tells the other end that it was cut. */
export function resetSocket (socket: Socket): void {
  if (socket.destroyed) return
  if (socket instanceof TLSSocket) socket.destroy()
  else socket.resetAndDestroy()
}
