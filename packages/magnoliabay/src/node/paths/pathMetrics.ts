/** Counters and gauges of paths to backend servers and of forwarded connections. */
import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'

export interface PathMetrics {
  /** Connections through other instances, by outcome. */
  forwarded: Counter<'outcome'>
  /** Connections of other instances that this one forwards now. */
  openTunnels: Gauge
  /** 1 while this instance reaches no server though others do. */
  partitioned: Gauge
}

export function createPathMetrics (registry: Registry): PathMetrics {
  return {
    forwarded: new Counter({ name: 'magnoliabay_forwarded_connections_total', help: 'Connections to servers through other instances, by outcome.', labelNames: ['outcome'], registers: [registry] }),
    openTunnels: new Gauge({ name: 'magnoliabay_open_tunnels', help: 'Connections of other instances that this one forwards.', registers: [registry] }),
    partitioned: new Gauge({ name: 'magnoliabay_partitioned_from_servers', help: '1 while this instance reaches no server though others do.', registers: [registry] })
  }
}
