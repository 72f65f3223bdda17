/**
 * Keeps on the leader which requests wait for each model, by the instance that reported them, and the reservations of
 * callers that were rejected with a time.
 */
import type { WaitingGroup } from './waitingGroups'

/** Time after which the groups of an instance that does not repeat them are dropped, milliseconds: three messages. */
const GROUPS_TTL_MS = 1200
/** Time for which a reservation is kept beyond the stated time, milliseconds: a caller returns somewhat later. */
const RESERVATION_SLACK_MS = 1000
/** Reservations of one model whose times differ by less than this are kept as one, milliseconds. */
const RESERVATION_MERGE_MS = 500

interface SenderGroups {
  groups: readonly WaitingGroup[]
  receivedMs: number
}

interface Reservation {
  atMs: number
  count: number
  isMet: boolean
}

interface ModelRequests {
  bySender: Map<string, SenderGroups>
  reservations: Reservation[]
}

/** Called with numbers of reservations. */
export interface ReservationObserver {
  onMade (count: number): void
  onEnded (count: number, isMet: boolean): void
}

export interface WaitingRequests {
  /** Replaces what the sender reported for the model before. */
  record (model: string, sender: string, groups: readonly WaitingGroup[], nowMs: number): void
  /** Keeps the model in the schedule for a caller that was told to return in `inMs`. */
  reserve (model: string, inMs: number, nowMs: number): void
  /** Returns the waiting requests and reservations of a model relative to `nowMs`, the earliest latency objective first. */
  groupsOf (model: string, nowMs: number): readonly WaitingGroup[]
  /** Remaining time until the last reservation of the model ends, milliseconds; 0 without one. */
  reservedMs (model: string, nowMs: number): number
  models (): readonly string[]
  /** Drops what has expired. `isReady`: whether an engine has the model. */
  expire (nowMs: number, isReady: (model: string) => boolean): void
}

const shifted = ({ groups, receivedMs }: SenderGroups, nowMs: number): WaitingGroup[] => groups
  .map(({ inTimeMs, giveUpMs, count }) => ({ inTimeMs: inTimeMs - (nowMs - receivedMs), giveUpMs: giveUpMs - (nowMs - receivedMs), count }))
  .filter(group => group.giveUpMs > 0)

export function createWaitingRequests (observer: ReservationObserver): WaitingRequests {
  const requestsByModel = new Map<string, ModelRequests>()
  const getOrCreate = (model: string): ModelRequests => {
    const requests = requestsByModel.get(model) ?? { bySender: new Map(), reservations: [] }
    requestsByModel.set(model, requests)
    return requests
  }
  const expireReservations = (requests: ModelRequests, nowMs: number, isReady: boolean): void => {
    requests.reservations.filter(({ atMs }) => nowMs >= atMs).forEach(reservation => { reservation.isMet ||= isReady })
    requests.reservations.filter(({ atMs }) => nowMs > atMs + RESERVATION_SLACK_MS).forEach(({ count, isMet }) => observer.onEnded(count, isMet))
    requests.reservations = requests.reservations.filter(({ atMs }) => nowMs <= atMs + RESERVATION_SLACK_MS)
  }
  return {
    record: (model, sender, groups, nowMs) => { getOrCreate(model).bySender.set(sender, { groups, receivedMs: nowMs }) },
    reserve: (model, inMs, nowMs) => {
      const { reservations } = getOrCreate(model)
      const existing = reservations.find(({ atMs }) => Math.abs(atMs - nowMs - inMs) < RESERVATION_MERGE_MS)
      if (existing === undefined) reservations.push({ atMs: nowMs + inMs, count: 1, isMet: false })
      else existing.count += 1
      observer.onMade(1)
    },
    groupsOf: (model, nowMs) => {
      const requests = requestsByModel.get(model)
      if (requests === undefined) return []
      const reserved = requests.reservations.map(({ atMs, count }) => ({ inTimeMs: atMs - nowMs, giveUpMs: atMs + RESERVATION_SLACK_MS - nowMs, count }))
      return [...[...requests.bySender.values()].flatMap(each => shifted(each, nowMs)), ...reserved].sort((left, right) => left.inTimeMs - right.inTimeMs)
    },
    reservedMs: (model, nowMs) => Math.max(0, ...requestsByModel.get(model)?.reservations.map(({ atMs }) => atMs + RESERVATION_SLACK_MS - nowMs) ?? []),
    models: () => [...requestsByModel.keys()],
    expire: (nowMs, isReady) => requestsByModel.forEach((requests, model) => {
      requests.bySender.forEach(({ receivedMs }, sender) => { if (nowMs - receivedMs > GROUPS_TTL_MS) requests.bySender.delete(sender) })
      if (requests.reservations.length > 0) expireReservations(requests, nowMs, isReady(model))
      if (requests.bySender.size === 0 && requests.reservations.length === 0) requestsByModel.delete(model)
    })
  }
}
