/** A claim as the store holds it. */
import { createHash } from 'node:crypto'
import { STORE_KEY_PREFIX } from '../constants'

const ONCE_PREFIX = `${STORE_KEY_PREFIX}/once/`

export interface ClaimRequest {
  team: string
  service: string
  idempotencyKey: string
  method: string
  path: string
  body: Buffer
}

export interface AnswerRecord {
  status: number
  contentType: string
  /** Body in base64; empty when it stands in parts. */
  body: string
  /** Keys that hold the body, in order. */
  parts: readonly string[]
}

export interface ClaimRecord {
  /** Unique for each attempt to claim: tells after a lost answer whether the claim is ours. */
  claimId: string
  /** Incarnation that holds the claim. */
  holder: string
  /** Of method, path and body: the same key with another request is a conflict. */
  digest: string
  /** Unix epoch milliseconds. Only for what a repeat is told, never for what is done. */
  claimedAtMs: number
  answer?: AnswerRecord
}

export function claimKeyOf (req: ClaimRequest): string {
  return `${ONCE_PREFIX}${req.team}/${req.service}/${digestOf([req.idempotencyKey])}`
}

export function requestDigestOf (req: ClaimRequest): string {
  return digestOf([req.method, '\0', req.path, '\0', req.body])
}

function digestOf (contents: ReadonlyArray<string | Buffer>): string {
  const hash = createHash('sha256')
  contents.forEach(content => hash.update(content))
  return hash.digest('base64url')
}
