import { createExecutionTracker } from '../../outcomes'
import { createId } from '../../utils'
import type { Handler } from '../types'

/** Gives every request an id of its own; a caller's id is never trusted to be unique. */
export function requestIdMiddleware (): Handler {
  return function assignRequestId (req, _res, next) {
    req.requestId = createId('req')
    req.execution = createExecutionTracker()
    next()
  }
}
