/**
 * Tracks the open requests of this instance. Their number and the bytes of their bodies are bounded, so that
 * overload is refused early; a shutdown aborts those that do not end in time.
 */
import type { ServerResponse } from 'node:http'
import { cutResponse } from '../http/cutResponse'
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
  heldBodyBytes (): number
  /** Refuses requests above the limit before their bodies are read. */
  readonly admit: Handler
  /** Counts bytes of a body until `res` closes; returns false if they would exceed the limit. */
  reserveBodyBytes (res: ServerResponse, bytes: number): boolean
  track (res: ServerResponse, deadline: AbortableDeadline): void
  /** Aborts all open requests, and from then on those that arrive. */
  abortAll (reason: AbortReason): void
  /** Cuts the responses of requests that have not ended after all. */
  cutAll (): void
}

const RETRY_AFTER_SECONDS = 1
const OVERLOADED: Failure = createRefusal('overloaded', 'This instance has as many requests open as it can hold.', RETRY_AFTER_SECONDS)

export function createOpenRequests (options: OpenRequestsOptions): OpenRequests {
  const deadlines = new Map<ServerResponse, AbortableDeadline>()
  const bodyBytesByResponse = new Map<ServerResponse, number>()
  let openCount = 0
  let heldBodyBytes = 0
  let abortReason: AbortReason | undefined

  const releaseBodyBytes = (res: ServerResponse): void => {
    heldBodyBytes -= bodyBytesByResponse.get(res) ?? 0
    bodyBytesByResponse.delete(res)
  }
  return {
    count: () => openCount,
    heldBodyBytes: () => heldBodyBytes,
    admit: (req, res, next) => {
      if (openCount >= options.maxOpenRequests) {
        res.setHeader('connection', 'close')
        return sendFailure(res, OVERLOADED, req.requestId)
      }
      openCount += 1
      res.once('close', () => { openCount -= 1 })
      next()
    },
    reserveBodyBytes: (res, bytes) => {
      if (heldBodyBytes + bytes > options.maxHeldBodyBytes) return false
      if (!bodyBytesByResponse.has(res)) res.once('close', () => releaseBodyBytes(res))
      bodyBytesByResponse.set(res, (bodyBytesByResponse.get(res) ?? 0) + bytes)
      heldBodyBytes += bytes
      return true
    },
    track: (res, deadline) => {
      deadlines.set(res, deadline)
      res.once('close', () => deadlines.delete(res))
      // A request that arrives on an open connection after the abort would be sent to an engine and cut with that connection.
      if (abortReason !== undefined) deadline.abort(abortReason)
    },
    cutAll: () => [...deadlines.keys()].forEach(res => cutResponse(res)),
    abortAll: reason => {
      abortReason = reason
      deadlines.forEach(deadline => deadline.abort(reason))
    }
  }
}
