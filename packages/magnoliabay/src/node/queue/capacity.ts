/**
 * Limits how many requests this instance sends to the engines, without messages between instances.
 *
 * An engine runs a fixed number of requests at full speed. An instance uses the slots that the engine's load report
 * leaves free, and always at least an equal share of all slots, since reports lag and every instance must be able to
 * send.
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
  /** Requests that an engine runs at full speed. */
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
      // While the model is being loaded, as many requests as one engine takes may go on to wait for it.
      if (engines.length === 0) return started < slotsPerEngine
      // Requests that hold a permit but no engine yet count in `started` only, those of other models in `inFlight`
      // only.
      return Math.max(started, sum(engines, options.inFlight)) < sum(engines, availableSlotsAt)
    }
  }
}
