/** Whether nobody listens at an address: the process that did has ended. */
import { connect } from 'node:net'
import type { Clock } from '../clock'
import { parseHostPort } from '../utils'

/** A machine that is up refuses within a round trip; one that says nothing proves nothing. */
const PATIENCE_MS = 500

/** Resolves to true only where the address refused the connection, not where it was silent or out of reach. */
export function refusesConnections (clock: Clock, address: string): Promise<boolean> {
  const { host, port } = parseHostPort(address)
  return new Promise(resolve => {
    const socket = connect({ host, port })
    const settle = (isRefused: boolean): void => {
      cancelTimeout()
      socket.destroy()
      resolve(isRefused)
    }
    const cancelTimeout = clock.schedule(PATIENCE_MS, () => settle(false))
    socket.on('connect', () => settle(false))
    socket.on('error', (err: NodeJS.ErrnoException) => settle(err.code === 'ECONNREFUSED'))
  })
}
