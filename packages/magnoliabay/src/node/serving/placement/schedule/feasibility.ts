/** Decides whether the leader schedules engine time, from the configuration and the number of engines. */
import type { EngineSpec } from '../../types'

/**
 * Highest ratio of the weights of all models to the engines' memory for weights. Above it most models have to be swapped
 * in for each request, and engine time is booked out long before a latency objective.
 */
const MAX_CATALOGUE_RATIO = 2

const catalogueMbBySpec = new WeakMap<EngineSpec, number>()

/** Cached by spec, since the condition is evaluated for each plan and each placement request. */
function catalogueMb (spec: EngineSpec): number {
  const cached = catalogueMbBySpec.get(spec)
  if (cached !== undefined) return cached
  const sumMb = [...spec.models.values()].reduce((sum, model) => sum + model.weightsMb, 0)
  catalogueMbBySpec.set(spec, sumMb)
  return sumMb
}

/** Returns whether the weights of all models are at most twice the engines' memory for weights. */
export function isScheduleFeasible (spec: EngineSpec, engineCount: number): boolean {
  return engineCount > 0 && catalogueMb(spec) <= MAX_CATALOGUE_RATIO * engineCount * spec.weightMemoryMb
}
