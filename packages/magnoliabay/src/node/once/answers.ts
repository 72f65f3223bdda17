/** Keeps answers with their claims, for repeats at any instance; long ones in parts. */
import type { ServiceResponse } from '../backend/serviceCall'
import { MAX_STORE_VALUE_BYTES } from '../constants'
import type { Store } from '../store'
import type { AnswerRecord, ClaimRecord } from './claimRecord'
import type { ClaimWriter } from './claimWriter'

export interface StoredClaim {
  key: string
  record: ClaimRecord
}

/** Room for the record around a body that stands in one value. */
const PART_CHARACTERS = Math.floor(MAX_STORE_VALUE_BYTES * 0.9)
/** Longer answers aren't kept: a repeat is told that it may have run. */
const MAX_PARTS = 16
const BASE64 = 'base64'

/** Writes the answer; false when it has to be tried again. */
export async function writeAnswer (writer: ClaimWriter, claim: StoredClaim, answer: ServiceResponse): Promise<boolean> {
  const body = answer.body.toString(BASE64)
  const texts = body.length <= PART_CHARACTERS ? [] : splitText(body)
  if (texts.length > MAX_PARTS) return true
  const parts = texts.map((_text, index) => `${claim.key}/${claim.record.claimId}/${index}`)
  for (const [index, value] of texts.entries()) {
    const outcome = await writer.write({ kind: 'part', key: parts[index]!, value })
    if (outcome !== 'done') return false
  }
  const record: AnswerRecord = { status: answer.status, contentType: answer.contentType, body: parts.length > 0 ? '' : body, parts }
  const outcome = await writer.write({
    kind: 'replace',
    key: claim.key,
    expected: JSON.stringify(claim.record),
    value: JSON.stringify({ ...claim.record, answer: record })
  })
  return outcome === 'done' || outcome === 'lost'
}

/** The kept answer; undefined when a part of it cannot be read just now. */
export async function readAnswer (store: Pick<Store, 'get'>, answer: AnswerRecord): Promise<ServiceResponse | undefined> {
  const found = await Promise.all(answer.parts.map(async key => await store.get(key, { priority: 'once' })))
  const texts = found.map(part => part.ok ? part.val?.value : undefined)
  if (texts.includes(undefined)) return undefined
  const body = Buffer.from([answer.body, ...texts].join(''), BASE64)
  return { status: answer.status, contentType: answer.contentType, body }
}

function splitText (text: string): string[] {
  const count = Math.ceil(text.length / PART_CHARACTERS)
  return Array.from({ length: count }, (_, index) => text.slice(index * PART_CHARACTERS, (index + 1) * PART_CHARACTERS))
}
