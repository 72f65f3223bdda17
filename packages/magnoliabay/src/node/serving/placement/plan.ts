/**
 * Plans which models to load and unload next. Expected load: half of the value comes from models that are each requested
 * once in half a minute, of which the engines together hold a third; the other half comes from a few busy models, which
 * change over time.
 */
import type { ModelSpec } from '../types'

/** Expected duration of a swap of models on one engine, milliseconds: an unload and a load from disk. */
export const MODEL_SWAP_MS = 2000

/** Where an engine loads a model's weights from, quickest first. */
export type WeightTier = 'memory' | 'disk' | 'store'

export interface EngineSnapshot {
  id: string
  /** Models that it has loaded or is loading, without those that it is unloading. */
  models: readonly string[]
  freeMb: number
  /** Time until its pending order is done, milliseconds; 0 if it has none. */
  busyMs: number
  isLoadingFromStore: boolean
  isResponding: boolean
  copies: { memory: readonly string[], disk: readonly string[] }
  /** Request rate that it can take beyond that for its own models, per second; Infinity if it states no limit. */
  spareRequestsPerSecond: number
  /** Requests in flight for each model. */
  inFlight: ReadonlyMap<string, number>
  slots: number
}

export interface ModelNeed {
  model: string
  /** Requests per second over the fleet. */
  rate: number
  /** Requests that wait because no engine has the model. */
  waiting: number
  /** Time for which the first of them has waited, milliseconds. */
  waitedMs: number
  inFlight: number
  /** `inFlight` averaged over some seconds. */
  averageInFlight: number
  /** Time since the last request, milliseconds. */
  idleMs: number
  /** Engines whose replica does not count, and that get none: it could not take the model's requests. */
  unusableOn: ReadonlySet<string>
  /** Whether streams that were broken off wait for the model at engines of their software version. @default false */
  awaitsVersion?: boolean
}

export interface PlacementPlanInput {
  engines: readonly EngineSnapshot[]
  needs: readonly ModelNeed[]
  specs: ReadonlyMap<string, ModelSpec>
  /** Loads from the weight store that may begin now. */
  allowedStoreLoads: number
  /**
   * Whether models that no engine has are loaded; not where the load schedule does so.
   *
   * @default true
   */
  loadsWaiting?: boolean
}

export type PlanStep =
  | { kind: 'load', engine: string, model: string, tier: WeightTier, reason: 'waiting' | 'more-replicas' }
  | { kind: 'unload', engine: string, model: string, inFavourOf: string, alsoUnload: readonly string[] }

/** Fraction of an engine's slots that one model's streams may take before it gets another replica. */
const REPLICA_LOAD_RATIO = 0.3
/**
 * Fraction of its engines' slots above which a model's streams miss their latency target because they wait for each
 * other. Each stream above it counts like a request that waits for a model that no engine has: with 28 models waiting at
 * a time, a busy model with twenty callers per second would otherwise stay on one engine as long as any of them waits.
 */
const CROWDED_RATIO = 0.6
/**
 * Approximate duration of a swap, milliseconds; requests that arrive meanwhile are refused, so they count towards
 * urgency.
 */
const ARRIVAL_WINDOW_MS = 2500
/**
 * Request rate from which a model gets two replicas: when its only engine ends, several callers per second are refused.
 */
const BUSY_REQUESTS_PER_SECOND = 1.5
/**
 * Requests that a stream which was broken off counts for in the order of loads: it has less time left than a new request, only engines
 * of its version may continue it, and what its caller has received is lost with it.
 */
const RESUMED_STREAM_REQUESTS = 3
/** Approximate duration of an unload with no running requests, milliseconds. */
const UNLOAD_MS = 100
/** Approximate time for which a running request delays an unload, milliseconds. */
const RUNNING_REQUEST_MS = 3500
/** A model that was requested within this time is likely to be requested again, milliseconds. */
const RECENT_USE_MS = 1500
/** Cost of a request whose model was unloaded, in milliseconds of waiting: the time to load it again. */
const MODEL_RELOAD_MS = 2000
/**
 * Gain of a load for one waiting request, in milliseconds of waiting; it grows by the same amount in each further
 * `GAIN_INCREASE_INTERVAL_MS`. The bound protects a busy model when 28 models wait and each has taken an engine, so that
 * only the busy model's last replica is left to unload: one request would be served, and each of the twenty per second
 * for the busy model rejected until it is loaded again. A model with less than about one request per second may be
 * unloaded.
 */
const LOAD_GAIN_MS = 5000
const GAIN_INCREASE_INTERVAL_MS = 4000
/**
 * Fraction of the engines that may load replicas from the weight store at once. Such a load takes six seconds or more,
 * during which the engine cannot load from its own disk. With no such loads, a model that became busy stays on one
 * engine all day and most of its streams are late.
 */
const STORE_LOAD_RATIO = 1 / 6
/**
 * Replicas are loaded from the weight store only while more than this fraction of the engines is idle. With six engines,
 * each of which swaps a model in two seconds, eight additional loads in a day delayed patient requests that could have
 * been served from a disk (20 of 64 in time instead of 34).
 */
const MIN_IDLE_RATIO = 1 / 2

export function tierOf (engine: Pick<EngineSnapshot, 'copies'>, model: string): WeightTier {
  if (engine.copies.memory.includes(model)) return 'memory'
  return engine.copies.disk.includes(model) ? 'disk' : 'store'
}

interface PlacementOption {
  engine: EngineSnapshot
  tier: WeightTier
  modelsToUnload: readonly string[]
  /** Time until the model would be ready plus the cost of the unloaded models, milliseconds of waiting. */
  costMs: number
}

/** Models that free enough memory on an engine when unloaded together. */
interface EvictionSet {
  modelsToUnload: readonly string[]
  /** Time until they are unloaded, milliseconds. */
  delayMs: number
  /** Cost of their absence, milliseconds of waiting. */
  evictionCostMs: number
}

const NO_EVICTION: EvictionSet = { modelsToUnload: [], delayMs: 0, evictionCostMs: 0 }

/** Returns the steps to take now, at most one per engine. */
export function planSteps (input: PlacementPlanInput): PlanStep[] {
  const engines = new Map(input.engines.filter(engine => engine.isResponding).map(engine => [engine.id, engine]))
  const engineCount = engines.size
  const needs = new Map(input.needs.map(need => [need.model, need]))
  let storeLoads = input.allowedStoreLoads
  const steps: PlanStep[] = []
  const replicasOf = new Map<string, number>()
  input.engines.filter(engine => engine.isResponding).forEach(engine => engine.models
    .filter(model => !isUnusable(needs.get(model), engine))
    .forEach(model => replicasOf.set(model, (replicasOf.get(model) ?? 0) + 1)))
  const replicas = (model: string): number => replicasOf.get(model) ?? 0

  const takeOption = (option: PlacementOption, model: string, reason: 'waiting' | 'more-replicas'): void => {
    engines.delete(option.engine.id)
    // The best engine has a pending order; waiting for its end is quicker than any other engine.
    if (option.engine.busyMs > 0) return
    const [firstModel, ...alsoUnload] = option.modelsToUnload
    if (firstModel !== undefined) {
      steps.push({ kind: 'unload', engine: option.engine.id, model: firstModel, inFavourOf: model, alsoUnload })
      return
    }
    if (option.tier === 'store') storeLoads -= 1
    steps.push({ kind: 'load', engine: option.engine.id, model, tier: option.tier, reason })
  }
  const evictionSetsFor = createEvictionSets(input, needs, replicas)
  /**
   * Checks each engine and each eviction set: some hundred thousand per second at 63 engines, so no lists are
   * allocated.
   */
  const findBestOption = ({ model, rate, unusableOn }: ModelNeed, maxEvictionCostMs: number): PlacementOption | undefined => {
    const spec = input.specs.get(model)
    if (spec === undefined) return undefined
    let found: PlacementOption | undefined
    engines.forEach(engine => {
      const tier = tierOf(engine, model)
      if ((tier === 'store' && storeLoads <= 0) || engine.models.includes(model) || unusableOn.has(engine.id) || engine.spareRequestsPerSecond < rate) return
      const loadMs = engine.busyMs + spec.loadMs[tier]
      evictionSetsFor(engine, spec.weightsMb).forEach(({ modelsToUnload, delayMs, evictionCostMs: lossMs }) => {
        const costMs = loadMs + delayMs + lossMs
        if (lossMs <= maxEvictionCostMs && (found === undefined || costMs < found.costMs)) found = { engine, tier, modelsToUnload, costMs }
      })
    })
    return found
  }

  const slots = Math.max(1, ...input.engines.map(engine => engine.slots))
  const urgencyOf = (need: ModelNeed): number => replicas(need.model) === 0
    ? urgency(need)
    : Math.floor(need.averageInFlight - replicas(need.model) * slots * CROWDED_RATIO)
  const { loadsWaiting = true } = input
  input.needs
    .filter(need => loadsWaiting || replicas(need.model) > 0)
    .map(need => ({ need, urgency: urgencyOf(need) }))
    .filter(({ urgency }) => urgency >= 1)
    .sort((left, right) => rankOf(right) - rankOf(left) || right.need.waitedMs - left.need.waitedMs)
    .forEach(({ need, urgency }) => {
      const option = findBestOption(need, loadGainMs(urgency, need.waitedMs))
      if (option !== undefined) takeOption(option, need.model, replicas(need.model) === 0 ? 'waiting' : 'more-replicas')
    })
  // Replicas for streams that are not late yet must leave most engines free for loads from their own disks.
  const idleEngines = [...engines.values()].filter(engine => engine.busyMs === 0).length
  const hasEnoughIdle = idleEngines > engineCount * MIN_IDLE_RATIO
  let replicaStoreLoads = hasEnoughIdle ? Math.max(1, Math.floor(engineCount * STORE_LOAD_RATIO)) - input.engines.filter(engine => engine.isLoadingFromStore).length : 0
  input.needs
    .filter(need => replicas(need.model) > 0 && replicas(need.model) < desiredReplicas(need, input.engines))
    .sort((left, right) => right.inFlight - left.inFlight)
    .forEach(need => {
      // Another replica speeds streams up only a little, which does not justify unloading a model that is likely to be
      // requested.
      const option = findBestOption(need, MODEL_RELOAD_MS)
      if (option === undefined) return
      if (option.tier === 'store') {
        if (replicaStoreLoads <= 0 || replicas(need.model) >= replicasForLoad(need.averageInFlight, input.engines)) return
        replicaStoreLoads -= 1
      }
      takeOption(option, need.model, 'more-replicas')
    })
  return steps
}

function isUnusable (need: ModelNeed | undefined, engine: EngineSnapshot): boolean {
  return need?.unusableOn.has(engine.id) ?? false
}

function rankOf ({ need, urgency }: { need: ModelNeed, urgency: number }): number {
  return urgency + (need.awaitsVersion === true ? RESUMED_STREAM_REQUESTS : 0)
}

function loadGainMs (urgency: number, waitedMs: number): number {
  return urgency * LOAD_GAIN_MS * (1 + waitedMs / GAIN_INCREASE_INTERVAL_MS)
}

/**
 * Returns the number of requests that a load would serve: one if any wait, and those that arrive during the load. Callers
 * of a busy model are refused at once and retry, so ordering by the longest wait would put the model behind each model
 * that a single caller waits for, and hundreds would be refused meanwhile. Equal values are ordered by the longest wait.
 */
function urgency (need: ModelNeed): number {
  return Math.min(1, need.waiting) + Math.floor(need.rate * ARRIVAL_WINDOW_MS / 1000)
}

/**
 * Returns the replicas that a model's load needs; at least two if it is busy, since engines are removed without notice.
 */
export function desiredReplicas (need: ModelNeed, engines: readonly EngineSnapshot[]): number {
  const minReplicas = need.rate >= BUSY_REQUESTS_PER_SECOND ? 2 : 1
  return Math.min(engines.length, Math.max(replicasForLoad(need.inFlight, engines), minReplicas))
}

function replicasForLoad (inFlight: number, engines: readonly EngineSnapshot[]): number {
  const slots = Math.max(1, ...engines.map(engine => engine.slots))
  return Math.ceil(inFlight / (slots * REPLICA_LOAD_RATIO))
}

/**
 * Finds the models that an engine can unload to free memory for a model of a given size: one, or two where one is not
 * enough. Without pairs, engines full of smaller models never took a large one: a busy model stayed on one engine for
 * thirty seconds (p50 2 s) although each of twelve others could have unloaded two. Results are cached by engine and size,
 * of which there are few; computing them for each need took a third of the leader's processor at 63 engines.
 */
function createEvictionSets (input: PlacementPlanInput, needs: ReadonlyMap<string, ModelNeed>, replicas: (model: string) => number): (engine: EngineSnapshot, weightsMb: number) => readonly EvictionSet[] {
  const cache = new Map<EngineSnapshot, Map<number, readonly EvictionSet[]>>()
  const sizeOf = (model: string): number => input.specs.get(model)?.weightsMb ?? 0
  const setOf = (engine: EngineSnapshot, modelsToUnload: readonly string[]): EvictionSet => {
    const runningRequests = (model: string): number => engine.inFlight.get(model) ?? 0
    const runningRequestMs = modelsToUnload.some(model => runningRequests(model) > 0) ? RUNNING_REQUEST_MS : 0
    const replicasWith = (model: string): number => replicas(model) + (isUnusable(needs.get(model), engine) ? 1 : 0)
    const costs = modelsToUnload.map(model => evictionCostMs(model, runningRequests(model), needs.get(model), replicasWith(model), engine.slots))
    return { modelsToUnload, delayMs: modelsToUnload.length * UNLOAD_MS + runningRequestMs, evictionCostMs: costs.reduce((sum, each) => sum + each, 0) }
  }
  const find = (engine: EngineSnapshot, weightsMb: number): EvictionSet[] => {
    if (engine.freeMb >= weightsMb) return [NO_EVICTION]
    const freesEnough = (...models: string[]): boolean => models.reduce((sum, model) => sum + sizeOf(model), engine.freeMb) >= weightsMb
    const singles = engine.models.filter(model => freesEnough(model))
    const others = engine.models.filter(model => !freesEnough(model))
    const pairs = others.flatMap((one, index) => others.slice(index + 1).map(other => [one, other] as const)).filter(pair => freesEnough(...pair))
    return [...singles.map(model => [model]), ...pairs]
      .map(modelsToUnload => setOf(engine, modelsToUnload))
      .filter(({ evictionCostMs: lossMs }) => Number.isFinite(lossMs))
  }
  return (engine, weightsMb) => {
    const bySize = cache.get(engine) ?? new Map<number, readonly EvictionSet[]>()
    cache.set(engine, bySize)
    const sets = bySize.get(weightsMb) ?? find(engine, weightsMb)
    bySize.set(weightsMb, sets)
    return sets
  }
}

/** Returns the cost of unloading a replica, in milliseconds of waiting over the next seconds. */
function evictionCostMs (model: string, runningRequests: number, need: ModelNeed | undefined, replicas: number, slots: number): number {
  if (need === undefined) return 0
  if (need.waiting > 0) return Infinity
  const isRecent = need.idleMs < RECENT_USE_MS
  // Without the last replica, all callers wait until it is loaded again. With several, the others take its load.
  if (replicas <= 1) return need.rate * MODEL_RELOAD_MS * MODEL_RELOAD_MS / 1000 + (isRecent ? MODEL_RELOAD_MS : 0) + need.inFlight * MODEL_RELOAD_MS
  const loadElsewhere = need.inFlight / (replicas - 1) / (slots * REPLICA_LOAD_RATIO)
  return runningRequests * RUNNING_REQUEST_MS / 2 + (loadElsewhere > 1 ? Infinity : loadElsewhere * MODEL_RELOAD_MS)
}
