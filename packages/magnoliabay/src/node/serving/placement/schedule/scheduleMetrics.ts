/** Metrics of the load schedule. */
import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'
import type { ReservationObserver } from './waitingRequests'

/** Returns an observer that counts reservations. */
export function createScheduleMetrics (registry: Registry): ReservationObserver {
  const made = new Counter({ name: 'magnoliabay_placement_reservations_made_total', help: 'Reservations of callers that were rejected with the time at which their model is ready.', registers: [registry] })
  const ended = new Counter({ name: 'magnoliabay_placement_reservations_ended_total', help: 'Reservations whose time has passed, by whether the model was ready.', labelNames: ['outcome'], registers: [registry] })
  return {
    onMade: count => made.inc(count),
    onEnded: (count, isMet) => ended.inc({ outcome: isMet ? 'met' : 'missed' }, count)
  }
}
