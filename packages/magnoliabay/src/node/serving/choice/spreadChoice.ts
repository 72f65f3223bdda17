/**
 * Chooses an engine at random among those that serve the request about equally soon, weighted by their free places.
 * Many instances decide on the same view, which is up to half a second old; if each of them sent to the best engine, all
 * requests of that time would go to one engine.
 */
import { chooseServer, loadWithPenalties } from '../chooseServer'
import type { Candidate } from '../chooseServer'

export interface SpreadCandidate extends Candidate {
  /** Requests that the engine holds, running and queued, before it rejects one. */
  places: number
  /** Rejected a request of this instance a short time ago. */
  isRejecting: boolean
  /** Time of a request relative to the mean over all engines: 2 takes twice as long. */
  speed: number
  /** Predicted time to the first event, milliseconds. */
  startMs: number
  /** Whether the gaps between the events of a stream are expected to meet the objective of its route. */
  meetsGap: boolean
}

export interface SpreadOptions {
  /** Time to the first event that meets the latency objective, milliseconds. @default Infinity */
  objectiveMs?: number
  /** Part of the requests at an engine that end, and of new ones that arrive, within the age of the view. @default 0.25 */
  turnover?: number
}

/**
 * `free`: can start the request at once. `free-slow`: the same, with gaps over the objective. `queued`: has to queue it.
 * `full`: has no place for it. `silent`: does not respond.
 */
export type EngineClass = 'free' | 'free-slow' | 'queued' | 'full' | 'silent'

export interface SpreadChoice {
  chosen: SpreadCandidate
  engineClass: EngineClass
}

/** Candidates whose predicted time is later than the best by up to this part of the latency objective count as equal. */
const MARGIN_RATIO = 0.5
/** The same without an objective, milliseconds. */
const DEFAULT_MARGIN_MS = 250
/**
 * Streams run for two seconds or longer, and the view is up to half a second old, so about this part of an engine's
 * requests has ended by the time of a decision.
 */
const DEFAULT_TURNOVER = 0.25
/**
 * Traffic between failure domains is billed. Near engines are preferred while the free part of their slots is smaller than
 * that of the others by no more than this.
 */
const NEAR_BONUS = 0.15

const sum = (numbers: readonly number[]): number => numbers.reduce((total, each) => total + each, 0)
const freeSlots = (candidate: SpreadCandidate): number => candidate.slots - loadWithPenalties(candidate)
const runningOf = ({ load, slots }: SpreadCandidate): number => Math.min(load, slots)

export function classOf (candidate: SpreadCandidate): EngineClass {
  if (candidate.isSilent) return 'silent'
  if (candidate.isRejecting || candidate.load >= candidate.places) return 'full'
  if (freeSlots(candidate) <= 0) return 'queued'
  return candidate.meetsGap ? 'free' : 'free-slow'
}

/** Returns one candidate with a probability in proportion to its weight. */
function pickWeighted (candidates: readonly SpreadCandidate[], weightOf: (candidate: SpreadCandidate) => number, random: number): SpreadCandidate | undefined {
  const weights = candidates.map(candidate => Math.max(0, weightOf(candidate)))
  let rest = random * sum(weights)
  const index = weights.findIndex(weight => {
    rest -= weight
    return rest < 0
  })
  return candidates[index]
}

/** Returns the candidates whose predicted time is within the margin of the best, and within the objective if the best is. */
function withinMargin (candidates: readonly SpreadCandidate[], objectiveMs: number): readonly SpreadCandidate[] {
  const bestMs = Math.min(...candidates.map(({ startMs }) => startMs))
  const marginMs = objectiveMs === Infinity ? DEFAULT_MARGIN_MS : objectiveMs * MARGIN_RATIO
  const latestMs = bestMs > objectiveMs ? bestMs + marginMs : Math.min(bestMs + marginMs, objectiveMs)
  return candidates.filter(({ startMs }) => startMs <= latestMs)
}

/** Returns the near candidates alone if they have room for their part of the requests, and otherwise all. */
function preferNear (candidates: readonly SpreadCandidate[], turnover: number): readonly SpreadCandidate[] {
  const near = candidates.filter(({ isNear }) => isNear)
  const far = candidates.filter(({ isNear }) => !isNear)
  if (near.length === 0 || far.length === 0) return candidates
  const freePart = (group: readonly SpreadCandidate[]): number => sum(group.map(freeSlots)) / sum(group.map(({ slots }) => slots))
  const hasRoom = sum(near.map(freeSlots)) >= turnover * sum(near.map(runningOf))
  return hasRoom && freePart(near) >= freePart(far) - NEAR_BONUS ? near : candidates
}

interface Groups {
  free: readonly SpreadCandidate[]
  queued: readonly SpreadCandidate[]
}

/**
 * Engines with a free slot get the request. If these slots are fewer than the requests that arrive within the age of the
 * view, some of the engines that appear to be full have a free slot by now as well, and share in proportion.
 */
function chooseFree ({ free, queued }: Groups, objectiveMs: number, turnover: number, random: number): SpreadCandidate | undefined {
  const soonest = withinMargin(free, objectiveMs)
  const others = queued.filter(({ meetsGap }) => meetsGap)
  const expectedArrivals = turnover * sum([...soonest, ...others].map(runningOf))
  const isScarce = sum(soonest.map(freeSlots)) < expectedArrivals
  if (!isScarce) return pickWeighted(preferNear(soonest, turnover), candidate => freeSlots(candidate) / candidate.speed, random)
  return pickWeighted([...soonest, ...others], candidate => (freeSlots(candidate) + turnover * candidate.slots) / candidate.speed, random)
}

function chooseQueued (queued: readonly SpreadCandidate[], objectiveMs: number, random: number): SpreadCandidate | undefined {
  return pickWeighted(withinMargin(queued, objectiveMs), ({ places, load, speed }) => (places - load) / speed, random)
}

/** Returns undefined without candidates. `random` is from 0 to below 1. */
export function chooseBySpread (candidates: readonly SpreadCandidate[], random: number, { objectiveMs = Infinity, turnover = DEFAULT_TURNOVER }: SpreadOptions = {}): SpreadChoice | undefined {
  const inClass = (engineClass: EngineClass): SpreadCandidate[] => candidates.filter(candidate => classOf(candidate) === engineClass)
  const [free, freeSlow, queued, full, silent] = (['free', 'free-slow', 'queued', 'full', 'silent'] as const).map(inClass) as [SpreadCandidate[], SpreadCandidate[], SpreadCandidate[], SpreadCandidate[], SpreadCandidate[]]
  const queuedInTime = queued.filter(({ meetsGap, startMs }) => meetsGap && startMs <= objectiveMs)
  const leastLoaded = (group: readonly SpreadCandidate[]): SpreadCandidate | undefined => group.find(({ id }) => id === chooseServer(group, random)?.id)
  const attempts: Array<() => SpreadCandidate | undefined> = [
    () => free.length === 0 ? undefined : chooseFree({ free, queued }, objectiveMs, turnover, random),
    () => chooseQueued(queuedInTime, objectiveMs, random),
    () => chooseFree({ free: freeSlow, queued: [] }, objectiveMs, turnover, random),
    () => chooseQueued(queued, objectiveMs, random),
    () => leastLoaded(full),
    () => leastLoaded(silent)
  ]
  for (const attempt of attempts) {
    const chosen = attempt()
    if (chosen !== undefined) return { chosen, engineClass: classOf(chosen) }
  }
  return undefined
}
