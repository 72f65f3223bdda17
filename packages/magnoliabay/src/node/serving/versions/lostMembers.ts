/** Tells whether instances have been lost since a time: with them, records of streams that nobody else has. */
import type { Clock } from '../../clock'
import type { Peers } from '../../members'

export interface LostMembers {
  /** Whether an instance that this one had a link to has been killed, has left or cannot be reached, since this time, monotonic milliseconds. */
  since (sinceMs: number): boolean
}

export interface LostMembersOptions {
  peers: Pick<Peers, 'isConnected' | 'onMembersChanged' | 'onConnected'>
  clock: Clock
}

export function createLostMembers ({ peers, clock }: LostMembersOptions): LostMembers {
  /** Incarnations of the instances that this one has had a link to, by id. */
  const linked = new Map<string, string>()
  let lostMs = -Infinity

  const recordLost = (id: string): void => {
    lostMs = clock.monotonic()
    linked.delete(id)
  }
  const update = (): void => [...linked.keys()].filter(id => !peers.isConnected(id)).forEach(recordLost)
  peers.onMembersChanged(update)
  peers.onConnected(({ id, incarnation }) => {
    // Another process has started in its place.
    if (linked.has(id) && linked.get(id) !== incarnation) recordLost(id)
    linked.set(id, incarnation)
  })
  return {
    since: sinceMs => {
      update()
      return lostMs >= sinceMs
    }
  }
}
