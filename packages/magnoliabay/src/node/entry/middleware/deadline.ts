import type { Keyring } from '../../admission'
import type { Clock } from '../../clock'
import { createDeadline } from '../deadline'
import type { OpenRequests } from '../openRequests'
import type { Handler } from '../types'

export const DEADLINE_HEADER = 'x-deadline-ms'

/** Sets the request's deadline to the time that the caller asks for, up to the limit. */
export function deadlineMiddleware (clock: Clock, limitMs: number, openRequests: OpenRequests): Handler {
  return function startDeadline (req, res, next) {
    const requestedMs = Number(req.headers[DEADLINE_HEADER])
    const delayMs = requestedMs > 0 ? Math.min(requestedMs, limitMs) : limitMs
    req.deadline = createDeadline(clock, delayMs, res)
    openRequests.track(res, req.deadline)
    next()
  }
}

/** Aborts an open request when its key is withdrawn. */
export function withdrawalMiddleware (keyring: Pick<Keyring, 'onWithdrawn'>): Handler {
  return function watchWithdrawal (req, res, next) {
    const dispose = keyring.onWithdrawn(keyId => {
      if (keyId === req.caller.keyId) req.deadline.abort('key-withdrawn')
    })
    res.once('close', dispose)
    next()
  }
}
