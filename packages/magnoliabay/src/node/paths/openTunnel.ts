/** Opens a connection to a backend server through another instance, with the `CONNECT` method of HTTP. */
import { request } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../clock'
import type { MemberRecord } from '../members'
import type { PeerTransport } from '../members/transport'
import { createId, parseAddress, parseHostPort } from '../utils'
import { INCARNATION_HEADER } from './memberCheck'
import { TUNNEL_HEADER, tunnelEndPath } from './tunnelEnds'
import { DialError } from './types'
import type { DialFailure } from './types'

/** Longer than the forwarding instance waits for the server, so that it can say what happened, milliseconds. */
const TUNNEL_TIMEOUT_MS = 500
const HTTP_OK = 200

/** Statuses of the forwarding instance. */
export const STATUS_BY_FAILURE: Record<DialFailure, number> = { refused: 502, silent: 504, 'no-forwarder': 503 }
const FAILURE_BY_STATUS = new Map(Object.entries(STATUS_BY_FAILURE).map(([failure, status]) => [status, failure as DialFailure]))

/** A connection through another instance. */
export interface Tunnel {
  socket: Socket
  /** Names it at the forwarding instance. */
  id: string
  forwarder: Pick<MemberRecord, 'peerAddress'>
}

/** Rejects with a {@link DialError}. */
export function openTunnel (transport: PeerTransport, clock: Clock, self: Pick<MemberRecord, 'incarnation'>, forwarder: Pick<MemberRecord, 'peerAddress'>, address: string): Promise<Tunnel> {
  return new Promise((resolve, reject) => {
    const id = createId('tunnel')
    const target = parseAddress(forwarder.peerAddress)
    // It says nothing about the server, which would otherwise count as unreachable.
    if (target === undefined) return reject(new DialError('no-forwarder', `no connection can be made to ${forwarder.peerAddress}`))
    const { host, port } = target
    const fail = (failure: DialFailure, message: string): void => {
      cancelTimeout()
      req.destroy()
      reject(new DialError(failure, message))
    }
    const req = request({
      method: 'CONNECT',
      path: address,
      headers: { [INCARNATION_HEADER]: self.incarnation, [TUNNEL_HEADER]: id },
      host,
      port,
      agent: false,
      createConnection: () => {
        const socket = transport.dial({ host, port, timeout: TUNNEL_TIMEOUT_MS })
        socket.allowHalfOpen = true
        return socket
      }
    })
    const cancelTimeout = clock.schedule(TUNNEL_TIMEOUT_MS, () => fail('no-forwarder', 'the forwarding instance does not answer'))
    req.once('error', err => fail('no-forwarder', err.message))
    req.once('response', res => fail('no-forwarder', `status ${res.statusCode}`))
    req.once('connect', (res, socket: Socket) => {
      const { statusCode } = res
      if (statusCode !== HTTP_OK) {
        socket.destroy()
        return fail(FAILURE_BY_STATUS.get(statusCode ?? 0) ?? 'no-forwarder', `the forwarding instance answers ${statusCode}`)
      }
      cancelTimeout()
      socket.setTimeout(0)
      socket.removeAllListeners('timeout')
      socket.setNoDelay(true)
      resolve({ socket, id, forwarder })
    })
    req.end()
  })
}

/**
 * Asks the forwarding instance whether the server ended the connection. An instance that has died, or was restarted, knows
 * nothing of it; one of an earlier version refuses to say.
 */
export function confirmTunnelEnd (transport: PeerTransport, clock: Clock, self: Pick<MemberRecord, 'incarnation'>, { id, forwarder }: Tunnel): Promise<boolean> {
  return new Promise(resolve => {
    const { host, port } = parseHostPort(forwarder.peerAddress)
    const req = request({
      path: tunnelEndPath(id),
      headers: { [INCARNATION_HEADER]: self.incarnation, connection: 'close' },
      host,
      port,
      agent: false,
      createConnection: () => transport.dial({ host, port, timeout: TUNNEL_TIMEOUT_MS })
    })
    const settle = (isConfirmed: boolean): void => {
      cancelTimeout()
      resolve(isConfirmed)
      req.destroy()
    }
    const cancelTimeout = clock.schedule(TUNNEL_TIMEOUT_MS, () => settle(false))
    req.on('error', () => settle(false))
    req.once('response', res => settle(res.statusCode === HTTP_OK))
    req.end()
  })
}
