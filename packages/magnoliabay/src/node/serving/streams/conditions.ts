/** States for which requests silence timeouts and moves are active. Both follow from the configuration alone. */
import type { AdmittedRequest } from '../requestAdmission'
import type { Service } from '../types'

/** Whether the events of a request are timed: a stream from an engine, on a route with a gap target. */
export function hasSilenceTimeout ({ route, service }: Pick<AdmittedRequest, 'route' | 'service'>): boolean {
  return route.kind === 'stream' && route.maxEventGapMs > 0 && service.engine !== undefined
}

/** Whether engines of the service offer to move runs. */
export function offersMoves ({ engine }: Pick<Service, 'engine'>): boolean {
  return engine?.moves !== undefined
}
