/** Metrics of crashes and of what is blamed for them. */
import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'

export interface CrashMetrics {
  /** Crashes that cut requests of this instance before their answers began. */
  crashes: Counter
  blamed: Gauge
  trials: Counter<'outcome'>
}

export function createCrashMetrics (registry: Registry): CrashMetrics {
  return {
    crashes: new Counter({ name: 'magnoliabay_crash_reports_total', help: 'Crashes of servers that cut a request of this instance before its answer began.', registers: [registry] }),
    blamed: new Gauge({ name: 'magnoliabay_blamed_suspects', help: 'Prompt parts and requests that are refused, since servers crashed on them.', registers: [registry] }),
    trials: new Counter({ name: 'magnoliabay_suspect_trials_total', help: 'Requests that were let through, or not, to try what is blamed.', labelNames: ['outcome'], registers: [registry] })
  }
}
