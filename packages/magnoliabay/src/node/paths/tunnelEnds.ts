/**
 * Records which forwarded connections were ended by their servers. The end of a connection alone does not tell: when a
 * forwarding instance dies, its operating system ends the connection to the other instance in the same way.
 */
import type { Clock } from '../clock'

/** Header of a request for a connection, with the name by which the other instance asks for its end. */
export const TUNNEL_HEADER = 'x-tunnel'

const PATH_PREFIX = '/tunnel-ends/'
/** The other instance asks as soon as it has read the end of the connection. */
const KEPT_AFTER_CLOSE_MS = 5000

export function tunnelEndPath (id: string): string {
  return `${PATH_PREFIX}${id}`
}

export interface TunnelEnds {
  /** Records that the server has ended the connection. */
  record (id: string): void
  /** Forgets the connection a while after both of its sides have closed. */
  release (id: string): void
  /** Returns whether the path asks for a connection that its server has ended. */
  isEnded (path: string): boolean
}

export function createTunnelEnds (clock: Clock): TunnelEnds {
  const ended = new Set<string>()
  return {
    record: id => { ended.add(id) },
    release: id => { if (ended.has(id)) clock.schedule(KEPT_AFTER_CLOSE_MS, () => ended.delete(id)) },
    isEnded: path => path.startsWith(PATH_PREFIX) && ended.has(path.slice(PATH_PREFIX.length))
  }
}
