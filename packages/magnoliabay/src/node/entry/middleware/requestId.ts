import { createExecutionTracker } from '../../outcomes'
import { createId } from '../../utils'
import type { Handler } from '../types'

/** Assigns a generated id to every request, since ids from callers may not be unique. */
export function requestIdMiddleware (): Handler {
  return function assignRequestId (req, _res, next) {
    req.requestId = createId('req')
    req.execution = createExecutionTracker()
    next()
  }
}
