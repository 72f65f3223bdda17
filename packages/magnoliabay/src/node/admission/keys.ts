/**
 * Caller keys. A key has the form `mb_<id>_<secret>`; only the digest of the secret is stored.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import * as v from 'valibot'
import { STORE_KEY_PREFIX } from '../constants'
import { parseJson } from '../utils'

export const KEY_RECORDS_PREFIX = `${STORE_KEY_PREFIX}/keys/`

/** Bytes of a key's public id and of its secret. */
const ID_BYTES = 6
const SECRET_BYTES = 24
const KEY_PATTERN = /^mb_([A-Za-z0-9]+)_([A-Za-z0-9_-]+)$/

const keySchema = v.object({
  id: v.pipe(v.string(), v.regex(/^[A-Za-z0-9]+$/)),
  team: v.string(),
  /** SHA-256 of the secret, in hex. */
  digest: v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/)),
  createdAtMs: v.number(),
  withdrawnAtMs: v.optional(v.number())
})

export type CallerKeyRecord = v.InferOutput<typeof keySchema>

export interface KeyParts {
  id: string
  secret: string
}

export interface CreatedCallerKey {
  /** Shown only once, when the key is created. */
  key: string
  record: CallerKeyRecord
}

export function createCallerKey (team: string, nowMs: number): CreatedCallerKey {
  const id = randomBytes(ID_BYTES).toString('hex')
  const secret = randomBytes(SECRET_BYTES).toString('base64url')
  return {
    key: `mb_${id}_${secret}`,
    record: { id, team, digest: digestOf(secret), createdAtMs: nowMs }
  }
}

export function digestOf (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

export function splitKey (key: string): KeyParts | undefined {
  const match = KEY_PATTERN.exec(key)
  if (match === null) return undefined
  return { id: match[1]!, secret: match[2]! }
}

/** Compares in constant time, so that the duration reveals nothing about the secret. */
export function secretMatches (record: Pick<CallerKeyRecord, 'digest'>, secret: string): boolean {
  const expected = Buffer.from(record.digest, 'hex')
  const actual = Buffer.from(digestOf(secret), 'hex')
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}

/** Returns the record, or undefined if the text is not a valid key record. */
export function parseKeyRecord (text: string): CallerKeyRecord | undefined {
  const checked = v.safeParse(keySchema, parseJson(text))
  return checked.success ? checked.output : undefined
}
