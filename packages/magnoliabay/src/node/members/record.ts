/** Description of a member, which it stores under its lease for the other members. */
import * as v from 'valibot'
import { STORE_KEY_PREFIX } from '../constants'
import { connectableAddress } from '../inputs'

export interface MemberRecord {
  /** Instance id, stable over restarts of the same instance. */
  id: string
  /** Unique for each process that runs under this id. */
  incarnation: string
  /** Wall-clock start of the process, Unix epoch milliseconds; orders incarnations of one id. */
  startedAtMs: number
  region: string
  failureDomain: string
  /** `ip:port` where peers connect. */
  peerAddress: string
  /** `ip:port` where callers connect. */
  entryAddress: string
  /** `ip:port` of the operators' interface. */
  operatorAddress: string
  /** Set once the instance shuts down: callers are no longer sent to it. */
  leaving: boolean
  /** Processor seconds per second that the process may use; 0 if unknown. */
  processorShare: number
}

export const MEMBERS_PREFIX = `${STORE_KEY_PREFIX}/members/`

export function memberKey (id: string): string {
  return `${MEMBERS_PREFIX}${id}`
}

/** The form of a record, as it arrives from other members. */
export const memberRecordSchema = v.object({
  id: v.pipe(v.string(), v.minLength(1)),
  incarnation: v.string(),
  startedAtMs: v.number(),
  region: v.string(),
  failureDomain: v.string(),
  peerAddress: v.string(),
  entryAddress: v.string(),
  operatorAddress: v.string(),
  leaving: v.boolean(),
  processorShare: v.number()
})

/**
 * A record of which the member can be reached by peers and by callers. One that parses but names an impossible address would be
 * dialled, probed for its end, and given to callers.
 */
export const reachableMemberSchema = v.object({ ...memberRecordSchema.entries, peerAddress: connectableAddress, entryAddress: connectableAddress })
