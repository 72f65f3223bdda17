/** Stores responses with their claims, for repeats at any instance; long responses are split into parts. */
import type { ServiceResponse } from '../backend/serviceCall'
import { MAX_STORE_VALUE_BYTES } from '../constants'
import type { Store } from '../store'
import type { ResponseRecord, ClaimRecord } from './claimRecord'
import type { ClaimWriter } from './claimWriter'

export interface StoredClaim {
  key: string
  record: ClaimRecord
}

/** Leaves space in a value of the store for the record around the body. */
const MAX_PART_CHARACTERS = Math.floor(MAX_STORE_VALUE_BYTES * 0.9)
/** Longer responses aren't stored: a repeat gets the failure that the request may have run. */
const MAX_PARTS = 16
const BASE64 = 'base64'

/** Writes the response; returns false if the write has to be retried. */
export async function writeResponse (writer: ClaimWriter, claim: StoredClaim, response: ServiceResponse): Promise<boolean> {
  const body = response.body.toString(BASE64)
  const parts = body.length <= MAX_PART_CHARACTERS ? [] : splitIntoParts(body)
  if (parts.length > MAX_PARTS) return true
  const partKeys = parts.map((_part, index) => `${claim.key}/${claim.record.claimId}/${index}`)
  for (const [index, value] of parts.entries()) {
    const outcome = await writer.write({ kind: 'part', key: partKeys[index]!, value })
    if (outcome !== 'done') return false
  }
  const record: ResponseRecord = { status: response.status, contentType: response.contentType, body: partKeys.length > 0 ? '' : body, parts: partKeys }
  const outcome = await writer.write({
    kind: 'replace',
    key: claim.key,
    expected: JSON.stringify(claim.record),
    value: JSON.stringify({ ...claim.record, answer: record })
  })
  return outcome === 'done' || outcome === 'lost'
}

/** Reads the stored response; returns undefined if a part of it cannot be read at present. */
export async function readResponse (store: Pick<Store, 'get'>, record: ResponseRecord): Promise<ServiceResponse | undefined> {
  const storedParts = await Promise.all(record.parts.map(async key => await store.get(key, { priority: 'once' })))
  const values = storedParts.map(part => part.ok ? part.val?.value : undefined)
  if (values.includes(undefined)) return undefined
  const body = Buffer.from([record.body, ...values].join(''), BASE64)
  return { status: record.status, contentType: record.contentType, body }
}

function splitIntoParts (text: string): string[] {
  const count = Math.ceil(text.length / MAX_PART_CHARACTERS)
  return Array.from({ length: count }, (_, index) => text.slice(index * MAX_PART_CHARACTERS, (index + 1) * MAX_PART_CHARACTERS))
}
