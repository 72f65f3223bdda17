/**
 * Claims for non-idempotent requests: whoever holds the claim may send, everybody else gets the kept answer.
 * Nobody but its holder ever sends under a claim, and a claim is never taken over: when its holder dies, the
 * request stays *may have run* until the claim's retention runs out.
 */
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
import { readAnswer, writeAnswer } from './answers'
import type { StoredClaim } from './answers'
import { claimKeyOf, requestDigestOf } from './claimRecord'
import type { ClaimRecord, ClaimRequest } from './claimRecord'
import type { ClaimWriter } from './claimWriter'

export { createBatchWriter } from './batchWriter'
export { createRetentionLease } from './retentionLease'
export { createForwardingWriter } from './forwardingWriter'
export type { ClaimRequest } from './claimRecord'
export type IdempotencyClaim = StoredClaim

const RETRY_AFTER_SECONDS = 1
const RETRY_MS = 1000
/** Between reads of a claim that has no answer yet, milliseconds; then its caller is told to ask again. */
const ANSWER_WAITS_MS: readonly number[] = [50, 100, 200, 400]
/** Answers that wait for the store to come back, over all requests. */
const MAX_WAITING_ANSWERS = 1000
const ANSWER_TRIES = 300
const RELEASE_TRIES = 60
const ONCE = { priority: 'once' } as const

/** `claimed`: send it, once. `answered`: it ran before, this is its answer. */
export type ClaimOutcome =
  | { kind: 'claimed', claim: IdempotencyClaim }
  | { kind: 'answered', answer: ServiceResponse }

export interface IdempotencyClaims {
  claim (req: ClaimRequest): Promise<Result<ClaimOutcome, Failure>>
  /** Keeps the answer with the claim, in the background, through an outage of the store. */
  storeAnswer (claim: IdempotencyClaim, answer: ServiceResponse): void
  /** Gives the claim back: certainly nothing was sent. */
  release (claim: IdempotencyClaim): Promise<void>
  /** Resolves when no answer waits to be kept any more. */
  waitForPendingWrites (): Promise<void>
}

export interface IdempotencyClaimsOptions {
  store: Store
  writer: ClaimWriter
  holder: string
  clock: Clock
  logger: Logger
  /** After this long, a claim without an answer is taken to have lost its holder. Milliseconds. */
  inProgressTimeoutMs: number
}

export function createIdempotencyClaims (options: IdempotencyClaimsOptions): IdempotencyClaims {
  const { store, writer, clock, logger } = options
  const waiting = new Set<Promise<void>>()

  /** The holder's answer reaches its caller before the store: a repeat right behind it waits for it a little. */
  const resolveExisting = async (key: string, mine: ClaimRecord): Promise<Result<ClaimOutcome, Failure>> => {
    for (const waitMs of ANSWER_WAITS_MS) {
      const existing = await readExisting(key, mine)
      if (existing.ok || existing.val.code !== 'idempotency_in_progress') return existing
      await sleep(clock, waitMs)
    }
    return await readExisting(key, mine)
  }
  const readExisting = async (key: string, mine: ClaimRecord): Promise<Result<ClaimOutcome, Failure>> => {
    const found = await store.get(key, ONCE)
    if (found.err || found.val === undefined) return Err(storeDark())
    const record = JSON.parse(found.val.value) as ClaimRecord
    if (record.claimId === mine.claimId) return Ok({ kind: 'claimed', claim: { key, record: mine } })
    if (record.digest !== mine.digest) {
      return Err(createRefusal('idempotency_conflict', 'This Idempotency-Key was used before with another request. Use a new key for a new request.'))
    }
    if (record.answer === undefined) return Err(withoutAnswer(record, clock.now(), options.inProgressTimeoutMs))
    const answer = await readAnswer(store, record.answer)
    if (answer === undefined) return Err(answerUnread())
    return Ok({ kind: 'answered', answer })
  }
  const keepAnswer = async (claim: IdempotencyClaim, answer: ServiceResponse): Promise<void> => {
    for (let tries = 0; tries < ANSWER_TRIES; tries += 1) {
      if (await writeAnswer(writer, claim, answer)) return
      await sleep(clock, RETRY_MS)
    }
    logger.warn('answer-not-kept', { claim: claim.record.claimId, reason: 'store unavailable for too long' })
  }
  const removeClaim = async (claim: IdempotencyClaim): Promise<boolean> => {
    const outcome = await writer.write({ kind: 'remove', key: claim.key, expected: JSON.stringify(claim.record) })
    return outcome === 'done' || outcome === 'lost'
  }
  /** Left standing, the claim would refuse for its whole retention what never ran. */
  const retryRelease = async (claim: IdempotencyClaim): Promise<void> => {
    for (let tries = 0; tries < RELEASE_TRIES; tries += 1) {
      await sleep(clock, RETRY_MS)
      if (await removeClaim(claim)) return
    }
    logger.warn('claim-not-released', { claim: claim.record.claimId, reason: 'store unavailable for too long' })
  }
  const runInBackground = (task: Promise<void>): void => {
    const tracked = task.finally(() => waiting.delete(tracked))
    waiting.add(tracked)
  }
  return {
    claim: async req => {
      const key = claimKeyOf(req)
      const record: ClaimRecord = {
        claimId: createId('claim'),
        holder: options.holder,
        digest: requestDigestOf(req),
        claimedAtMs: clock.now()
      }
      const outcome = await writer.write({ kind: 'claim', key, value: JSON.stringify(record) })
      if (outcome === 'done') return Ok({ kind: 'claimed', claim: { key, record } })
      if (outcome === 'unavailable') return Err(storeDark())
      return await resolveExisting(key, record)
    },
    storeAnswer: (claim, answer) => {
      if (waiting.size >= MAX_WAITING_ANSWERS) {
        return logger.warn('answer-not-kept', { claim: claim.record.claimId, reason: 'too many answers wait for the store' })
      }
      runInBackground(keepAnswer(claim, answer))
    },
    release: async claim => {
      if (await removeClaim(claim)) return
      runInBackground(retryRelease(claim))
    },
    waitForPendingWrites: async () => { await Promise.all([...waiting]) }
  }
}

function storeDark (): Failure {
  return createRefusal('store_unavailable', 'The claim for this request cannot be recorded just now, so it was not sent.', RETRY_AFTER_SECONDS)
}

function answerUnread (): Failure {
  return {
    ...createIndeterminateFailure('store_unavailable', 'The request has run; its answer cannot be read just now. Ask again with the same key.'),
    retryAfterSeconds: RETRY_AFTER_SECONDS
  }
}

function withoutAnswer (record: ClaimRecord, nowMs: number, inProgressMs: number): Failure {
  if (nowMs - record.claimedAtMs > inProgressMs) {
    return createIndeterminateFailure('may_have_run', 'The request may have run, and its answer was lost. It will not be run again under this key.')
  }
  return {
    ...createIndeterminateFailure('idempotency_in_progress', 'The same request is being carried out. Ask again with the same key for its answer.'),
    retryAfterSeconds: RETRY_AFTER_SECONDS
  }
}
