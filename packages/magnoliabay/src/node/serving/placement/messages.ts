/** What instances and the one that gives orders say to each other. */
import { definePeerCall } from '../../members'

export interface PlacementRequest {
  model: string
  adapter: string | undefined
  /** How long the first request has waited, milliseconds. */
  waitedMs: number
  /** How much longer it waits at most, milliseconds; one that would wait longer is told at once to come back. */
  patienceMs: number
}

/**
 * `ready`: this server has it. `coming`: in about so long. `unavailable`: nothing can be ordered at present.
 */
export type PlacementReply =
  | { kind: 'ready', server: string }
  | { kind: 'coming', inMs: number }
  | { kind: 'unavailable' }

export const placementCall = definePeerCall<PlacementRequest, PlacementReply>('placement.want')
