/** Stored form of claims, and their keys. */
import * as v from 'valibot'
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

export interface ResponseRecord {
  status: number
  contentType: string
  /** Body in base64; empty if it is stored in parts. */
  body: string
  /** Keys of the body's parts, in order. */
  parts: readonly string[]
}

export interface ClaimRecord {
  /** Unique for each attempt to claim; shows after a lost response of the store whether this attempt succeeded. */
  claimId: string
  /** Incarnation of the instance that owns the claim. */
  holder: string
  /** Digest of method, path and body; the same key with a different digest is a conflict. */
  digest: string
  /** Unix epoch milliseconds. Selects only the failure that a repeat gets; no other decision depends on it. */
  claimedAtMs: number
  answer?: ResponseRecord
}

export const claimRecordSchema = v.object({
  claimId: v.string(),
  holder: v.string(),
  digest: v.string(),
  claimedAtMs: v.number(),
  answer: v.optional(v.object({ status: v.pipe(v.number(), v.integer(), v.minValue(100), v.maxValue(999)), contentType: v.string(), body: v.string(), parts: v.array(v.string()) }))
})

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
