/** Whether anybody listens at an address. */
import { connect } from 'node:net'
import type { Clock } from './clock'

/** `refused`: the machine is up and nobody listens. `silent`: no word in time, or out of reach; it proves nothing. */
export type ProbeResult = 'accepted' | 'refused' | 'silent'

export interface ProbeTarget {
  host: string
  port: number
}

/** Opens a connection and closes it again; never rejects. */
export function probeAddress (clock: Clock, { host, port }: ProbeTarget, patienceMs: number): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = connect({ host, port })
    const settle = (result: ProbeResult): void => {
      cancelTimeout()
      socket.destroy()
      resolve(result)
    }
    const cancelTimeout = clock.schedule(patienceMs, () => settle('silent'))
    socket.on('connect', () => settle('accepted'))
    socket.on('error', (err: NodeJS.ErrnoException) => settle(err.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
}
