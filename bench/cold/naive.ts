/**
 * The naive strategy: loads models in the order of requests, evicts the least recently used, unloads models after ten idle
 * minutes, and does not coordinate instances. In its favour, it sees the state of every engine and every last use
 * without delay.
 */
import type { EngineStandIn } from '@magnoliabay/standins'
import { repeat, sleep } from 'magnoliabay/clock/index'
import { createEngineSimulation } from './engineSimulation'
import type { Strategy, ServedRequest } from './measure'
import type { Arrival, Workload } from './workload'

const IDLE_TIMEOUT_MS = 600_000
const REQUEST_TIMEOUT_MS = 60_000
const POLL_INTERVAL_MS = 100
const IDLE_CHECK_INTERVAL_MS = 1000

export function createNaive (workload: Workload): Strategy {
  const simulation = createEngineSimulation(workload)
  const { clock, engines } = simulation
  const lastUsed = new Map<string, number>()
  const inFlight = new Map<string, number>()
  const loadingAt = new Set<string>()
  const closed = new AbortController()

  const freeOf = (engine: EngineStandIn): number => engine.state().memoryMiB - engine.state().usedMiB
  const keyOf = (engine: EngineStandIn, model: string): string => `${engine.id} ${model}`
  const leastRecentlyUsed = (): { engine: EngineStandIn, model: string } | undefined => engines
    .flatMap(engine => engine.state().models.filter(replica => replica.state === 'loaded').map(replica => ({ engine, model: replica.model })))
    .filter(({ engine, model }) => (inFlight.get(keyOf(engine, model)) ?? 0) === 0)
    .sort((left, right) => (lastUsed.get(left.model) ?? 0) - (lastUsed.get(right.model) ?? 0))[0]
  const load = async (instance: number, model: string): Promise<void> => {
    const name = `${instance} ${model}`
    if (loadingAt.has(name)) return
    loadingAt.add(name)
    const needed = simulation.sizeOf(model)
    let target = engines.slice().sort((left, right) => freeOf(right) - freeOf(left))[0]!
    while (freeOf(target) < needed) {
      const victim = leastRecentlyUsed()
      if (victim === undefined) break
      await simulation.order(victim.engine, 'unload', victim.model)
      target = engines.slice().sort((left, right) => freeOf(right) - freeOf(left))[0]!
    }
    await simulation.order(target, 'load', model)
    loadingAt.delete(name)
  }
  const serve = async ({ instance, model }: Arrival): Promise<ServedRequest | undefined> => {
    const deadlineMs = clock.monotonic() + REQUEST_TIMEOUT_MS
    while (clock.monotonic() < deadlineMs) {
      const engine = simulation.loadedAt(model)
      if (engine !== undefined) {
        const key = keyOf(engine, model)
        lastUsed.set(model, clock.monotonic())
        inFlight.set(key, (inFlight.get(key) ?? 0) + 1)
        return {
          engine: engine.id,
          release: () => {
            inFlight.set(key, inFlight.get(key)! - 1)
            lastUsed.set(model, clock.monotonic())
          }
        }
      }
      load(instance, model)
      await sleep(clock, POLL_INTERVAL_MS)
    }
    return undefined
  }
  const unloadIdle = (): void => engines
    .flatMap(engine => engine.state().models.filter(model => model.state === 'loaded').map(({ model }) => ({ engine, model })))
    .filter(({ engine, model }) => (inFlight.get(keyOf(engine, model)) ?? 0) === 0 && clock.monotonic() - (lastUsed.get(model) ?? 0) > IDLE_TIMEOUT_MS)
    .forEach(({ engine, model }) => { simulation.order(engine, 'unload', model) })
  repeat(clock, IDLE_CHECK_INTERVAL_MS, closed.signal, unloadIdle)
  return { ...simulation, serve, close: () => closed.abort() }
}
