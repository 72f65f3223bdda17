/**
 * Distributes notices where not every member holds a link to every other: each member forwards a notice to its
 * neighbours the first time that it receives it. A notice reaches all members as long as the remaining links connect
 * them, whichever single member or link is lost.
 */
import * as v from 'valibot'
import type { Clock } from '../clock'
import { definePeerNotice } from './peers'
import { memberRecordSchema } from './record'
import type { MemberRecord } from './record'

export interface GossipMessage {
  /** Unique in the fleet. */
  id: string
  origin: MemberRecord
  kind: string
  body: unknown
}

export const gossipNotice = definePeerNotice<GossipMessage>('members.gossip', v.object({ id: v.string(), origin: memberRecordSchema, kind: v.string(), body: v.unknown() }))

export interface Gossip {
  /** Wraps a notice of this member, to be sent to all neighbours. */
  wrap (origin: MemberRecord, kind: string, body: unknown): GossipMessage
  /** Returns true the first time that a message is received. */
  isNew (message: GossipMessage): boolean
}

/**
 * Far longer than a notice takes to reach all members. A copy that arrives later would be handled again, which is
 * harmless.
 */
const SEEN_RETENTION_MS = 60_000

export function createGossip (clock: Clock): Gossip {
  let current = new Set<string>()
  let previous = new Set<string>()
  let rotatedAtMs = clock.monotonic()
  let counter = 0
  const rotate = (): void => {
    if (clock.monotonic() - rotatedAtMs < SEEN_RETENTION_MS) return
    previous = current
    current = new Set()
    rotatedAtMs = clock.monotonic()
  }
  const recordSeen = (id: string): boolean => {
    rotate()
    if (current.has(id) || previous.has(id)) return false
    current.add(id)
    return true
  }
  return {
    isNew: message => recordSeen(message.id),
    wrap: (origin, kind, body) => {
      counter += 1
      const message: GossipMessage = { id: `${origin.incarnation} ${counter}`, origin, kind, body }
      recordSeen(message.id)
      return message
    }
  }
}
