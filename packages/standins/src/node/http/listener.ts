/**
 * An HTTP server on loopback whose connections can be refused, dropped or made silent while it runs.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void

export interface ListenerOptions {
  handler: RequestHandler
  /** @default '127.0.0.1' */
  host?: string
  /** 0 takes any free port. @default 0 */
  port?: number
}

export interface Listener {
  /** `ip:port`. Unchanged by `refuse` and `accept`. */
  readonly address: string
  /** Stops listening and drops every connection: callers see connection refused. */
  refuse (): Promise<void>
  /** Listens again on the same port. */
  accept (): Promise<void>
  /** Cuts every open connection; new ones work. */
  dropConnections (): void
  /** Stops all traffic on the open connections permanently without closing them; new ones work. */
  silenceConnections (): void
  close (): Promise<void>
}

const DEFAULT_HOST = '127.0.0.1'
const KEEP_ALIVE_TIMEOUT_MS = 60_000

/** Starts listening; resolves once the port is bound. */
export async function createListener (options: ListenerOptions): Promise<Listener> {
  const host = options.host ?? DEFAULT_HOST
  const sockets = new Set<Socket>()
  const silencedSockets = new WeakSet<Socket>()
  const originalDestroy = new WeakMap<Socket, Socket['destroy']>()

  const listen = (port: number): Promise<Server> => new Promise((resolve, reject) => {
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (req, res) => {
      if (!silencedSockets.has(req.socket)) options.handler(req, res)
    })
    server.on('connection', socket => {
      sockets.add(socket)
      socket.on('close', () => sockets.delete(socket))
      socket.on('error', () => socket.destroy())
    })
    server.once('error', reject)
    server.listen(port, host, () => resolve(server))
  })

  const dropConnections = (): void => sockets.forEach(socket => (originalDestroy.get(socket) ?? socket.destroy).call(socket))
  const closeServer = (closing: Server): Promise<void> => new Promise(resolve => {
    closing.close(() => resolve())
    dropConnections()
  })

  let server: Server | undefined = await listen(options.port ?? 0)
  const port = (server.address() as AddressInfo).port
  // State changes run one after the other, so that a refuse directly after an accept isn't lost.
  let lastChange: Promise<void> = Promise.resolve()
  const runInOrder = (change: () => Promise<void>): Promise<void> => {
    lastChange = lastChange.then(change)
    return lastChange
  }
  const stop = async (): Promise<void> => {
    if (server === undefined) return
    const closing = server
    server = undefined
    await closeServer(closing)
  }

  return {
    address: `${host}:${port}`,
    // As when a process ends: it stops to listen before its connections close, so that nobody connects after one has closed.
    refuse: () => {
      server?.close()
      dropConnections()
      return runInOrder(stop)
    },
    accept: () => runInOrder(async () => { server ??= await listen(port) }),
    dropConnections,
    silenceConnections: () => sockets.forEach(socket => {
      if (silencedSockets.has(socket)) return
      silencedSockets.add(socket)
      originalDestroy.set(socket, socket.destroy)
      muteSocket(socket)
    }),
    close: () => runInOrder(stop)
  }
}

/**
 * Discards all writes and ignores every close, so that the peer sees an open connection on which nothing arrives.
 * The server doesn't notice the peer's close either, as when a device between the two ends loses the connection's state.
 */
function muteSocket (socket: Socket): void {
  socket.write = () => true
  socket.end = () => socket
  socket.destroy = () => socket
  socket.destroySoon = () => {}
}
