/**
 * The bound: one mind that knows all arrivals. It loads a model when it is first called, keeps everything as long as
 * memory lasts, lets go of what is needed last, gives the weight store's turns to the shortest loads, and pays for
 * no message. It does not load before the first call: with that, only the memory would bound it.
 */
import type { EngineStandIn } from '@magnoliabay/standins'
import { createFakes } from './fakes'
import type { Contender, Served } from './measure'
import { FULL_SPEED_LOADS } from './workload'
import type { Arrival, Workload } from './workload'

const TIER_RANK = { memory: 0, disk: 1, remote: 2 } as const

export function createOracle (workload: Workload): Contender {
  const fakes = createFakes(workload)
  const { clock, engines } = fakes
  const uses = new Map<string, number[]>()
  workload.arrivals.forEach(({ model, atMs }) => uses.set(model, [...uses.get(model) ?? [], atMs]))
  const waiting = new Map<string, Array<(engine: EngineStandIn) => void>>()
  const loading = new Set<string>()
  const inFlight = new Map<string, number>()
  let remote = 0

  const nextUse = (model: string): number => (uses.get(model) ?? []).find(atMs => atMs > clock.monotonic()) ?? Infinity
  const freeOf = (engine: EngineStandIn): number => engine.state().memoryMiB - engine.state().usedMiB
  const tierAt = (engine: EngineStandIn, model: string): keyof typeof TIER_RANK =>
    engine.state().checkpoints.find(held => held.model === model)?.tier ?? 'remote'
  /** Those needed last, until there is room. */
  const victimsAt = (engine: EngineStandIn, model: string): string[] | undefined => {
    let missing = fakes.sizeOf(model) - freeOf(engine)
    const held = engine.state().models
      .filter(other => other.state === 'loaded' && (inFlight.get(other.model) ?? 0) === 0 && !waiting.has(other.model))
      .sort((left, right) => nextUse(right.model) - nextUse(left.model))
    const victims: string[] = []
    while (missing > 0) {
      const next = held.shift()
      if (next === undefined) return undefined
      victims.push(next.model)
      missing -= next.memoryMiB
    }
    return victims
  }
  const load = async (model: string, engine: EngineStandIn, victims: readonly string[], isRemote: boolean): Promise<void> => {
    loading.add(model)
    if (isRemote) remote += 1
    await Promise.all(victims.map(victim => fakes.order(engine, 'unload', victim)))
    await fakes.order(engine, 'load', model)
    if (isRemote) remote -= 1
    loading.delete(model)
    const served = waiting.get(model) ?? []
    waiting.delete(model)
    const at = fakes.loadedAt(model)
    if (at !== undefined) served.forEach(resolve => resolve(at))
    else if (served.length > 0) waiting.set(model, served)
    decide()
  }
  const decide = (): void => {
    const shortestFirst = [...waiting.keys()].filter(model => !loading.has(model)).sort((left, right) => fakes.sizeOf(left) - fakes.sizeOf(right))
    shortestFirst.forEach(model => {
      const options = engines
        .map(engine => ({ engine, tier: tierAt(engine, model), victims: victimsAt(engine, model) }))
        .filter(option => option.victims !== undefined && (option.tier !== 'remote' || remote < FULL_SPEED_LOADS))
        .sort((left, right) => TIER_RANK[left.tier] - TIER_RANK[right.tier] || left.victims!.length - right.victims!.length)
      const best = options[0]
      if (best !== undefined) load(model, best.engine, best.victims!, best.tier === 'remote')
    })
  }
  const serveAt = (engine: EngineStandIn, model: string): Served => {
    inFlight.set(model, (inFlight.get(model) ?? 0) + 1)
    return {
      engine: engine.id,
      release: () => {
        inFlight.set(model, inFlight.get(model)! - 1)
        decide()
      }
    }
  }
  const serve = async ({ model }: Arrival): Promise<Served> => {
    const engine = fakes.loadedAt(model)
    if (engine !== undefined) return serveAt(engine, model)
    const found = await new Promise<EngineStandIn>(resolve => {
      waiting.set(model, [...waiting.get(model) ?? [], resolve])
      decide()
    })
    return serveAt(found, model)
  }
  return { ...fakes, serve, close: () => {} }
}
