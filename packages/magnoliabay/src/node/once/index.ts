/**
 * Claims for non-idempotent requests: whoever holds the claim may send, everybody else gets the stored answer.
 */
import { createHash } from 'node:crypto'
import { MAX_STORE_VALUE_BYTES, STORE_ROOT } from '../constants'
import { mayHaveRun, refusal } from '../failures'
import type { Failure } from '../failures'
import type { Store } from '../platform'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { createId } from '../utils'

const ONCE_PREFIX = `${STORE_ROOT}/once/`
const RETRY_AFTER_SECONDS = 1

export interface StoredAnswer {
  status: number
  contentType: string
  /** Body in base64. */
  body: string
}

interface ClaimRecord {
  /** Unique for each attempt to claim: tells after a lost answer whether the claim is ours. */
  claimId: string
  /** Instance and incarnation that hold the claim. */
  holder: string
  bodyDigest: string
  answer?: StoredAnswer
}

export interface ClaimRequest {
  team: string
  service: string
  idempotencyKey: string
  body: Buffer
}

export interface Claim {
  key: string
  record: ClaimRecord
}

/** `claimed`: send it, once. `answered`: it ran before, this is its answer. */
export type ClaimOutcome =
  | { kind: 'claimed', claim: Claim }
  | { kind: 'answered', answer: StoredAnswer }

export interface Once {
  claim (req: ClaimRequest): Promise<Result<ClaimOutcome, Failure>>
  /** Keeps the answer with the claim, for repeats at any instance. */
  storeAnswer (claim: Claim, answer: StoredAnswer): Promise<void>
  /** Gives the claim back: certainly nothing was sent. */
  release (claim: Claim): Promise<void>
}

export interface OnceOptions {
  store: Store
  holder: string
}

export function createOnce (options: OnceOptions): Once {
  const { store } = options
  const compareMine = (claim: Claim) => ({ key: claim.key, target: 'value' as const, equals: JSON.stringify(claim.record) })

  const resolveExisting = async (key: string, mine: ClaimRecord): Promise<Result<ClaimOutcome, Failure>> => {
    const found = await store.get(key, { priority: 'once' })
    if (found.err) return Err(storeDark())
    if (found.val === undefined) return Err(storeDark())
    const record = JSON.parse(found.val.value) as ClaimRecord
    if (record.claimId === mine.claimId) return Ok({ kind: 'claimed', claim: { key, record } })
    if (record.bodyDigest !== mine.bodyDigest) {
      return Err(refusal('idempotency_conflict', 'This Idempotency-Key was used before with another body. Use a new key for a new request.'))
    }
    if (record.answer !== undefined) return Ok({ kind: 'answered', answer: record.answer })
    return Err({
      ...mayHaveRun('idempotency_in_progress', 'The same request is being carried out, or was and its answer is not known.'),
      retryAfterSeconds: RETRY_AFTER_SECONDS
    })
  }
  return {
    claim: async req => {
      const key = `${ONCE_PREFIX}${req.team}/${req.service}/${digest(req.idempotencyKey)}`
      const record: ClaimRecord = { claimId: createId('claim'), holder: options.holder, bodyDigest: digest(req.body) }
      const claimed = await store.transact({
        compares: [{ key, target: 'create', equals: 0 }],
        writes: [{ kind: 'put', key, value: JSON.stringify(record) }]
      }, { priority: 'once' })
      if (claimed.ok && claimed.val.succeeded) return Ok({ kind: 'claimed', claim: { key, record } })
      if (claimed.err && claimed.val.kind !== 'unknown') return Err(storeDark())
      return await resolveExisting(key, record)
    },
    storeAnswer: async (claim, answer) => {
      const value = JSON.stringify({ ...claim.record, answer })
      if (value.length > MAX_STORE_VALUE_BYTES) return
      await store.transact({ compares: [compareMine(claim)], writes: [{ kind: 'put', key: claim.key, value }] }, { priority: 'once' })
    },
    release: async claim => {
      await store.transact({ compares: [compareMine(claim)], writes: [{ kind: 'delete', key: claim.key }] }, { priority: 'once' })
    }
  }
}

function digest (content: string | Buffer): string {
  return createHash('sha256').update(content).digest('base64url')
}

function storeDark (): Failure {
  return refusal('store_unavailable', 'The claim for this request cannot be recorded just now, so it was not sent.', RETRY_AFTER_SECONDS)
}
