/** Peer messages between instances and the leader about the placement of models. */
import * as v from 'valibot'
import { definePeerCall } from '../../members'
import type { WaitingGroup } from './schedule/waitingGroups'

export interface PlacementRequest {
  model: string
  adapter: string | undefined
  /** Time for which the first request has waited, milliseconds. */
  waitedMs: number
  /** Longest further wait, milliseconds; a caller that would have to wait longer is refused at once. */
  patienceMs: number
  /** Processes of engines that have the model and take no requests for it now; undefined from a peer of an older version. */
  unavailable?: readonly string[]
  /** The request continues a stream and needs an engine with this version of the software. @default any version */
  softwareVersion?: string
  /** Requests of the sending instance that wait for the model, at most eight groups; undefined from a peer of an older version. */
  waiting?: readonly WaitingGroup[]
}

/**
 * `ready`: this server has the model. `coming`: it is expected in `inMs` milliseconds. `unavailable`: no order can be
 * given at present.
 */
export type PlacementReply =
  | { kind: 'ready', server: string }
  | { kind: 'coming', inMs: number }
  | { kind: 'unavailable' }

const requestSchema = v.object({
  model: v.string(),
  adapter: v.optional(v.string()),
  waitedMs: v.number(),
  patienceMs: v.number(),
  unavailable: v.optional(v.array(v.string())),
  softwareVersion: v.optional(v.string()),
  waiting: v.optional(v.array(v.object({ inTimeMs: v.number(), giveUpMs: v.number(), count: v.number() })))
})
const replySchema = v.variant('kind', [
  v.object({ kind: v.literal('ready'), server: v.string() }),
  v.object({ kind: v.literal('coming'), inMs: v.number() }),
  v.object({ kind: v.literal('unavailable') })
])

export const placementCall = definePeerCall<PlacementRequest, PlacementReply>('placement.want', { req: requestSchema, res: replySchema })
