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

/** Limit on the total size of the bodies of all open requests. */
type BodyBudget = Pick<OpenRequests, 'reserveBodyBytes'>

const UNLIMITED: BodyBudget = { reserveBodyBytes: () => true }

type BodyProblem = 'too-large' | 'no-room' | 'broken-off' | 'late'

const RETRY_AFTER_SECONDS = 1

/** Reads the whole body. Limits its size, its time to arrive, and the total size of the bodies of all open requests. */
export function bodyMiddleware (clock: Clock, limits: BodyLimits, bodyBudget: BodyBudget = UNLIMITED): Handler {
  const failures: Record<Exclude<BodyProblem, 'broken-off'>, Failure> = {
    'too-large': createRefusal('body_too_large', `A body may have ${limits.maxBodyBytes} bytes at most.`),
    'no-room': createRefusal('overloaded', 'This instance holds as many bodies as it can.', RETRY_AFTER_SECONDS),
    late: createRefusal('body_timeout', `The body did not arrive within ${limits.bodyTimeoutMs} ms.`)
  }
  return async function readBody (req, res, next) {
    const read = await withTimeout(clock, limits.bodyTimeoutMs, readLimitedBody(req, res, limits.maxBodyBytes, bodyBudget))
    const body = read === TIMED_OUT ? 'late' : read
    if (body === 'broken-off') return
    if (typeof body === 'string') {
      // The rest of the body is discarded.
      req.removeAllListeners('data')
      return sendFailure(res, failures[body], req.requestId)
    }
    req.rawBody = body
    next()
  }
}

async function readLimitedBody (req: EntryRequest, res: ServerResponse, maxBytes: number, bodyBudget: BodyBudget): Promise<Buffer | BodyProblem> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return 'too-large'
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    const rejectBody = (problem: BodyProblem): void => {
      req.removeAllListeners('data')
      req.resume()
      resolve(problem)
    }
    req.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > maxBytes) return rejectBody('too-large')
      if (!bodyBudget.reserveBodyBytes(res, chunk.length)) return rejectBody('no-room')
      chunks.push(chunk)
    })
    req.on('end', () => resolve(Buffer.concat(chunks)))
    req.on('error', () => resolve('broken-off'))
    req.on('aborted', () => resolve('broken-off'))
  })
}
