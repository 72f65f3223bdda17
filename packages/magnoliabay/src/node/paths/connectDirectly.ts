/** Opens a TCP connection to a backend server. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { Clock } from '../clock'
import { parseAddress } from '../utils'
import { DialError, toDialError } from './types'

/** Rejects with a {@link DialError}. The connection allows writes after the server has ended its side. */
export function connectDirectly (clock: Clock, address: string, timeoutMs: number): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const target = parseAddress(address)
    if (target === undefined) return reject(new DialError('silent', `no connection can be made to ${address}`))
    const socket = connect({ ...target, allowHalfOpen: true, noDelay: true })
    const cancelTimeout = clock.schedule(timeoutMs, () => socket.destroy(new DialError('silent', 'connection timed out')))
    const onError = (err: Error): void => {
      cancelTimeout()
      reject(toDialError(err))
    }
    socket.once('error', onError)
    socket.once('connect', () => {
      cancelTimeout()
      socket.removeListener('error', onError)
      resolve(socket)
    })
  })
}
