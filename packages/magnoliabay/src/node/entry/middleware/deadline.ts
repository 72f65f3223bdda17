import type { Keyring } from '../../admission'
import type { Clock } from '../../clock'
import { createDeadline } from '../deadline'
import type { OpenRequests } from '../openRequests'
import type { Handler } from '../types'

export const DEADLINE_HEADER = 'x-deadline-ms'

/** Starts the request's one deadline: what the caller asked for, but no longer than the limit. */
export function deadlineMiddleware (clock: Clock, limitMs: number, open: OpenRequests): Handler {
  return function startDeadline (req, res, next) {
    const asked = Number(req.headers[DEADLINE_HEADER])
    const delayMs = asked > 0 ? Math.min(asked, limitMs) : limitMs
    req.deadline = createDeadline(clock, delayMs, res)
    open.track(res, req.deadline)
    next()
  }
}

/** Cuts a request whose key is withdrawn while it is open. */
export function withdrawalMiddleware (keyring: Pick<Keyring, 'onWithdrawn'>): Handler {
  return function watchWithdrawal (req, res, next) {
    const dispose = keyring.onWithdrawn(keyId => {
      if (keyId === req.caller.keyId) req.deadline.abort('key-withdrawn')
    })
    res.once('close', dispose)
    next()
  }
}
