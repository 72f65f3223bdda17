import type { Handler } from '../types'

/** Sends callers elsewhere for their next request once this instance leaves, without cutting this one. */
export function leavingMiddleware (isLeaving: () => boolean): Handler {
  return function closeWhenLeaving (_req, res, next) {
    if (isLeaving()) res.setHeader('connection', 'close')
    next()
  }
}
