/** Authenticates operators by named keys, whose digests are in the settings. They are separate from callers' keys. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { ResolvedSettings } from '../config'
import { createRefusal } from '../failures'
import { sendFailure } from '../entry/respond'
import type { EntryRequest, Handler } from '../entry/types'

const BEARER = /^Bearer +(\S+)$/i

export interface OperatorRequest extends EntryRequest {
  /** Name of the key that the operator used. */
  operator: string
}

interface NamedDigest {
  name: string
  digest: Buffer
}

export function operatorKeyDigest (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** Sets the operator's name on the request, or refuses it. Compares with every key, each in constant time. */
export function operatorMiddleware (settings: ResolvedSettings['operators']): Handler {
  const namedKeys = namedDigests(settings)
  return function authenticateOperator (req, res, next) {
    const key = BEARER.exec(req.headers.authorization ?? '')?.[1] ?? ''
    delete req.headers.authorization
    const digest = Buffer.from(operatorKeyDigest(key), 'hex')
    const matchingKeys = namedKeys.filter(candidate => candidate.digest.length === digest.length && timingSafeEqual(candidate.digest, digest))
    if (matchingKeys.length === 0) return sendFailure(res, createRefusal('invalid_key', 'This needs an operator key.'), req.requestId)
    const operatorReq = req as OperatorRequest
    operatorReq.operator = matchingKeys[0]!.name
    next()
  }
}

function namedDigests (settings: ResolvedSettings['operators']): NamedDigest[] {
  const named = settings.key.map(({ name, digest }) => ({ name, digest: Buffer.from(digest, 'hex') }))
  const unnamed = settings.keyDigests.map((digest, index) => ({ name: `key-${index + 1}`, digest: Buffer.from(digest, 'hex') }))
  return [...named, ...unnamed]
}
