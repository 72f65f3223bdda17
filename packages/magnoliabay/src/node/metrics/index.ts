/** Metrics for `prom-client`, with one registry for each instance. */
import { Counter, Gauge, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'
import { createRegistry } from './registry'

const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.83, 1, 2.5, 5, 10, 30, 60]

export interface Metrics {
  registry: Registry
  requests: Counter<'outcome' | 'code' | 'team'>
  firstToken: Histogram<'start'>
  openRequests: Gauge
  storeCalls: Counter<'priority' | 'outcome'>
  configVersion: Gauge<'document'>
}

export function createMetrics (): Metrics {
  const registry = createRegistry()
  return {
    registry,
    requests: new Counter({
      name: 'magnoliabay_requests_total',
      help: 'Requests by how they ended.',
      labelNames: ['outcome', 'code', 'team'],
      registers: [registry]
    }),
    firstToken: new Histogram({
      name: 'magnoliabay_first_token_seconds',
      help: 'Time from the request to the first byte of its answer.',
      labelNames: ['start'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers: [registry]
    }),
    openRequests: new Gauge({
      name: 'magnoliabay_open_requests',
      help: 'Requests being waited for or answered.',
      registers: [registry]
    }),
    storeCalls: new Counter({
      name: 'magnoliabay_store_calls_total',
      help: 'Calls to the key-value service by what they were for and how they ended; over-budget ones were not sent.',
      labelNames: ['priority', 'outcome'],
      registers: [registry]
    }),
    configVersion: new Gauge({
      name: 'magnoliabay_config_version',
      help: 'Version in force of the base and of the site overlay.',
      labelNames: ['document'],
      registers: [registry]
    })
  }
}
