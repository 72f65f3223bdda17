import type { ServerResponse } from 'node:http'
import type { Clock } from '../../clock'
import { TIMED_OUT, withTimeout } from '../../clock'
import { createRefusal } from '../../failures'
import type { Failure } from '../../failures'
import type { OpenRequests } from '../openRequests'
import { sendFailure } from '../respond'
import type { EntryRequest, Handler } from '../types'

export interface BodyLimits {
  maxBodyBytes: number
  bodyTimeoutMs: number
}

/** What the bodies of all open requests may hold together. */
type BodyRoom = Pick<OpenRequests, 'hold'>

const UNSHARED: BodyRoom = { hold: () => true }

type Problem = 'too-large' | 'no-room' | 'broken-off' | 'late'

const RETRY_AFTER_SECONDS = 1

/** Reads the whole body, within a size and a time, and within what all open requests may hold together. */
export function bodyMiddleware (clock: Clock, limits: BodyLimits, room: BodyRoom = UNSHARED): Handler {
  const failures: Record<Exclude<Problem, 'broken-off'>, Failure> = {
    'too-large': createRefusal('body_too_large', `A body may have ${limits.maxBodyBytes} bytes at most.`),
    'no-room': createRefusal('overloaded', 'This instance holds as many bodies as it can.', RETRY_AFTER_SECONDS),
    late: createRefusal('body_timeout', `The body did not arrive within ${limits.bodyTimeoutMs} ms.`)
  }
  return async function readBody (req, res, next) {
    const read = await withTimeout(clock, limits.bodyTimeoutMs, readWithin(req, res, limits.maxBodyBytes, room))
    const body = read === TIMED_OUT ? 'late' : read
    if (body === 'broken-off') return
    if (typeof body === 'string') {
      // What still comes of it is dropped, not held.
      req.removeAllListeners('data')
      return sendFailure(res, failures[body], req.requestId)
    }
    req.rawBody = body
    next()
  }
}

async function readWithin (req: EntryRequest, res: ServerResponse, maxBytes: number, room: BodyRoom): Promise<Buffer | Problem> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return 'too-large'
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    const giveUp = (problem: Problem): void => {
      req.removeAllListeners('data')
      req.resume()
      resolve(problem)
    }
    req.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > maxBytes) return giveUp('too-large')
      if (!room.hold(res, chunk.length)) return giveUp('no-room')
      chunks.push(chunk)
    })
    req.on('end', () => resolve(Buffer.concat(chunks)))
    req.on('error', () => resolve('broken-off'))
    req.on('aborted', () => resolve('broken-off'))
  })
}
