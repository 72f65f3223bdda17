/** Distinguishes the two protocols that peers speak on one port by the first byte of a connection. */
import type { Socket } from 'node:net'
import type { Clock } from '../clock'

/** First bytes of `CONNECT` and `GET`. The length of a frame never begins with them: such a frame would exceed every limit. */
const TUNNEL_FIRST_BYTES: ReadonlySet<number> = new Set(['C', 'G'].map(letter => letter.charCodeAt(0)))
/** A peer sends its first byte as soon as it is connected. */
const FIRST_BYTE_TIMEOUT_MS = 3500

export type PeerProtocol = 'link' | 'tunnel'

/** Calls `onProtocol` once the first byte has arrived, which stays to be read; closes a connection on which none arrives. */
export function detectProtocol (socket: Socket, clock: Clock, onProtocol: (protocol: PeerProtocol) => void): void {
  const cancelTimeout = clock.schedule(FIRST_BYTE_TIMEOUT_MS, () => socket.destroy())
  const onError = (): void => { socket.destroy() }
  socket.once('close', cancelTimeout)
  socket.on('error', onError)
  socket.once('data', (chunk: Buffer) => {
    cancelTimeout()
    socket.pause()
    socket.unshift(chunk)
    onProtocol(TUNNEL_FIRST_BYTES.has(chunk[0]!) ? 'tunnel' : 'link')
    socket.removeListener('error', onError)
    process.nextTick(() => socket.resume())
  })
}
