/** Engines and weight store of a workload, for strategies that send their orders directly to the engines. */
import { createEngineStandIn, createWeightStore } from '@magnoliabay/standins'
import type { EngineStandIn, WeightStore } from '@magnoliabay/standins'
import { createFastClock } from 'magnoliabay/cells/__tests__/support/fastClock'
import type { VirtualClock } from 'magnoliabay/clock/virtual'
import { ENGINE_MIB, FULL_SPEED_LOADS } from './workload'
import type { Workload } from './workload'

export interface EngineSimulation {
  clock: VirtualClock
  weights: WeightStore
  engines: readonly EngineStandIn[]
  sizeOf (model: string): number
  /** Returns an engine that has the model loaded. */
  loadedAt (model: string): EngineStandIn | undefined
  order (engine: EngineStandIn, action: 'load' | 'unload', model: string): Promise<boolean>
}

export function createEngineSimulation (workload: Workload): EngineSimulation {
  const clock = createFastClock()
  const weights = createWeightStore({ clock, loadsPerSecond: workload.site.loadsPerSecond, fullSpeedLoads: FULL_SPEED_LOADS })
  const engines = Array.from({ length: workload.site.engines }, (_, index) => createEngineStandIn({
    id: `engine-${index + 1}`, clock, weights, memoryMiB: ENGINE_MIB, checkpoints: workload.checkpoints[index]
  }))
  const sizes = new Map(workload.models.map(model => [model.name, model.memoryMiB]))
  const sizeOf = (model: string): number => sizes.get(model)!
  let orders = 0
  return {
    clock,
    weights,
    engines,
    sizeOf,
    loadedAt: model => engines.find(engine => engine.state().models.some(replica => replica.model === model && replica.state === 'loaded')),
    order: async (engine, action, model) => {
      orders += 1
      const reply = await engine.executeOrder({ orderId: `order-${orders}`, fence: 1, action, model, memoryMiB: sizeOf(model) })
      return reply?.outcome === 'done' || reply?.outcome === 'already-done'
    }
  }
}
