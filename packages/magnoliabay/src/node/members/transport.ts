/** Transport of peer links: TCP, or TLS over TCP. */
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

export interface DialOptions {
  host: string
  port: number
  /** Milliseconds until the socket's `timeout` event. */
  timeout: number
}

export interface PeerTransport {
  dial (options: DialOptions): Socket
  createServer (onSocket: (socket: Socket) => void): Server
}

export const TCP_TRANSPORT: PeerTransport = { dial: connect, createServer: onSocket => createServer(onSocket) }
