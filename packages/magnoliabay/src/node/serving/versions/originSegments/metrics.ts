/** Counts records of stream origins on their way into the store. */
import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'

export interface StoredOriginMetrics {
  /** Counts the records of one write. */
  recordWrite (records: number, isWritten: boolean): void
  recordDropped (records: number): void
}

export function createStoredOriginMetrics (registry: Registry): StoredOriginMetrics {
  const writes = new Counter({ name: 'magnoliabay_stream_origin_writes_total', help: 'Writes of records of where streams began, by outcome.', labelNames: ['outcome'], registers: [registry] })
  const records = new Counter({ name: 'magnoliabay_stream_origin_records_total', help: 'Records of where streams began that were written, or dropped since too many waited.', labelNames: ['outcome'], registers: [registry] })
  return {
    recordWrite: (count, isWritten) => {
      writes.inc({ outcome: isWritten ? 'written' : 'failed' })
      if (isWritten) records.inc({ outcome: 'written' }, count)
    },
    recordDropped: count => { records.inc({ outcome: 'dropped' }, count) }
  }
}
