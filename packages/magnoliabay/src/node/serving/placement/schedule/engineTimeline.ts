/**
 * The booked time of each engine within one schedule: which swap it runs when, and which models it has afterwards. Swaps
 * of one engine follow each other, since it carries out one order at a time.
 */
import type { ModelSpec } from '../../types'
import type { EngineSnapshot, WeightTier } from '../plan'
import { ARRIVAL_MS } from './freshModels'

/** An engine as the schedule sees it: `models` and `freeMb` are those after its orders, which end in `busyMs`. */
export interface ScheduledEngine extends EngineSnapshot {
  /** Time until which a model stays for the requests that waited for it, milliseconds; models that may go are absent. */
  heldMs: ReadonlyMap<string, number>
}

/** A change of models on one engine. All times are relative to the moment of the schedule, milliseconds. */
export interface Swap {
  engine: string
  model: string
  modelsToUnload: readonly string[]
  startMs: number
  readyMs: number
  tier: WeightTier
}

/** A model on an engine. */
interface Resident {
  model: string
  sizeMb: number
  /** Earliest time of its unload, milliseconds. */
  freeFromMs: number
  /** Time at which its running requests are expected to have ended, milliseconds. */
  drainedMs: number
  /** Loss by its unload; undefined until it is needed, and after another replica of the model is to be unloaded. */
  lossMs: number | undefined
}

interface Timeline {
  engine: ScheduledEngine
  freeAtMs: number
  freeMb: number
  residents: readonly Resident[]
}

/** A possible swap. `costMs`: time until it is ready plus the loss by the unloaded models, milliseconds of waiting. */
export interface SwapOption extends Swap {
  costMs: number
}

/** What a model that is to be loaded brings. */
export interface LoadDemand {
  model: string
  rate: number
  /** Requests that the load would serve. */
  served: number
  waitedMs: number
  /** Engines that get no replica for these requests. @default none */
  unusableOn?: ReadonlySet<string>
}

export interface EngineTimelinesOptions {
  engines: readonly ScheduledEngine[]
  specs: ReadonlyMap<string, ModelSpec>
  /** Loads from the weight store that may begin now. */
  allowedStoreLoads: number
  /** Factor by which a load from the weight store takes longer, because of those that run. */
  storeSlowdown: number
  /** Mean duration of a request, milliseconds. */
  runMs: number
  /** Loss by unloading a replica of a model, milliseconds of waiting. */
  lossMsOf: (model: string, engine: ScheduledEngine) => number
}

export interface EngineTimelines {
  /** Returns the swap that costs least, or undefined if no engine can take the model. */
  findSwap (demand: LoadDemand): SwapOption | undefined
  book (swap: SwapOption): void
  /** Shortest time in which an engine that is free now could load the model, milliseconds. */
  shortestLoadMs (model: string): number
  swaps (): ReadonlyMap<string, readonly Swap[]>
  /** Sum of the booked engine time, milliseconds. */
  bookedMs (): number
}

/** Duration of an unload without running requests, milliseconds. */
export const UNLOAD_MS = 100
/**
 * Gain of a load for one waiting request, in milliseconds of waiting; it grows by the same amount in each further
 * `GAIN_INCREASE_INTERVAL_MS`. It bounds what may be unloaded: a busy model stays, unless a request has waited for long.
 */
const LOAD_GAIN_MS = 5000
const GAIN_INCREASE_INTERVAL_MS = 4000
/** Expected wait until the weight store allows another load, if none may begin and none is known to run, milliseconds. */
const STORE_RETRY_MS = 1000

const WITHOUT_EVICTION: ReadonlyArray<readonly Resident[]> = [[]]

interface Candidate {
  timeline: Timeline
  tier: WeightTier
}

const mbOf = (residents: readonly Resident[]): number => residents.reduce((sum, { sizeMb }) => sum + sizeMb, 0)

/** Returns the sets of one or two models that free enough memory; a pair only where neither alone is enough. */
function evictionSets ({ freeMb, residents }: Timeline, sizeMb: number): ReadonlyArray<readonly Resident[]> {
  if (freeMb >= sizeMb) return WITHOUT_EVICTION
  const sets: Array<readonly Resident[]> = []
  for (let index = 0; index < residents.length; index += 1) {
    const one = residents[index]!
    if (freeMb + one.sizeMb >= sizeMb) {
      sets.push([one])
      continue
    }
    for (let next = index + 1; next < residents.length; next += 1) {
      const other = residents[next]!
      if (freeMb + other.sizeMb < sizeMb && freeMb + one.sizeMb + other.sizeMb >= sizeMb) sets.push([one, other])
    }
  }
  return sets
}

function hasModel ({ residents }: Timeline, model: string): boolean {
  for (const resident of residents) if (resident.model === model) return true
  return false
}

/** Returns the time from which a load's gain exceeds the loss, milliseconds; it grows as requests wait. */
function worthwhileFromMs (lossMs: number, { served, waitedMs }: LoadDemand): number {
  return (lossMs / (Math.max(1, served) * LOAD_GAIN_MS) - 1) * GAIN_INCREASE_INTERVAL_MS - waitedMs
}

export function createEngineTimelines (options: EngineTimelinesOptions): EngineTimelines {
  const { specs, runMs, storeSlowdown } = options
  const sizeOf = (model: string): number => specs.get(model)?.weightsMb ?? 0
  const residentOf = (engine: ScheduledEngine, model: string): Resident => ({
    model,
    sizeMb: sizeOf(model),
    freeFromMs: engine.heldMs.get(model) ?? 0,
    drainedMs: (engine.inFlight.get(model) ?? 0) > 0 ? runMs : 0,
    lossMs: undefined
  })
  const timelines = options.engines.filter(engine => engine.isResponding && Number.isFinite(engine.busyMs)).map((engine): Timeline => ({
    engine,
    freeAtMs: engine.busyMs,
    freeMb: engine.freeMb,
    residents: engine.models.map(model => residentOf(engine, model))
  }))
  /** Times at which the weight store allows another load, milliseconds. */
  const storeFreeAtMs = [
    ...Array.from({ length: options.allowedStoreLoads }, () => 0),
    ...options.engines.filter(engine => engine.isLoadingFromStore).map(engine => engine.busyMs)
  ]
  if (storeFreeAtMs.length === 0) storeFreeAtMs.push(STORE_RETRY_MS)
  let nextStoreLoadMs = Math.min(...storeFreeAtMs)
  const bookStoreLoad = (untilMs: number): void => {
    storeFreeAtMs[storeFreeAtMs.indexOf(nextStoreLoadMs)] = untilMs
    nextStoreLoadMs = Math.min(...storeFreeAtMs)
  }
  const timelineOf = new Map(timelines.map(timeline => [timeline.engine.id, timeline]))
  const storeCandidates: readonly Candidate[] = timelines.map(timeline => ({ timeline, tier: 'store' }))
  const candidatesByModel = new Map<string, Candidate[]>()
  const addCopies = (timeline: Timeline, tier: WeightTier, models: readonly string[]): void => models.forEach(model => {
    const candidates = candidatesByModel.get(model)
    if (candidates === undefined) candidatesByModel.set(model, [{ timeline, tier }])
    // An engine's copies are added one tier after the other, the quickest first.
    else if (candidates.at(-1)!.timeline !== timeline) candidates.push({ timeline, tier })
  })
  timelines.forEach(timeline => {
    addCopies(timeline, 'memory', timeline.engine.copies.memory)
    addCopies(timeline, 'disk', timeline.engine.copies.disk)
  })
  const swaps = new Map<string, Swap[]>()
  let bookedMs = 0

  const loadMsOf = (model: string, tier: WeightTier): number => (specs.get(model)?.loadMs[tier] ?? Infinity) * (tier === 'store' ? storeSlowdown : 1)
  const forgetLoss = (model: string): void => {
    for (const { residents } of timelines) {
      for (const resident of residents) if (resident.model === model) resident.lossMs = undefined
    }
  }
  /** Returns the time at which the swap would begin, and when the model would be ready. */
  const timesOf = ({ timeline, tier }: Candidate, evicted: readonly Resident[], demand: LoadDemand, loadMs: number): Pick<SwapOption, 'startMs' | 'readyMs' | 'costMs'> => {
    let lossMs = 0
    let startMs = timeline.freeAtMs
    let drainedMs = 0
    for (const resident of evicted) {
      resident.lossMs ??= options.lossMsOf(resident.model, timeline.engine)
      lossMs += resident.lossMs
      startMs = Math.max(startMs, resident.freeFromMs)
      drainedMs = Math.max(drainedMs, resident.drainedMs)
    }
    startMs = Math.max(startMs, worthwhileFromMs(lossMs, demand))
    // An engine that waits for the weight store is of use to others meanwhile, so its swap begins later.
    if (tier === 'store') startMs = Math.max(startMs, nextStoreLoadMs - evicted.length * UNLOAD_MS - Math.max(0, drainedMs - startMs))
    const readyMs = startMs + evicted.length * UNLOAD_MS + Math.max(0, drainedMs - startMs) + loadMs
    return { startMs, readyMs, costMs: readyMs + lossMs }
  }
  const canTake = (timeline: Timeline, { model, rate, unusableOn }: LoadDemand): boolean =>
    timeline.engine.spareRequestsPerSecond >= rate && !hasModel(timeline, model) && unusableOn?.has(timeline.engine.id) !== true
  /** Engines that cannot be ready before the best option so far are skipped: a plan has thousands of options. */
  const findAmong = (candidates: readonly Candidate[], demand: LoadDemand): SwapOption | undefined => {
    const sizeMb = sizeOf(demand.model)
    const spec = specs.get(demand.model)
    if (spec === undefined) return undefined
    let best: SwapOption | undefined
    for (const candidate of candidates) {
      const { timeline, tier } = candidate
      const loadMs = spec.loadMs[tier] * (tier === 'store' ? storeSlowdown : 1)
      const unloadMs = timeline.freeMb < sizeMb ? UNLOAD_MS : 0
      if (timeline.freeAtMs + unloadMs + loadMs >= (best?.costMs ?? Infinity) || !canTake(timeline, demand)) continue
      for (const evicted of evictionSets(timeline, sizeMb)) {
        const times = timesOf(candidate, evicted, demand, loadMs)
        if (times.costMs >= (best?.costMs ?? Infinity)) continue
        best = { engine: timeline.engine.id, model: demand.model, tier, modelsToUnload: evicted.map(({ model }) => model), ...times }
      }
    }
    return best
  }
  return {
    findSwap: demand => {
      const copied = findAmong(candidatesByModel.get(demand.model) ?? [], demand)
      const storeMs = loadMsOf(demand.model, 'store')
      // A load from the weight store takes as much engine time as a dozen swaps, so it has to save twice its own time.
      if (copied !== undefined && copied.costMs <= 2 * storeMs) return copied
      const stored = findAmong(storeCandidates, demand)
      return stored === undefined || (copied !== undefined && copied.costMs <= stored.costMs + storeMs) ? copied : stored
    },
    book: ({ costMs: _, ...swap }) => {
      const timeline = timelineOf.get(swap.engine)!
      const evicted = timeline.residents.filter(({ model }) => swap.modelsToUnload.includes(model))
      const resident: Resident = { model: swap.model, sizeMb: sizeOf(swap.model), freeFromMs: swap.readyMs + ARRIVAL_MS, drainedMs: swap.readyMs + runMs, lossMs: undefined }
      swap.modelsToUnload.forEach(forgetLoss)
      timeline.freeAtMs = swap.readyMs
      timeline.freeMb += mbOf(evicted) - resident.sizeMb
      timeline.residents = [...timeline.residents.filter(each => !evicted.includes(each)), resident]
      const booked = swaps.get(swap.engine)
      if (booked === undefined) swaps.set(swap.engine, [swap])
      else booked.push(swap)
      bookedMs += swap.readyMs - swap.startMs
      if (swap.tier === 'store') bookStoreLoad(swap.readyMs)
    },
    shortestLoadMs: model => (candidatesByModel.get(model) ?? []).reduce((shortest, { tier }) => Math.min(shortest, loadMsOf(model, tier)), loadMsOf(model, 'store')),
    swaps: () => swaps,
    bookedMs: () => bookedMs
  }
}
