/**
 * How many requests this instance may have at the engines, without a word between instances.
 *
 * An engine runs a number of requests at full pace. An instance counts on what the engine's load report
 * leaves free of that, and always on an equal part of it, since reports lag and everybody must get in.
 */
import type { EngineCapacity } from './queue'

export interface CapacityOptions {
  /** Engines that have the model loaded. */
  enginesOf: (model: string) => readonly string[]
  /** Requests at the engine, of all instances, as last reported. */
  loadOf: (engine: string) => number
  /** Requests of this instance at the engine. */
  inFlight: (engine: string) => number
  /** Instances that send to the engines. */
  instanceCount: () => number
  /** Requests that an engine runs at full pace. */
  slotsPerEngine: number
}

export function createEngineCapacity (options: CapacityOptions): EngineCapacity {
  const { slotsPerEngine } = options

  const availableSlotsAt = (engine: string): number => {
    const others = Math.max(0, options.loadOf(engine) - options.inFlight(engine))
    const equalShare = Math.ceil(slotsPerEngine / Math.max(1, options.instanceCount()))
    return Math.max(equalShare, slotsPerEngine - others)
  }
  const sum = (engines: readonly string[], countAt: (engine: string) => number): number =>
    engines.reduce((total, engine) => total + countAt(engine), 0)
  return {
    hasCapacityFor: (model, started) => {
      const engines = options.enginesOf(model)
      // While the model is being loaded, as many go on to wait for it as one engine will take.
      if (engines.length === 0) return started < slotsPerEngine
      // Requests that have their turn but no engine yet are in `started` alone, those of other models in flight alone.
      return Math.max(started, sum(engines, options.inFlight)) < sum(engines, availableSlotsAt)
    }
  }
}
