import type { Clock } from '../../clock'
import { TIMED_OUT, withDeadline } from '../../clock'
import { refusal } from '../../failures'
import { sendFailure } from '../respond'
import type { EntryRequest, Handler } from '../types'

export interface BodyLimits {
  maxBodyBytes: number
  bodyTimeoutMs: number
}

type ReadOutcome = Buffer | 'too-large' | 'broken-off'

/** Reads the whole body, within a size and a time. */
export function bodyMiddleware (clock: Clock, limits: BodyLimits): Handler {
  return async function readBody (req, res, next) {
    const body = await withDeadline(clock, limits.bodyTimeoutMs, readWithin(req, limits.maxBodyBytes))
    if (body === 'broken-off') return
    if (body === TIMED_OUT || body === 'too-large') {
      const failure = body === TIMED_OUT
        ? refusal('body_timeout', `The body did not arrive within ${limits.bodyTimeoutMs} ms.`)
        : refusal('body_too_large', `A body may have ${limits.maxBodyBytes} bytes at most.`)
      return sendFailure(res, failure, req.requestId)
    }
    req.rawBody = body
    next()
  }
}

async function readWithin (req: EntryRequest, maxBytes: number): Promise<ReadOutcome> {
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return 'too-large'
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    req.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > maxBytes) {
        req.removeAllListeners('data')
        req.resume()
        resolve('too-large')
        return
      }
      chunks.push(chunk)
    })
    req.on('end', () => resolve(Buffer.concat(chunks)))
    req.on('error', () => resolve('broken-off'))
    req.on('aborted', () => resolve('broken-off'))
  })
}
