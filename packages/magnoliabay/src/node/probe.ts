/** Checks whether a process listens at an address. */
import { connect } from 'node:net'
import type { Clock } from './clock'

/**
 * `refused`: the machine runs, but no process listens at the address. `silent`: no response in time or address
 * unreachable; this proves nothing about the process.
 */
export type ProbeResult = 'accepted' | 'refused' | 'silent'

export interface ProbeTarget {
  host: string
  port: number
}

/** Opens a connection and closes it at once; never rejects. */
export function probeAddress (clock: Clock, { host, port }: ProbeTarget, timeoutMs: number): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = connect({ host, port })
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
