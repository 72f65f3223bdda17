/** A link to a server on loopback that can be cut: what is sent meanwhile arrives when it heals, or is lost with its connection. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

export interface LoopbackProxy {
  /** `ip:port` at which the server is reached over the link. */
  readonly address: string
  /** Nothing passes any more, in either direction. */
  cut (): void
  /** Passes on what was sent meanwhile. */
  heal (): void
  /** Resets all connections. */
  reset (): void
  close (): void
}

const HOST = '127.0.0.1'

export async function createLoopbackProxy (target: string): Promise<LoopbackProxy> {
  const [host, port] = target.split(':')
  const sockets = new Set<Socket>()
  let isCut = false

  const passOn = (from: Socket, to: Socket): void => {
    sockets.add(from)
    from.on('data', chunk => { if (!to.write(chunk)) from.pause() })
    to.on('drain', () => { if (!isCut) from.resume() })
    from.on('end', () => to.end())
    from.on('error', () => to.resetAndDestroy())
    from.on('close', () => sockets.delete(from))
    if (isCut) from.pause()
  }
  const server = createServer({ allowHalfOpen: true }, downstream => {
    const upstream = connect({ host: host!, port: Number(port), allowHalfOpen: true })
    passOn(downstream, upstream)
    passOn(upstream, downstream)
  })
  await new Promise<void>(resolve => server.listen(0, HOST, resolve))
  const reset = (): void => sockets.forEach(socket => socket.resetAndDestroy())
  return {
    address: `${HOST}:${(server.address() as AddressInfo).port}`,
    cut: () => {
      isCut = true
      sockets.forEach(socket => socket.pause())
    },
    heal: () => {
      isCut = false
      sockets.forEach(socket => socket.resume())
    },
    reset,
    close: () => {
      server.close()
      reset()
    }
  }
}
