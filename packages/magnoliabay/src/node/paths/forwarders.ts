/** Chooses the instances through which this one connects to backend servers that it does not reach itself. */
import type { Clock } from '../clock'
import type { MemberRecord, Peers } from '../members'

/** An instance that could not forward is not asked again for this long, milliseconds. */
const AVOIDANCE_MS = 1000

export interface Forwarders {
  /** Instances to try, in this order; a new order each time, so that all of them share the load. */
  ranked (): readonly MemberRecord[]
  /** Whether there is any instance to try. */
  areThereAny (): boolean
  /** Whether connections through the instance can still be used. */
  isUsable (id: string): boolean
  /** Records that an instance could not be reached, or forwards nothing. */
  recordUnable (id: string): void
  /** Calls the listener with the id of an instance that leaves or has left. */
  onGone (listener: (id: string) => void): void
}

export interface ForwardersOptions {
  peers: Pick<Peers, 'self' | 'members' | 'isConnected' | 'onMembersChanged'>
  /** Instances that are known to reach servers; they are tried first. @default none are known */
  preferred?: () => readonly string[]
  clock: Clock
  /** Returns a number from 0 to below 1. */
  random: () => number
}

export function createForwarders ({ peers, preferred = () => [], clock, random }: ForwardersOptions): Forwarders {
  const avoidedUntilMs = new Map<string, number>()

  const listeners: Array<(id: string) => void> = []
  let stayingIds: readonly string[] = []
  peers.onMembersChanged(() => {
    const before = stayingIds
    stayingIds = peers.members().filter(({ leaving }) => !leaving).map(({ id }) => id)
    const staying = new Set(stayingIds)
    before.filter(id => !staying.has(id)).forEach(id => listeners.forEach(listener => listener(id)))
  })

  const isAvoided = (id: string): boolean => (avoidedUntilMs.get(id) ?? -Infinity) > clock.monotonic()
  const isCandidate = ({ id, leaving }: MemberRecord): boolean => id !== peers.self.id && !leaving && peers.isConnected(id) && !isAvoided(id)
  const shuffled = (members: readonly MemberRecord[]): MemberRecord[] => members
    .map(member => ({ member, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ member }) => member)
  const dropEnded = (): void => avoidedUntilMs.forEach((_, id) => { if (!isAvoided(id)) avoidedUntilMs.delete(id) })

  return {
    ranked: () => {
      const known = new Set(preferred())
      const candidates = shuffled(peers.members().filter(isCandidate))
      return [...candidates.filter(({ id }) => known.has(id)), ...candidates.filter(({ id }) => !known.has(id))]
    },
    areThereAny: () => peers.members().some(isCandidate),
    isUsable: id => peers.members().some(member => member.id === id && isCandidate(member)),
    recordUnable: id => {
      dropEnded()
      avoidedUntilMs.set(id, clock.monotonic() + AVOIDANCE_MS)
    },
    onGone: listener => { listeners.push(listener) }
  }
}
