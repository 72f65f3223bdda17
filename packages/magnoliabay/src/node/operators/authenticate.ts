/** Operators' keys: named, apart from callers' keys, known by their digests from the settings. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { ResolvedSettings } from '../config'
import { createRefusal } from '../failures'
import { sendFailure } from '../entry/respond'
import type { EntryRequest, Handler } from '../entry/types'

const BEARER = /^Bearer +(\S+)$/i

export interface OperatorRequest extends EntryRequest {
  /** Name of the key that the operator came with. */
  operator: string
}

interface NamedDigest {
  name: string
  digest: Buffer
}

export function operatorKeyDigest (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** Names the operator, or refuses. Compares with every key, in constant time each. */
export function operatorMiddleware (settings: ResolvedSettings['operators']): Handler {
  const known = namedDigests(settings)
  return function authenticateOperator (req, res, next) {
    const shown = BEARER.exec(req.headers.authorization ?? '')?.[1] ?? ''
    delete req.headers.authorization
    const digest = Buffer.from(operatorKeyDigest(shown), 'hex')
    const matching = known.filter(candidate => candidate.digest.length === digest.length && timingSafeEqual(candidate.digest, digest))
    if (matching.length === 0) return sendFailure(res, createRefusal('invalid_key', 'This needs an operator key.'), req.requestId)
    const operatorReq = req as OperatorRequest
    operatorReq.operator = matching[0]!.name
    next()
  }
}

function namedDigests (settings: ResolvedSettings['operators']): NamedDigest[] {
  const named = settings.key.map(({ name, digest }) => ({ name, digest: Buffer.from(digest, 'hex') }))
  const unnamed = settings.keyDigests.map((digest, index) => ({ name: `key-${index + 1}`, digest: Buffer.from(digest, 'hex') }))
  return [...named, ...unnamed]
}
