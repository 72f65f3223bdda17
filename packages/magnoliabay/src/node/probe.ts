/** Checks whether a process listens at an address. */
import { connect } from 'node:net'
import type { Clock } from './clock'
import { parseAddress } from './utils'

/**
 * `refused`: the machine runs, but no process listens at the address. `silent`: no response in time or address
 * unreachable; this proves nothing about the process.
 */
export type ProbeResult = 'accepted' | 'refused' | 'silent'

/**
 * Opens a connection to `ip:port` and closes it at once; never rejects. An impossible address proves nothing either: for an
 * empty host, the runtime connects to this machine, and the process of a leader would count as ended.
 */
export function probeAddress (clock: Clock, address: string, timeoutMs: number): Promise<ProbeResult> {
  const target = parseAddress(address)
  if (target === undefined) return Promise.resolve('silent')
  return new Promise(resolve => {
    const socket = connect(target)
    const settle = (result: ProbeResult): void => {
      cancelTimeout()
      socket.destroy()
      resolve(result)
    }
    const cancelTimeout = clock.schedule(timeoutMs, () => settle('silent'))
    socket.on('connect', () => settle('accepted'))
    socket.on('error', (err: NodeJS.ErrnoException) => settle(err.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
}
