/**
 * Divides a team's allowance among its routes. Failure: first come, first served, a burst of one route takes the whole
 * allowance, and the team's payments and chats are rejected. So each route has a part: its guarantee is the limit times
 * its share of the usual demand. What a part is not expected to need in the window is lent to others.
 *
 * The parts only decide who gets units within the limit. The caller counts all spending and enforces the limit, so that
 * whatever is learnt or lost here, no more is granted in total.
 */
import type { Clock } from '../../clock'
import { SAMPLE_INTERVAL_MS, SAMPLE_WEIGHT, createPartDemand } from './partDemand'
import type { PartDemand } from './partDemand'
import { createSessionShares } from './sessionShares'
import type { SessionShares } from './sessionShares'
import { SLOT_MS, createSlidingWindowCounter, msUntilNextExpiry } from './slidingWindowCounter'
import type { SlidingWindowCounter } from './slidingWindowCounter'
import { createUnitPromises } from './unitPromises'
import type { UnitPromise } from './unitPromises'

/** Whether a part has spent less than its guarantee (`within`), or is lent what others are not expected to need. */
export type PartClass = 'within' | 'lent'

/** The part of requests that name none, as those of an instance of an older version. */
export const COMMON_PART = ''

/** A request for units, as far as the division depends on it. */
export interface PartAsk {
  /** Name of the route. */
  part: string
  /** The last shared part of the prompt; undefined if the request has none. */
  session?: string
  /** Identifies the request, and is the same when it is sent again after a rejection. */
  caller?: string
  /** Longest retry time after which the caller returns, in milliseconds. @default any */
  patienceMs?: number
}

export interface PartDecision {
  /** 0 when the units may be spent, else the time in milliseconds until they can be there. */
  waitMs: number
  partClass: PartClass
  /** Units of the window that the part may spend whatever other parts ask for. */
  guarantee: number
  /** Units that the part has spent in the window. */
  partSpent: number
}

export interface AllowanceParts {
  /** Learns the demand. A caller that returns for units promised to it adds none. */
  recordAsked (ask: PartAsk, units: number): void
  /** Decides whether the part may spend the units now, given the limit and all that was spent in the window. */
  mayTake (ask: PartAsk, units: number, limit: number, spending: Pick<SlidingWindowCounter, 'remainingAfter'>): PartDecision
  recordSpent (ask: PartAsk, units: number): void
  refund (part: string, units: number): void
}

export interface AllowancePartsOptions {
  /** Length of the window in which the allowance is counted, in milliseconds. */
  windowMs: number
  clock: Clock
  /** Returns a number from 0 to below 1, for the jitter of retry times. */
  random: () => number
}

/** Largest number of parts; requests of further routes belong to the common part. */
const MAX_PARTS = 32
/** Windows after the start in which samples of the demand count in full: there is no average to compare them with. */
const UNCAPPED_WINDOWS = 2
/** Samples after which older ones weigh about nothing. */
const MAX_SAMPLES_AT_ONCE = 300
/** Units kept free for other parts when units are lent, in standard deviations of their demand if requests arrive independently. */
const HEADROOM_DEVIATIONS = 1.5
/** Demand up to this many standard deviations above the guarantee counts as within it. */
const USUAL_DEVIATIONS = 2
/** Part of the headroom that a returning caller leaves; the rest absorbs what the demand of others has varied since the promise. */
const RETURN_HEADROOM_RATIO = 0.5
/** Random addition to retry times: a part of the wait, and at least some time that spreads callers over several round trips. */
const JITTER_RATIO = 0.05
const MIN_JITTER_MS = 100

interface Part {
  demand: PartDemand
  spending: SlidingWindowCounter
  sessions: SessionShares
}

interface PartNeed {
  part: Part
  /** Units that the part is expected to need in the window, within its guarantee. */
  expected: number
}

export function createAllowanceParts ({ windowMs, clock, random }: AllowancePartsOptions): AllowanceParts {
  const parts = new Map<string, Part>()
  const promises = createUnitPromises()
  const startedMs = clock.monotonic()
  let sampledMs = startedMs
  /** Weight of all samples so far in the averages. */
  let learnedWeight = 0

  const createPart = (): Part => ({ demand: createPartDemand(windowMs), spending: createSlidingWindowCounter(windowMs), sessions: createSessionShares(windowMs) })
  const partOf = (name: string): Part => {
    const known = parts.get(name)
    if (known !== undefined) return known
    if (parts.size >= MAX_PARTS && name !== COMMON_PART) return partOf(COMMON_PART)
    const part = createPart()
    parts.set(name, part)
    return part
  }
  const removeForgotten = (nowMs: number): void => parts.forEach((part, name) => {
    if (part.demand.isForgotten(nowMs) && part.spending.spent(nowMs) === 0) parts.delete(name)
  })
  /** Adds the samples that have become due since the last call. */
  const learn = (nowMs: number): void => {
    sampledMs = Math.max(sampledMs, nowMs - MAX_SAMPLES_AT_ONCE * SAMPLE_INTERVAL_MS)
    if (nowMs - sampledMs < SAMPLE_INTERVAL_MS) return
    for (; nowMs - sampledMs >= SAMPLE_INTERVAL_MS; sampledMs += SAMPLE_INTERVAL_MS) {
      const sampleMs = sampledMs + SAMPLE_INTERVAL_MS
      learnedWeight += (1 - learnedWeight) * SAMPLE_WEIGHT
      parts.forEach(({ demand }) => demand.addSample(sampleMs, learnedWeight, sampleMs - startedMs <= UNCAPPED_WINDOWS * windowMs))
    }
    removeForgotten(nowMs)
  }
  const usualOf = ({ demand }: Part, nowMs: number): number => learnedWeight === 0 ? demand.asked(nowMs) : demand.usual()
  const shareOf = (part: Part, nowMs: number): number => {
    const total = [...parts.values()].reduce((sum, each) => sum + usualOf(each, nowMs), 0)
    return total === 0 ? 1 / parts.size : usualOf(part, nowMs) / total
  }
  const expectedOf = (part: Part, limit: number, nowMs: number): number => {
    const { demand } = part
    if (demand.isSilent(nowMs)) return 0
    // A part below its guarantee may exceed it by one request.
    const most = limit * shareOf(part, nowMs) + demand.requestSize()
    return Math.min(most, Math.max(demand.asked(nowMs), demand.usual(), demand.requestSize()))
  }
  const needsOfOthers = (part: Part, limit: number, nowMs: number): PartNeed[] => [...parts.values()]
    .filter(each => each !== part)
    .map(each => ({ part: each, expected: expectedOf(each, limit, nowMs) }))
  /**
   * Whether the demand exceeds the guarantee by no more than usual demand varies. Near the limit, small requests would
   * otherwise be rejected while the units that are left are too few for larger ones.
   */
  const isUsualVariation = ({ demand }: Part, guarantee: number, nowMs: number): boolean =>
    demand.asked(nowMs) <= guarantee + USUAL_DEVIATIONS * Math.sqrt(guarantee * demand.requestSize())
  /** Returns how far the demand of a part is beyond its guarantee. Units are lent first to the part that exceeds it least. */
  const excessOf = (part: Part, limit: number, nowMs: number): number => part.demand.asked(nowMs) / Math.max(1, limit * shareOf(part, nowMs))
  /**
   * Returns what a part leaves free beyond the expected needs of the others. One that exceeds its guarantee by the usual
   * variation leaves little, since otherwise it would be rejected while units are left; at twice its guarantee, all of it.
   */
  const headroomFor = (excess: number, needs: readonly PartNeed[]): number => {
    const variance = needs.reduce((sum, { part, expected }) => sum + expected * part.demand.requestSize(), 0)
    return HEADROOM_DEVIATIONS * Math.sqrt(variance) * Math.min(1, Math.max(0, excess - 1))
  }
  /**
   * Returns the units promised to callers whose turn is before that of this request: those of its own part, and for units
   * that are lent also those of parts that exceed their guarantees less.
   */
  const promisedBefore = (ask: PartAsk, partClass: PartClass, limit: number, nowMs: number, due: UnitPromise | undefined): number => {
    const excesses = new Map(partClass === 'lent' ? [...parts].map(([name, part]) => [name, excessOf(part, limit, nowMs)]) : [])
    const excess = excesses.get(ask.part) ?? 0
    const isBefore = (each: UnitPromise): boolean => each.part === ask.part || (partClass === 'lent' && (excesses.get(each.part) ?? 0) <= excess)
    return promises.promisedUnits(nowMs, isBefore, due)
  }
  /** Returns a function of the units left for the part after a delay if the other parts spend what is expected meanwhile. */
  const roomFor = (part: Part, needs: readonly PartNeed[], limit: number, spending: Pick<SlidingWindowCounter, 'remainingAfter'>, nowMs: number) => (delayMs: number): number => {
    const ownSpent = part.spending.remainingAfter(delayMs, nowMs)
    const spentByOthers = needs.map(each => each.part.spending.remainingAfter(delayMs, nowMs))
    const neededByOthers = needs.reduce((sum, { expected }, index) => sum + Math.max(expected, spentByOthers[index]!), 0)
    // Spending that no part knows of: from a record of an earlier home, or reported by other instances.
    const unattributed = Math.max(0, spending.remainingAfter(delayMs, nowMs) - ownSpent - spentByOthers.reduce((sum, units) => sum + units, 0))
    return limit - ownSpent - neededByOthers - unattributed
  }
  /** Returns the time until there is room for the units, in milliseconds; a whole window if there is none before. */
  const msUntilRoom = (units: number, roomAfter: (delayMs: number) => number, nowMs: number): number => {
    const firstMs = msUntilNextExpiry(windowMs, nowMs)
    let [low, high] = [0, Math.ceil(windowMs / SLOT_MS)]
    while (low < high) {
      const middle = Math.floor((low + high) / 2)
      if (roomAfter(firstMs + middle * SLOT_MS) >= units) high = middle
      else low = middle + 1
    }
    return Math.min(windowMs, firstMs + low * SLOT_MS)
  }
  /** Returns the retry time, and promises the units if the caller is expected to return for them. */
  const promise = (ask: PartAsk, units: number, untilRoomMs: number, isReturned: boolean): number => {
    const waitMs = untilRoomMs + random() * Math.max(MIN_JITTER_MS, untilRoomMs * JITTER_RATIO)
    const nowMs = clock.monotonic()
    // Callers retry once. A session that already had its equal share of a short part waits behind the others.
    const returns = ask.caller !== undefined && !isReturned && untilRoomMs < windowMs && waitMs <= (ask.patienceMs ?? Infinity)
    if (returns && !partOf(ask.part).sessions.isAboveShare(ask.session, nowMs)) promises.add({ caller: ask.caller!, part: ask.part, units, dueMs: nowMs + waitMs })
    return waitMs
  }

  return {
    recordAsked: (ask, units) => {
      const nowMs = clock.monotonic()
      learn(nowMs)
      if (promises.findDue(ask.caller, nowMs) === undefined) partOf(ask.part).demand.recordAsked(units, nowMs)
    },
    mayTake: (ask, units, limit, spending) => {
      const nowMs = clock.monotonic()
      learn(nowMs)
      const part = partOf(ask.part)
      const guarantee = limit * shareOf(part, nowMs)
      const partSpent = part.spending.spent(nowMs)
      // One request in each window is granted to any part, so that rare routes and large requests do not starve.
      const partClass: PartClass = partSpent < guarantee || partSpent === 0 || isUsualVariation(part, guarantee, nowMs) ? 'within' : 'lent'
      const due = promises.findDue(ask.caller, nowMs)
      const promised = promisedBefore(ask, partClass, limit, nowMs, due)
      if (due !== undefined) promises.remove(due)
      const spent = spending.remainingAfter(0, nowMs)
      const decision = { partClass, guarantee, partSpent, waitMs: 0 }
      if (spent === 0 || (partClass === 'within' && spent + units + promised <= limit)) return decision
      const needs = needsOfOthers(part, limit, nowMs)
      const roomAfter = roomFor(part, needs, limit, spending, nowMs)
      const headroom = partClass === 'lent' ? headroomFor(excessOf(part, limit, nowMs), needs) : 0
      const kept = promised + headroom * (due === undefined ? 1 : RETURN_HEADROOM_RATIO)
      if (partClass === 'lent' && spent + units <= limit && roomAfter(0) - kept >= units) return decision
      const untilRoomMs = msUntilRoom(units + promised + headroom, roomAfter, nowMs)
      return { ...decision, waitMs: promise(ask, units, untilRoomMs, due !== undefined) }
    },
    recordSpent: (ask, units) => {
      const nowMs = clock.monotonic()
      const part = partOf(ask.part)
      part.spending.record(units, nowMs)
      part.sessions.recordSpent(ask.session, units, nowMs)
    },
    refund: (part, units) => partOf(part).spending.refund(units, clock.monotonic())
  }
}
