import type { Handler } from '../types'

/** Asks callers to reconnect for their next request while this instance leaves; open requests continue. */
export function leavingMiddleware (isLeaving: () => boolean): Handler {
  return function closeWhenLeaving (_req, res, next) {
    if (isLeaving()) res.setHeader('connection', 'close')
    next()
  }
}
