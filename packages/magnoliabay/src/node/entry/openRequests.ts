/**
 * Requests open on this instance: bounded in number and in the bytes of their bodies, so that overload is
 * refused early, and known, so that a shutdown can end those that outlast it.
 */
import type { ServerResponse } from 'node:http'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { Handler } from './types'
import { sendFailure } from './respond'
import type { AbortReason, AbortableDeadline } from './deadline'

export interface OpenRequestsOptions {
  maxOpenRequests: number
  maxHeldBodyBytes: number
}

export interface OpenRequests {
  count (): number
  heldBytes (): number
  /** Refuses a request beyond the limit, before its body is read. */
  readonly admit: Handler
  /** Counts bytes of a body until `res` closes; false when there is no room for them. */
  hold (res: ServerResponse, bytes: number): boolean
  track (res: ServerResponse, deadline: AbortableDeadline): void
  abortAll (reason: AbortReason): void
}

const RETRY_AFTER_SECONDS = 1
const OVERLOADED: Failure = createRefusal('overloaded', 'This instance has as many requests open as it can hold.', RETRY_AFTER_SECONDS)

export function createOpenRequests (options: OpenRequestsOptions): OpenRequests {
  const deadlines = new Map<ServerResponse, AbortableDeadline>()
  const bodies = new Map<ServerResponse, number>()
  let open = 0
  let held = 0

  const letGo = (res: ServerResponse): void => {
    held -= bodies.get(res) ?? 0
    bodies.delete(res)
  }
  return {
    count: () => open,
    heldBytes: () => held,
    admit: (req, res, next) => {
      if (open >= options.maxOpenRequests) {
        res.setHeader('connection', 'close')
        return sendFailure(res, OVERLOADED, req.requestId)
      }
      open += 1
      res.once('close', () => { open -= 1 })
      next()
    },
    hold: (res, bytes) => {
      if (held + bytes > options.maxHeldBodyBytes) return false
      if (!bodies.has(res)) res.once('close', () => letGo(res))
      bodies.set(res, (bodies.get(res) ?? 0) + bytes)
      held += bytes
      return true
    },
    track: (res, deadline) => {
      deadlines.set(res, deadline)
      res.once('close', () => deadlines.delete(res))
    },
    abortAll: reason => [...deadlines.values()].forEach(deadline => deadline.abort(reason))
  }
}
