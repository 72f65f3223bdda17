/** A registry with the runtime's own metrics, as every process of the product has one. */
import { Registry, collectDefaultMetrics } from 'prom-client'

/** How often the delay of the event loop is sampled, milliseconds: each sample wakes the process, also one that has nothing to do. */
const EVENT_LOOP_SAMPLE_MS = 1000

export function createRegistry (): Registry {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry, prefix: 'magnoliabay_', eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS })
  return registry
}
