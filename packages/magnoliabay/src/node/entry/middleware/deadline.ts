import type { Clock } from '../../clock'
import { createDeadline } from '../deadline'
import type { Handler } from '../types'

export const DEADLINE_HEADER = 'x-deadline-ms'

/** Starts the request's one deadline: what the caller asked for, but no longer than the limit. */
export function deadlineMiddleware (clock: Clock, limitMs: number): Handler {
  return function startDeadline (req, res, next) {
    const asked = Number(req.headers[DEADLINE_HEADER])
    const delayMs = asked > 0 ? Math.min(asked, limitMs) : limitMs
    req.deadline = createDeadline(clock, delayMs, res)
    next()
  }
}
