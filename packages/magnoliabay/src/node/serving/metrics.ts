/** Counters and histograms of the serving path. */
import { Counter, Gauge, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'
import { eventLoopIterations } from '../wakeups'
import type { WakeupCounter } from '../wakeups'
import { createRegistry } from '../metrics/registry'

const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30]

export interface ServingMetrics {
  registry: Registry
  /** Requests by how they ended: `answered`, or the reason of the refusal. */
  ended: Counter<'reason'>
  answerSeconds: Histogram
  /** Decisions on divided allowances, by whether the route was within its guarantee or lent units of others. */
  allowanceDecisions: Counter<'outcome' | 'class'>
  configVersion: Gauge
  /** Servers whose stated rate limit this instance knows. */
  limitedServers: Gauge
  /** Engines chosen by predicted time, by the state of the engine. */
  engineChoices: Counter<'reason'>
  /** Ratio of the highest to the lowest speed of engines; at the leader. */
  speedSpread: Gauge
  /** Iterations of the event loop. */
  loopIterations: Gauge
  /** Wakeups of the process by cause. */
  wakeups: Gauge<'cause'>
}

export function createServingMetrics (wakeupCounter: WakeupCounter): ServingMetrics {
  const registry = createRegistry()
  return {
    registry,
    ended: new Counter({ name: 'magnoliabay_serving_ended_total', help: 'Requests by how they ended.', labelNames: ['reason'], registers: [registry] }),
    answerSeconds: new Histogram({ name: 'magnoliabay_serving_answer_seconds', help: 'Time to the end of an answer.', buckets: LATENCY_BUCKETS_SECONDS, registers: [registry] }),
    engineChoices: new Counter({ name: 'magnoliabay_serving_engine_choices_total', help: 'Engines chosen by predicted time, by the state of the engine.', labelNames: ['reason'], registers: [registry] }),
    allowanceDecisions: new Counter({ name: 'magnoliabay_allowance_decisions_total', help: 'Decisions on allowances that are divided among routes.', labelNames: ['outcome', 'class'], registers: [registry] }),
    speedSpread: new Gauge({ name: 'magnoliabay_serving_engine_speed_spread', help: 'Highest speed of an engine relative to the lowest, at the leader.', registers: [registry] }),
    loopIterations: new Gauge({
      name: 'magnoliabay_loop_turns_total',
      help: 'Turns of the event loop.',
      registers: [registry],
      collect () { this.set(eventLoopIterations()) }
    }),
    wakeups: new Gauge({
      name: 'magnoliabay_activity_total',
      help: 'What woke the process, by cause.',
      labelNames: ['cause'],
      registers: [registry],
      collect () { wakeupCounter.counts().forEach((count, cause) => this.set({ cause }, count)) }
    }),
    limitedServers: new Gauge({ name: 'magnoliabay_serving_limited_servers', help: 'Servers that state a rate limit.', registers: [registry] }),
    configVersion: new Gauge({ name: 'magnoliabay_serving_config_version', help: 'Version of the configuration in force.', registers: [registry] })
  }
}
