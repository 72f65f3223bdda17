/** Creates the metrics registry of a process, with the default metrics of the runtime. */
import { Registry, collectDefaultMetrics } from 'prom-client'

/** How often the event loop delay is sampled, milliseconds. Each sample wakes the process, even an idle one. */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 1000

export function createRegistry (): Registry {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry, prefix: 'magnoliabay_', eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS })
  return registry
}
