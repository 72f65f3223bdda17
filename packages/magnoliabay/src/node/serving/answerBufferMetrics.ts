/** Metrics of the responses that wait in this process for their callers to read them. */
import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'

export interface AnswerBufferMetrics {
  pauses: Counter
  /** Responses that were ended unread, by cause. */
  ended: Counter<'cause'>
}

export function createAnswerBufferMetrics (registry: Registry, heldBytes: () => number): AnswerBufferMetrics {
  new Gauge({
    name: 'magnoliabay_answer_buffer_bytes',
    help: 'Bytes of responses that callers have not read.',
    registers: [registry],
    collect () { this.set(heldBytes()) }
  }).set(0)
  return {
    pauses: new Counter({ name: 'magnoliabay_answer_buffer_pauses_total', help: 'Pauses of reading from a backend server for a caller that reads more slowly.', registers: [registry] }),
    ended: new Counter({ name: 'magnoliabay_answer_buffer_ended_total', help: 'Responses ended because callers did not read them, by cause.', labelNames: ['cause'], registers: [registry] })
  }
}
