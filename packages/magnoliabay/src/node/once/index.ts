/**
 * Claims for non-idempotent requests: the instance that owns the claim sends the request, and repeats get the
 * stored response. Only the owner ever sends under a claim, and a claim never gets another owner: if its owner
 * terminates, the request stays *may have run* until the claim's retention expires.
 */
import { checkInput } from '../inputs'
import { parseJson } from '../utils'
import type { ServiceResponse } from '../backend/serviceCall'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import { createIndeterminateFailure, createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import type { Store } from '../store'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { createId } from '../utils'
import { readResponse, writeResponse } from './storedResponses'
import type { StoredClaim } from './storedResponses'
import { claimKeyOf, claimRecordSchema, requestDigestOf } from './claimRecord'
import type { ClaimRecord, ClaimRequest } from './claimRecord'
import type { ClaimWriter } from './claimWriter'

export { createBatchWriter } from './batchWriter'
export { createRetentionLease } from './retentionLease'
export { createForwardingWriter } from './forwardingWriter'
export type { ClaimRequest } from './claimRecord'
export type IdempotencyClaim = StoredClaim

const RETRY_AFTER_SECONDS = 1
const RETRY_DELAY_MS = 1000
/** Delays between reads of a claim without a response; after the last one, the caller is asked to retry. */
const RESPONSE_POLL_DELAYS_MS: readonly number[] = [50, 100, 200, 400]
/** Responses are not stored while this many writes, over all requests, wait for the store. */
const MAX_PENDING_WRITES = 1000
const MAX_STORE_ATTEMPTS = 300
const MAX_RELEASE_ATTEMPTS = 60
const READ_OPTIONS = { priority: 'once' } as const

/** `claimed`: the caller of `claim` must send the request, once. `answered`: it ran before, with this response. */
export type ClaimOutcome =
  | { kind: 'claimed', claim: IdempotencyClaim }
  | { kind: 'answered', response: ServiceResponse }

export interface IdempotencyClaims {
  claim (req: ClaimRequest): Promise<Result<ClaimOutcome, Failure>>
  /** Stores the response with the claim in the background, and retries while the store is unavailable. */
  storeResponse (claim: IdempotencyClaim, response: ServiceResponse): void
  /** Removes the claim of a request that was certainly not sent. */
  release (claim: IdempotencyClaim): Promise<void>
  /** Resolves when no write is pending. */
  waitForPendingWrites (): Promise<void>
}

export interface IdempotencyClaimsOptions {
  store: Store
  writer: ClaimWriter
  owner: string
  clock: Clock
  logger: Logger
  /** Age in milliseconds above which the owner of a claim without a response is presumed to have terminated. */
  inProgressTimeoutMs: number
}

export function createIdempotencyClaims (options: IdempotencyClaimsOptions): IdempotencyClaims {
  const { store, writer, clock, logger } = options
  const pendingWrites = new Set<Promise<void>>()

  /** Waits a short time for a response of the claim's owner, which reaches the owner's caller before the store. */
  const waitForResponse = async (key: string, ownRecord: ClaimRecord): Promise<Result<ClaimOutcome, Failure>> => {
    for (const waitMs of RESPONSE_POLL_DELAYS_MS) {
      const existing = await readExistingClaim(key, ownRecord)
      if (existing.ok || existing.val.code !== 'idempotency_in_progress') return existing
      await sleep(clock, waitMs)
    }
    return await readExistingClaim(key, ownRecord)
  }
  const readExistingClaim = async (key: string, ownRecord: ClaimRecord): Promise<Result<ClaimOutcome, Failure>> => {
    const found = await store.get(key, READ_OPTIONS)
    // Somebody holds the claim, and may have sent the request.
    if (found.err) return Err(createClaimUnreadableFailure())
    if (found.val === undefined) return Err(createStoreUnavailableFailure())
    const read = checkInput(claimRecordSchema, parseJson(found.val.value))
    if (read.err) return Err(createResponseUnreadableFailure())
    const record: ClaimRecord = read.val
    if (record.claimId === ownRecord.claimId) return Ok({ kind: 'claimed', claim: { key, record: ownRecord } })
    if (record.digest !== ownRecord.digest) {
      return Err(createRefusal('idempotency_conflict', 'This Idempotency-Key was used before with another request. Use a new key for a new request.'))
    }
    if (record.answer === undefined) return Err(createNoResponseFailure(record, clock.now(), options.inProgressTimeoutMs))
    const response = await readResponse(store, record.answer)
    if (response === undefined) return Err(createResponseUnreadableFailure())
    return Ok({ kind: 'answered', response })
  }
  const retryStoreResponse = async (claim: IdempotencyClaim, response: ServiceResponse): Promise<void> => {
    for (let attempt = 0; attempt < MAX_STORE_ATTEMPTS; attempt += 1) {
      if (await writeResponse(writer, claim, response)) return
      await sleep(clock, RETRY_DELAY_MS)
    }
    logger.warn('answer-not-kept', { claim: claim.record.claimId, reason: 'store unavailable for too long' })
  }
  const removeClaim = async (claim: IdempotencyClaim): Promise<boolean> => {
    const outcome = await writer.write({ kind: 'remove', key: claim.key, expected: JSON.stringify(claim.record) })
    return outcome === 'done' || outcome === 'lost'
  }
  /** Retries the removal, since a remaining claim would block a request that never ran for the whole retention. */
  const retryRelease = async (claim: IdempotencyClaim): Promise<void> => {
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt += 1) {
      await sleep(clock, RETRY_DELAY_MS)
      if (await removeClaim(claim)) return
    }
    logger.warn('claim-not-released', { claim: claim.record.claimId, reason: 'store unavailable for too long' })
  }
  const runInBackground = (task: Promise<void>): void => {
    const tracked = task.finally(() => pendingWrites.delete(tracked))
    pendingWrites.add(tracked)
  }
  return {
    claim: async req => {
      const key = claimKeyOf(req)
      const record: ClaimRecord = {
        claimId: createId('claim'),
        holder: options.owner,
        digest: requestDigestOf(req),
        claimedAtMs: clock.now()
      }
      const outcome = await writer.write({ kind: 'claim', key, value: JSON.stringify(record) })
      if (outcome === 'done') return Ok({ kind: 'claimed', claim: { key, record } })
      if (outcome === 'unavailable') return Err(createStoreUnavailableFailure())
      return await waitForResponse(key, record)
    },
    storeResponse: (claim, response) => {
      if (pendingWrites.size >= MAX_PENDING_WRITES) {
        return logger.warn('answer-not-kept', { claim: claim.record.claimId, reason: 'too many responses wait for the store' })
      }
      runInBackground(retryStoreResponse(claim, response))
    },
    release: async claim => {
      if (await removeClaim(claim)) return
      runInBackground(retryRelease(claim))
    },
    waitForPendingWrites: async () => { await Promise.all([...pendingWrites]) }
  }
}

function createStoreUnavailableFailure (): Failure {
  return createRefusal('store_unavailable', 'The claim for this request cannot be recorded just now, so it was not sent.', RETRY_AFTER_SECONDS)
}

function createClaimUnreadableFailure (): Failure {
  return {
    ...createIndeterminateFailure('store_unavailable', 'The request was sent under this key before, and may have run; its claim cannot be read just now. Ask again with the same key.'),
    retryAfterSeconds: RETRY_AFTER_SECONDS
  }
}

function createResponseUnreadableFailure (): Failure {
  return {
    ...createIndeterminateFailure('store_unavailable', 'The request has run; its answer cannot be read just now. Ask again with the same key.'),
    retryAfterSeconds: RETRY_AFTER_SECONDS
  }
}

function createNoResponseFailure (record: ClaimRecord, nowMs: number, inProgressTimeoutMs: number): Failure {
  if (nowMs - record.claimedAtMs > inProgressTimeoutMs) {
    return createIndeterminateFailure('may_have_run', 'The request may have run, and its answer was lost. It will not be run again under this key.')
  }
  return {
    ...createIndeterminateFailure('idempotency_in_progress', 'The same request is being carried out. Ask again with the same key for its answer.'),
    retryAfterSeconds: RETRY_AFTER_SECONDS
  }
}
