/**
 * Which models to load and unload next. Pattern: half of the worth lies in models that are each asked for once in
 * half a minute, and of which a fleet of engines holds a third; the other half in a few busy ones, which change.
 */
import type { ModelSpec } from '../types'

/** Where an engine would take a model's weights from, quickest first. */
export type WeightTier = 'memory' | 'disk' | 'store'

export interface EnginePlan {
  id: string
  /** What it holds or is loading, less what it is unloading. */
  models: readonly string[]
  freeMb: number
  /** An order is being carried out; 0 when none is, else milliseconds until it is done. */
  busyMs: number
  /** What is being carried out is a load from the weight store. */
  isFetching: boolean
  isSound: boolean
  copies: { memory: readonly string[], disk: readonly string[] }
  /** Requests under way for each model. */
  inFlight: ReadonlyMap<string, number>
  slots: number
}

export interface ModelNeed {
  model: string
  /** Requests a second over the fleet. */
  rate: number
  /** Requests that wait since no engine has it. */
  waiting: number
  /** How long the first of them has waited, milliseconds. */
  waitedMs: number
  inFlight: number
  /** The same, averaged over some seconds. */
  steadyInFlight: number
  /** Since the last request, milliseconds. */
  idleMs: number
}

export interface PlacementPlanInput {
  engines: readonly EnginePlan[]
  needs: readonly ModelNeed[]
  specs: ReadonlyMap<string, ModelSpec>
  /** Loads from the weight store that may begin now. */
  storeLoads: number
}

export type PlanStep =
  | { kind: 'load', engine: string, model: string, tier: WeightTier, reason: 'waiting' | 'more-replicas' }
  | { kind: 'unload', engine: string, model: string, inFavourOf: string, alsoUnload: readonly string[] }

/** Part of an engine's slots that one model's streams may take before it gets another replica. */
const REPLICA_LOAD_PART = 0.3
/**
 * From this part of its engines' slots on, streams of a model are late by what they wait for each other. Each stream
 * beyond counts as much as one that waits for a model that nobody has: where 28 models wait at a time, a busy one would
 * else stay on its one engine, with twenty callers a second, for as long as any of them does.
 */
const CROWDED_PART = 0.6
/** A swap takes about so long, and who asks meanwhile is refused, milliseconds. */
const COMING_MS = 2500
/** A model that is asked for this often loses several callers a second when its only engine goes, requests a second. */
const BUSY_RATE = 1.5
/** An unload without runs under way takes about this long, milliseconds. */
const UNLOAD_MS = 100
/** A run under way holds up an unload for about this long, milliseconds. */
const RUN_MS = 3500
/** A model that was asked for within this time is likely to be asked for again, milliseconds. */
const RECENT_MS = 1500
/** What a request that finds its model gone costs, in milliseconds of waiting: the time to load it again. */
const RELOAD_MS = 2000
/**
 * What a load for one waiting request is worth, in milliseconds of waiting, growing by as much again in each further
 * span of `GAIN_DOUBLES_MS`. Where 28 models wait and each has taken an engine, only the last replica of a busy model
 * is left to give up: one request would be served, and each of the twenty that come in a second turned back until the
 * model is loaded again. A model that is asked for less than about once a second may go.
 */
const GAIN_MS = 5000
const GAIN_DOUBLES_MS = 4000
/**
 * Part of the engines that may be loading replicas from the weight store at once. Such a load takes six seconds and
 * more, in which the engine gives nothing of its own disk; with none at all, a model that became busy stays on its
 * one engine all day, and most of its streams are late.
 */
const FETCHING_PART = 1 / 6
/**
 * Such loads begin only while more than this part of the engines have nothing to do: of six engines, each of which takes
 * two seconds to swap a model, eight loads more in a day made patient requests late that a disk could have served
 * (34 of 64 in time became 20).
 */
const SPARE_PART = 1 / 2

export function tierOf (engine: Pick<EnginePlan, 'copies'>, model: string): WeightTier {
  if (engine.copies.memory.includes(model)) return 'memory'
  return engine.copies.disk.includes(model) ? 'disk' : 'store'
}

interface Option {
  engine: EnginePlan
  tier: WeightTier
  victims: readonly string[]
  /** Until the model would be ready, and what the victims' absence costs, milliseconds. */
  cost: number
}

/** Models that make room at an engine when given up together. */
interface VictimSet {
  victims: readonly string[]
  /** Until they are unloaded, milliseconds. */
  delayMs: number
  /** What their absence costs, milliseconds of waiting. */
  lost: number
}

const NO_VICTIMS: VictimSet = { victims: [], delayMs: 0, lost: 0 }

/** The steps to take now, at most one for an engine. */
export function planSteps (input: PlacementPlanInput): PlanStep[] {
  const engines = new Map(input.engines.filter(engine => engine.isSound).map(engine => [engine.id, engine]))
  const engineCount = engines.size
  const needs = new Map(input.needs.map(need => [need.model, need]))
  let storeLoads = input.storeLoads
  const steps: PlanStep[] = []
  const replicasOf = new Map<string, number>()
  input.engines.filter(engine => engine.isSound).flatMap(engine => engine.models).forEach(model => replicasOf.set(model, (replicasOf.get(model) ?? 0) + 1))
  const replicas = (model: string): number => replicasOf.get(model) ?? 0

  const take = (option: Option, model: string, reason: 'waiting' | 'more-replicas'): void => {
    engines.delete(option.engine.id)
    // The best place has an order under way: waiting for it is quicker than any other.
    if (option.engine.busyMs > 0) return
    const [victim, ...alsoUnload] = option.victims
    if (victim !== undefined) {
      steps.push({ kind: 'unload', engine: option.engine.id, model: victim, inFavourOf: model, alsoUnload })
      return
    }
    if (option.tier === 'store') storeLoads -= 1
    steps.push({ kind: 'load', engine: option.engine.id, model, tier: option.tier, reason })
  }
  const victimSetsAt = createVictimSets(input, needs, replicas)
  /** Looks at each engine and each way to make room there: some hundred thousand a second at 63 engines, so it keeps no lists. */
  const best = (model: string, maxLost: number): Option | undefined => {
    const spec = input.specs.get(model)
    if (spec === undefined) return undefined
    let found: Option | undefined
    engines.forEach(engine => {
      const tier = tierOf(engine, model)
      if ((tier === 'store' && storeLoads <= 0) || engine.models.includes(model)) return
      const loadMs = engine.busyMs + spec.loadMs[tier]
      victimSetsAt(engine, spec.weightsMb).forEach(({ victims, delayMs, lost }) => {
        const cost = loadMs + delayMs + lost
        if (lost <= maxLost && (found === undefined || cost < found.cost)) found = { engine, tier, victims, cost }
      })
    })
    return found
  }

  const slots = Math.max(1, ...input.engines.map(engine => engine.slots))
  const urgencyOf = (need: ModelNeed): number => replicas(need.model) === 0
    ? urgency(need)
    : Math.floor(need.steadyInFlight - replicas(need.model) * slots * CROWDED_PART)
  input.needs
    .map(need => ({ need, urgency: urgencyOf(need) }))
    .filter(({ urgency }) => urgency >= 1)
    .sort((left, right) => right.urgency - left.urgency || right.need.waitedMs - left.need.waitedMs)
    .forEach(({ need, urgency }) => {
      const option = best(need.model, gainOf(urgency, need.waitedMs))
      if (option !== undefined) take(option, need.model, replicas(need.model) === 0 ? 'waiting' : 'more-replicas')
    })
  // What is added for a crowd that is not late yet must leave most engines free for what their disks have.
  const idle = [...engines.values()].filter(engine => engine.busyMs === 0).length
  const hasSpare = idle > engineCount * SPARE_PART
  let fetches = hasSpare ? Math.max(1, Math.floor(engineCount * FETCHING_PART)) - input.engines.filter(engine => engine.isFetching).length : 0
  input.needs
    .filter(need => replicas(need.model) > 0 && replicas(need.model) < wantedReplicas(need, input.engines))
    .sort((left, right) => right.inFlight - left.inFlight)
    .forEach(need => {
      // A replica more makes streams a little quicker; a model that somebody is about to ask for must not go for it.
      const option = best(need.model, RELOAD_MS)
      if (option === undefined) return
      if (option.tier === 'store') {
        if (fetches <= 0 || replicas(need.model) >= replicasForLoad(need.steadyInFlight, input.engines)) return
        fetches -= 1
      }
      take(option, need.model, 'more-replicas')
    })
  return steps
}

function gainOf (urgency: number, waitedMs: number): number {
  return urgency * GAIN_MS * (1 + waitedMs / GAIN_DOUBLES_MS)
}

/**
 * Requests that a load would serve: those that wait, and those that come while it takes place. Callers of a busy model
 * are refused at once and come again; by the longest wait alone it would stand behind each model that one caller waits
 * for, and hundreds would be refused meanwhile. Of models that one waits for, the first comes first.
 */
function urgency (need: ModelNeed): number {
  return Math.min(1, need.waiting) + Math.floor(need.rate * COMING_MS / 1000)
}

/** Replicas that a model's load asks for; of a busy one a second, since engines are taken away without notice. */
export function wantedReplicas (need: ModelNeed, engines: readonly EnginePlan[]): number {
  const forLoss = need.rate >= BUSY_RATE ? 2 : 1
  return Math.min(engines.length, Math.max(replicasForLoad(need.inFlight, engines), forLoss))
}

function replicasForLoad (inFlight: number, engines: readonly EnginePlan[]): number {
  const slots = Math.max(1, ...engines.map(engine => engine.slots))
  return Math.ceil(inFlight / (slots * REPLICA_LOAD_PART))
}

/**
 * What may be given up at an engine for a model of some size: one model, or two where one is not enough. Engines full of
 * smaller models would else never take a large one: a busy one stayed on its one engine for thirty seconds, p50 2 s,
 * beside twelve engines of which each would have had to give up two. Worked out once for each engine and size, of which
 * there are few: for each need anew it took a third of the leader's processor at 63 engines.
 */
function createVictimSets (input: PlacementPlanInput, needs: ReadonlyMap<string, ModelNeed>, replicas: (model: string) => number): (engine: EnginePlan, weightsMb: number) => readonly VictimSet[] {
  const known = new Map<EnginePlan, Map<number, readonly VictimSet[]>>()
  const sizeOf = (model: string): number => input.specs.get(model)?.weightsMb ?? 0
  const setOf = (engine: EnginePlan, victims: readonly string[]): VictimSet => {
    const running = (model: string): number => engine.inFlight.get(model) ?? 0
    const holdUpMs = victims.some(model => running(model) > 0) ? RUN_MS : 0
    const lost = victims.map(model => victimCost(model, running(model), needs.get(model), replicas(model), engine.slots))
    return { victims, delayMs: victims.length * UNLOAD_MS + holdUpMs, lost: lost.reduce((sum, each) => sum + each, 0) }
  }
  const find = (engine: EnginePlan, weightsMb: number): VictimSet[] => {
    if (engine.freeMb >= weightsMb) return [NO_VICTIMS]
    const isEnough = (...victims: string[]): boolean => victims.reduce((sum, model) => sum + sizeOf(model), engine.freeMb) >= weightsMb
    const singles = engine.models.filter(model => isEnough(model))
    const others = engine.models.filter(model => !isEnough(model))
    const pairs = others.flatMap((one, index) => others.slice(index + 1).map(other => [one, other] as const)).filter(pair => isEnough(...pair))
    return [...singles.map(model => [model]), ...pairs]
      .map(victims => setOf(engine, victims))
      .filter(({ lost }) => Number.isFinite(lost))
  }
  return (engine, weightsMb) => {
    const bySize = known.get(engine) ?? new Map<number, readonly VictimSet[]>()
    known.set(engine, bySize)
    const sets = bySize.get(weightsMb) ?? find(engine, weightsMb)
    bySize.set(weightsMb, sets)
    return sets
  }
}

/** What the absence of a replica costs, in milliseconds of waiting over the next seconds. */
function victimCost (model: string, running: number, need: ModelNeed | undefined, replicas: number, slots: number): number {
  if (need === undefined) return 0
  if (need.waiting > 0) return Infinity
  const isRecent = need.idleMs < RECENT_MS
  // The last replica: everybody who asks waits for it to come back. One of several: the others take its load.
  if (replicas <= 1) return need.rate * RELOAD_MS * RELOAD_MS / 1000 + (isRecent ? RELOAD_MS : 0) + need.inFlight * RELOAD_MS
  const loadElsewhere = need.inFlight / (replicas - 1) / (slots * REPLICA_LOAD_PART)
  return running * RUN_MS / 2 + (loadElsewhere > 1 ? Infinity : loadElsewhere * RELOAD_MS)
}
