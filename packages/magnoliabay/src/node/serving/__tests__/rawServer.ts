/** A backend server that writes raw bytes, for responses that no HTTP library would send. */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

export interface RawServer {
  address: string
  /** Requests as received, head and body. */
  received: string[]
  connections (): number
  /** Refuses new connections; open ones stay. */
  stopListening (): void
  close (): Promise<void>
}

/** Starts the server. `respond` is called with each request once its body is complete, and with the number of requests so far. */
export async function startRawServer (respond: (socket: Socket, request: string, count: number) => void): Promise<RawServer> {
  const received: string[] = []
  const sockets = new Set<Socket>()
  let connections = 0
  const server = createServer(socket => {
    connections += 1
    sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => sockets.delete(socket))
    let pending = ''
    socket.on('data', chunk => {
      pending += chunk.toString('latin1')
      const headEnd = pending.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const length = Number(/content-length: (\d+)/i.exec(pending)?.[1] ?? 0)
      if (pending.length < headEnd + 4 + length) return
      const request = pending.slice(0, headEnd + 4 + length)
      pending = pending.slice(request.length)
      received.push(request)
      respond(socket, request, received.length)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    received,
    connections: () => connections,
    stopListening: () => { server.close() },
    close: async () => {
      sockets.forEach(socket => socket.destroy())
      await new Promise(resolve => server.close(() => resolve(undefined)))
    }
  }
}
