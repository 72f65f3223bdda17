/** Chooses the instances through which this one connects to backend servers that it does not reach itself. */
import type { Clock } from '../clock'
import { createListeners } from '../members/dispatch'
import type { MemberRecord, Peers } from '../members'

/** An instance that could not forward is not asked again for this long, milliseconds. */
const AVOIDANCE_MS = 1000

export interface Forwarders {
  /** Up to `count` instances to try, in this order; others each time, so that all of them share the load. */
  pick (count: number): readonly MemberRecord[]
  /** Whether there is any instance to try. */
  areThereAny (): boolean
  /** Whether connections through the instance can still be used. */
  isUsable (id: string): boolean
  /** Records that an instance could not be reached, or forwards nothing. */
  recordUnable (id: string): void
  /** Calls the listener with the id of each instance whose process begins to shut down. */
  onLeaving (listener: (id: string) => void): void
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
  const leaving = createListeners<[string]>()
  /** Processes that are known to shut down. */
  let leavingIncarnations: ReadonlySet<string> = new Set()

  const isAvoided = (id: string): boolean => (avoidedUntilMs.get(id) ?? -Infinity) > clock.monotonic()
  const isCandidate = ({ id, leaving }: MemberRecord): boolean => id !== peers.self.id && !leaving && peers.isConnected(id) && !isAvoided(id)
  /** Returns some of the members in random order, without ordering all of them. */
  const pickRandom = (members: readonly MemberRecord[], count: number): MemberRecord[] => {
    const left = [...members]
    return Array.from({ length: Math.min(count, left.length) }, () => {
      const index = Math.floor(random() * left.length)
      const picked = left[index]!
      left[index] = left.at(-1)!
      left.pop()
      return picked
    })
  }
  const dropEnded = (): void => avoidedUntilMs.forEach((_, id) => { if (!isAvoided(id)) avoidedUntilMs.delete(id) })

  peers.onMembersChanged(() => {
    const members = peers.members().filter(member => member.leaving && member.id !== peers.self.id)
    const begun = members.filter(({ incarnation }) => !leavingIncarnations.has(incarnation))
    leavingIncarnations = new Set(members.map(({ incarnation }) => incarnation))
    begun.forEach(({ id }) => leaving.emit(id))
  })

  return {
    pick: count => {
      const known = new Set(preferred())
      const candidates = peers.members().filter(isCandidate)
      const first = pickRandom(candidates.filter(({ id }) => known.has(id)), count)
      return [...first, ...pickRandom(candidates.filter(({ id }) => !known.has(id)), count - first.length)]
    },
    areThereAny: () => peers.members().some(isCandidate),
    isUsable: id => peers.members().some(member => member.id === id && isCandidate(member)),
    recordUnable: id => {
      dropEnded()
      avoidedUntilMs.set(id, clock.monotonic() + AVOIDANCE_MS)
    },
    onLeaving: leaving.add
  }
}
