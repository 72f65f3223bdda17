/**
 * Forwards connections of other instances to backend servers that they do not reach themselves. Bytes pass unchanged in
 * both directions, with the back-pressure of the two sockets; an end, or a reset, of one side ends the other in the same way.
 * Connections are made directly, never through a third instance, so that there are no loops.
 */
import { inBackground } from '../background'
import { createServer } from 'node:http'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '../clock'
import type { MemberRecord } from '../members'
import { INCARNATION_HEADER, isFromMember } from './memberCheck'
import { resetSocket } from '../http/resetSocket'
import { STATUS_BY_FAILURE } from './openTunnel'
import { TUNNEL_HEADER, createTunnelEnds } from './tunnelEnds'
import { DialError, toDialError } from './types'

/** Bounds sockets and memory: two sockets, and the buffers of both, for each. */
const MAX_TUNNELS = 512
const FORBIDDEN_STATUS = 403
const OK_STATUS = 200
const NOT_FOUND_STATUS = 404
const CONNECTED = 'HTTP/1.1 200 Connection established\r\n\r\n'

export interface ForwardingServer {
  /** Takes over a connection of another instance that begins with an HTTP request. */
  accept (socket: Socket): void
  /** Resolves when no tunnel is open any more, or after `drainMs`. */
  drain (drainMs: number): Promise<void>
  close (): void
}

export interface ForwardingServerOptions {
  /** Opens a direct connection to a server; rejects with a {@link DialError}. */
  dialForPeer: (address: string) => Promise<Socket>
  /** Known members; nobody else is connected. */
  members: () => readonly MemberRecord[]
  /** Whether the address is that of a backend server that is listed. Nothing else is connected to. */
  isListed: (address: string) => boolean
  /** Whether this process ends soon. */
  isLeaving: () => boolean
  /** Called with the number of open tunnels. */
  onOpenChanged?: (open: number) => void
  clock: Clock
}

export function createForwardingServer (options: ForwardingServerOptions): ForwardingServer {
  const tunnels = new Set<Tunnel>()
  let onAllClosed = (): void => {}
  const ends = createTunnelEnds(options.clock)
  const isMember = (req: IncomingMessage): boolean => isFromMember(req.headers[INCARNATION_HEADER], req.socket, options.members())
  const statusOf = (req: IncomingMessage): number => {
    if (!isMember(req)) return FORBIDDEN_STATUS
    return ends.isEnded(req.url ?? '') ? OK_STATUS : NOT_FOUND_STATUS
  }
  const server = createServer((req, res) => {
    res.writeHead(statusOf(req), { connection: 'close', 'content-length': 0 })
    res.end()
  })

  const connect = async (address: string): Promise<Socket> => {
    if (options.isLeaving()) throw new DialError('no-forwarder', 'the instance is leaving')
    if (tunnels.size >= MAX_TUNNELS) throw new DialError('no-forwarder', 'the instance forwards too many connections')
    return await options.dialForPeer(address)
  }
  const forward = (downstream: Duplex, upstream: Socket, head: Buffer, id: string): void => {
    const onClosed = (): void => {
      ends.release(id)
      tunnels.delete(tunnel)
      options.onOpenChanged?.(tunnels.size)
      if (tunnels.size === 0) onAllClosed()
    }
    const tunnel = createTunnel(downstream as Socket, upstream, { onServerEnd: () => ends.record(id), onClosed })
    tunnels.add(tunnel)
    options.onOpenChanged?.(tunnels.size)
    downstream.write(CONNECTED)
    if (head.length > 0) upstream.write(head)
    tunnel.start()
  }
  const refuse = (downstream: Duplex, status: number): void => { downstream.end(`HTTP/1.1 ${status} \r\nConnection: close\r\n\r\n`) }
  const openTunnel = async (req: IncomingMessage, downstream: Duplex, head: Buffer): Promise<void> => {
    const address = req.url ?? ''
    if (!isMember(req)) return refuse(downstream, FORBIDDEN_STATUS)
    if (!options.isListed(address)) return refuse(downstream, FORBIDDEN_STATUS)
    try {
      const upstream = await connect(address)
      if (downstream.destroyed) upstream.destroy()
      else forward(downstream, upstream, head, String(req.headers[TUNNEL_HEADER] ?? ''))
    } catch (err) {
      refuse(downstream, STATUS_BY_FAILURE[toDialError(err).failure])
    }
  }
  server.on('connect', (req: IncomingMessage, downstream: Duplex, head: Buffer) => {
    downstream.on('error', () => downstream.destroy())
    inBackground('open-tunnel', openTunnel(req, downstream, head))
  })

  return {
    accept: socket => { server.emit('connection', socket) },
    drain: drainMs => tunnels.size === 0
      ? Promise.resolve()
      : new Promise(resolve => {
        const cancel = options.clock.schedule(drainMs, resolve)
        onAllClosed = () => {
          cancel()
          resolve()
        }
      }),
    close: () => tunnels.forEach(tunnel => tunnel.destroy())
  }
}

interface Tunnel {
  start (): void
  destroy (): void
}

interface TunnelHandlers {
  /** Called when the server has closed its connection, before the other instance sees that. */
  onServerEnd: () => void
  onClosed: () => void
}

/** `downstream`: the connection of the other instance. `upstream`: the connection to the server. */
function createTunnel (downstream: Socket, upstream: Socket, { onServerEnd, onClosed }: TunnelHandlers): Tunnel {
  let hasClosed = false
  const close = (end: (socket: Socket) => void): void => {
    if (hasClosed) return
    hasClosed = true
    end(downstream)
    end(upstream)
    onClosed()
  }
  // A response without length that is reset must not look complete to the other instance.
  const reset = (): void => close(resetSocket)
  /**
   * A reset that arrives with the last bytes looks like an end, and the other instance would take part of a response without
   * length for the whole. A write distinguishes the two: it succeeds on a closed connection and fails on a reset one. It is
   * an empty line, which a server that still reads has to ignore, unless a body is still on its way there.
   */
  const endDownstream = (): void => {
    if (upstream.writableLength > 0) return reset()
    upstream.write('\r\n', err => {
      if (err !== undefined && err !== null) return reset()
      onServerEnd()
      downstream.end()
    })
  }
  return {
    start: () => {
      downstream.setNoDelay(true)
      upstream.on('error', reset)
      downstream.on('error', reset)
      // The other instance gave the request up: the server must see that its caller has gone.
      downstream.on('end', reset)
      upstream.on('end', endDownstream)
      downstream.on('close', reset)
      downstream.pipe(upstream)
      upstream.pipe(downstream, { end: false })
    },
    destroy: reset
  }
}
