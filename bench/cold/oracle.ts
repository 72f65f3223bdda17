/**
 * The bound: one central scheduler that knows all arrivals. It loads a model on its first request, keeps models while there
 * is memory, evicts those that are needed last, gives the weight store to the shortest loads first, and has no message
 * delays. It does not load a model before its first request: otherwise only the memory would limit it.
 */
import type { EngineStandIn } from '@magnoliabay/standins'
import { createEngineSimulation } from './engineSimulation'
import type { Strategy, ServedRequest } from './measure'
import { FULL_SPEED_LOADS } from './workload'
import type { Arrival, Workload } from './workload'

const TIER_RANK = { memory: 0, disk: 1, remote: 2 } as const

export function createOracle (workload: Workload): Strategy {
  const simulation = createEngineSimulation(workload)
  const { clock, engines } = simulation
  const arrivalTimes = new Map<string, number[]>()
  workload.arrivals.forEach(({ model, atMs }) => arrivalTimes.set(model, [...arrivalTimes.get(model) ?? [], atMs]))
  const waiting = new Map<string, Array<(engine: EngineStandIn) => void>>()
  const loading = new Set<string>()
  const inFlight = new Map<string, number>()
  let remoteLoads = 0

  const nextUse = (model: string): number => (arrivalTimes.get(model) ?? []).find(atMs => atMs > clock.monotonic()) ?? Infinity
  const freeOf = (engine: EngineStandIn): number => engine.state().memoryMiB - engine.state().usedMiB
  const tierAt = (engine: EngineStandIn, model: string): keyof typeof TIER_RANK =>
    engine.state().checkpoints.find(checkpoint => checkpoint.model === model)?.tier ?? 'remote'
  /** Returns the models to evict for `model`, those that are needed last first; undefined if they would not free enough memory. */
  const victimsAt = (engine: EngineStandIn, model: string): string[] | undefined => {
    let missing = simulation.sizeOf(model) - freeOf(engine)
    const evictable = engine.state().models
      .filter(other => other.state === 'loaded' && (inFlight.get(other.model) ?? 0) === 0 && !waiting.has(other.model))
      .sort((left, right) => nextUse(right.model) - nextUse(left.model))
    const victims: string[] = []
    while (missing > 0) {
      const next = evictable.shift()
      if (next === undefined) return undefined
      victims.push(next.model)
      missing -= next.memoryMiB
    }
    return victims
  }
  const load = async (model: string, engine: EngineStandIn, victims: readonly string[], isRemote: boolean): Promise<void> => {
    loading.add(model)
    if (isRemote) remoteLoads += 1
    await Promise.all(victims.map(victim => simulation.order(engine, 'unload', victim)))
    await simulation.order(engine, 'load', model)
    if (isRemote) remoteLoads -= 1
    loading.delete(model)
    const waiters = waiting.get(model) ?? []
    waiting.delete(model)
    const loadedEngine = simulation.loadedAt(model)
    if (loadedEngine !== undefined) waiters.forEach(resolve => resolve(loadedEngine))
    else if (waiters.length > 0) waiting.set(model, waiters)
    startLoads()
  }
  const startLoads = (): void => {
    const shortestFirst = [...waiting.keys()].filter(model => !loading.has(model)).sort((left, right) => simulation.sizeOf(left) - simulation.sizeOf(right))
    shortestFirst.forEach(model => {
      const options = engines
        .map(engine => ({ engine, tier: tierAt(engine, model), victims: victimsAt(engine, model) }))
        .filter(option => option.victims !== undefined && (option.tier !== 'remote' || remoteLoads < FULL_SPEED_LOADS))
        .sort((left, right) => TIER_RANK[left.tier] - TIER_RANK[right.tier] || left.victims!.length - right.victims!.length)
      const best = options[0]
      if (best !== undefined) load(model, best.engine, best.victims!, best.tier === 'remote')
    })
  }
  const serveAt = (engine: EngineStandIn, model: string): ServedRequest => {
    inFlight.set(model, (inFlight.get(model) ?? 0) + 1)
    return {
      engine: engine.id,
      release: () => {
        inFlight.set(model, inFlight.get(model)! - 1)
        startLoads()
      }
    }
  }
  const serve = async ({ model }: Arrival): Promise<ServedRequest> => {
    const engine = simulation.loadedAt(model)
    if (engine !== undefined) return serveAt(engine, model)
    const found = await new Promise<EngineStandIn>(resolve => {
      waiting.set(model, [...waiting.get(model) ?? [], resolve])
      startLoads()
    })
    return serveAt(found, model)
  }
  return { ...simulation, serve, close: () => {} }
}
