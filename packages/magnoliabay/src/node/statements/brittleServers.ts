/**
 * Keeps the requests of all instances together within the room of a brittle server. One instance, the server's home, counts
 * for all: each request asks it for a place first, and tells it when the place is free again. An instance that cannot reach
 * the home asks the deputy, the next in the same ranking, which grants a part of the room; one that reaches neither sends
 * nothing there. What instances hold counts as they last told. At first it counts as not less than the sums of their reports,
 * which lag: a new home has not heard of the requests that are in flight already.
 */
import * as v from 'valibot'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerCall, definePeerNotice, rankHomeInstances } from '../members'
import type { Peers } from '../members'
import { createServerRoom } from './serverRoom'
import type { ServerRoom } from './serverRoom'

type Role = 'home' | 'deputy'

/** Part of the slots that an instance grants in each role. */
const SLOTS_BY_ROLE: Record<Role, number> = { home: 1, deputy: 0.25 }
/** The home replies within a round trip. */
const ASK_TIMEOUT_MS = 200
/** An instance that has not replied is asked again after this time, milliseconds. */
const ASK_RETRY_MS = 1000
/** What an instance holds is forgotten after this time without a word from it, milliseconds: it may have ended. */
const HELD_TTL_MS = 10_000
/** Time for which the sums of reports count as well, milliseconds: most requests that were in flight at the beginning have ended. */
const REPORTS_COUNT_MS = 3000
/** After a refusal nobody asks for the same server for up to this long, milliseconds: places are free after about one service time. */
const REFUSAL_PAUSE_MS = 60
/** Above this number of records, those of processes that have ended are dropped with all others. */
const MAX_RECORDS = 2000

interface PlaceRequest {
  process: string
  slots: number
  maxRejectionsPerSecond: number
  /** Places that the asking instance holds already. */
  held: number
  role: Role
}

interface PlaceUse {
  process: string
  /** Places that the instance holds now. */
  held: number
  /** Whether the server has rejected the request for which it held one. */
  isRejected: boolean
}

const placeCall = definePeerCall<PlaceRequest, { isGranted: boolean }>('serving.take-place', {
  req: v.object({ process: v.string(), slots: v.number(), maxRejectionsPerSecond: v.number(), held: v.number(), role: v.string() }),
  res: v.object({ isGranted: v.boolean() })
})
const placeUseNotice = definePeerNotice<PlaceUse>('serving.place-used', v.object({ process: v.string(), held: v.number(), isRejected: v.boolean() }))

export interface BrittleServers {
  /**
   * Takes a place for a request at a server that bears this many rejections a second; returns whether there is one.
   * `slots`: Infinity if the server's size is not known.
   */
  take (process: string, slots: number, maxRejectionsPerSecond: number): Promise<boolean>
  /** Frees a place after its request has ended, or was not sent after all. */
  release (process: string, isRejected: boolean): void
  /** Whether no place was free a moment ago. */
  isRefused (process: string): boolean
}

export interface BrittleServersOptions {
  peers: Peers
  /** Requests in flight at a server, of all instances, as of the last reports. */
  reportedInFlight: (process: string) => number
  clock: Clock
  logger: Logger
  /** Returns a number from 0 to below 1. */
  random: () => number
}

interface Counted {
  room: ServerRoom
  sinceMs: number
  /** Places held, by instance, as it last told. */
  held: Map<string, { count: number, atMs: number }>
}

export function createBrittleServers ({ peers, reportedInFlight, clock, logger, random }: BrittleServersOptions): BrittleServers {
  const self = peers.self.id
  const counted = new Map<string, Counted>()
  /** Places that this instance holds, by process. */
  const ownHeld = new Map<string, number>()
  const refusedUntilMs = new Map<string, number>()
  const unreachedUntilMs = new Map<string, number>()

  const countedOf = (process: string): Counted => {
    if (counted.size > MAX_RECORDS) counted.clear()
    const found = counted.get(process) ?? { room: createServerRoom(), sinceMs: clock.monotonic(), held: new Map() }
    counted.set(process, found)
    return found
  }
  const inFlightAt = (process: string): number => {
    const now = clock.monotonic()
    const { held, sinceMs } = countedOf(process)
    held.forEach(({ atMs }, instance) => { if (now - atMs > HELD_TTL_MS) held.delete(instance) })
    const told = [...held.values()].reduce((sum, { count }) => sum + count, 0)
    return now - sinceMs < REPORTS_COUNT_MS ? Math.max(told, reportedInFlight(process)) : told
  }
  const grant = ({ process, slots, maxRejectionsPerSecond, held, role }: PlaceRequest, from: string): boolean => {
    const now = clock.monotonic()
    const record = countedOf(process)
    record.held.set(from, { count: held, atMs: now })
    if (!record.room.hasRoom(inFlightAt(process), slots * SLOTS_BY_ROLE[role], maxRejectionsPerSecond, now)) return false
    record.held.set(from, { count: held + 1, atMs: now })
    return true
  }
  const recordUse = ({ process, held, isRejected }: PlaceUse, from: string): void => {
    const record = countedOf(process)
    record.held.set(from, { count: held, atMs: clock.monotonic() })
    if (isRejected) record.room.recordRejection(inFlightAt(process), clock.monotonic())
    else record.room.recordTaken(inFlightAt(process))
  }
  peers.serve(placeCall, (req, from) => ({ isGranted: grant(req, from.id) }))
  peers.listen(placeUseNotice, (use, from) => recordUse(use, from.id))

  /** Home and deputy by process, until members change: ranking hundreds of members takes longer than the rest of a request. */
  const rankings = new Map<string, readonly string[]>()
  peers.onMembersChanged(() => rankings.clear())
  const rankingOf = (process: string): readonly string[] => {
    const ranking = rankings.get(process) ?? rankHomeInstances(peers, process).slice(0, 2)
    rankings.set(process, ranking)
    return ranking
  }
  /** Returns undefined if the instance does not reply. */
  const ask = async (member: string, req: PlaceRequest): Promise<boolean | undefined> => {
    if (member === self) return grant(req, self)
    if (!peers.isConnected(member) || (unreachedUntilMs.get(member) ?? -Infinity) > clock.monotonic()) return undefined
    const reply = await peers.call(member, placeCall, req, { timeoutMs: ASK_TIMEOUT_MS })
    if (reply.ok) return reply.val.isGranted
    unreachedUntilMs.set(member, clock.monotonic() + ASK_RETRY_MS)
    logger.info('brittle-server-not-asked', { server: req.process, home: member, role: req.role, reason: reply.val.kind })
    return undefined
  }
  const askRanked = async (req: Omit<PlaceRequest, 'role'>): Promise<boolean> => {
    const [home, deputy] = rankingOf(req.process)
    const granted = home === undefined ? undefined : await ask(home, { ...req, role: 'home' })
    if (granted !== undefined) return granted
    return (deputy === undefined ? undefined : await ask(deputy, { ...req, role: 'deputy' })) ?? false
  }
  const isRefused = (process: string): boolean => (refusedUntilMs.get(process) ?? -Infinity) > clock.monotonic()

  return {
    isRefused,
    take: async (process, slots, maxRejectionsPerSecond) => {
      if (isRefused(process)) return false
      const held = ownHeld.get(process) ?? 0
      // Counted before the reply, so that requests that ask at the same moment tell of each other.
      ownHeld.set(process, held + 1)
      if (await askRanked({ process, slots, maxRejectionsPerSecond, held })) return true
      ownHeld.set(process, Math.max(0, (ownHeld.get(process) ?? 0) - 1))
      if (refusedUntilMs.size > MAX_RECORDS) refusedUntilMs.clear()
      refusedUntilMs.set(process, clock.monotonic() + random() * REFUSAL_PAUSE_MS)
      return false
    },
    release: (process, isRejected) => {
      const held = Math.max(0, (ownHeld.get(process) ?? 0) - 1)
      if (held > 0) ownHeld.set(process, held)
      else ownHeld.delete(process)
      const use = { process, held, isRejected }
      rankingOf(process).forEach(member => member === self ? recordUse(use, self) : peers.notify(member, placeUseNotice, use))
    }
  }
}
