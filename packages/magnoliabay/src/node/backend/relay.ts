/**
 * Sends a completion to an engine and relays the response, either complete or marked as cut off.
 */
import { inBackground } from '../background'
import type { ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import { createIndeterminateFailure } from '../failures'
import type { ExchangeRequest } from './httpExchange'
import { PRIORITY_HEADER, REQUEST_ID_HEADER } from './protocol'
import { toFailedResult, runPart } from './relayConnection'
import type { PartResult } from './relayConnection'
import { relayBuffered } from './relayBuffered'
import { createStreamState } from './relayStreamState'
import type { StreamState } from './relayStreamState'
import type { RelayOptions, RelayRequest, RelayResult, RelayAttempt } from './relayTypes'

/** How often one broken stream may be resumed, each time on a new connection. */
const MAX_RESUMES = 2

export async function relayCompletion (options: RelayOptions, req: RelayRequest, res: ServerResponse, onFirstByte: () => void): Promise<RelayResult> {
  const firstAttempt = await runAttempt(options, options.connectionPools.of(req.address), req, req.engineRequestId, res, onFirstByte)
  if (firstAttempt.kind !== 'failed' || !firstAttempt.isConnectionSuspect || req.signal.aborted || !req.tryTakeRetry() || !await options.statements.admit(req.address)) return firstAttempt.result
  // The pooled connection may have stopped responding, been closed meanwhile, or carried another request's
  // response, while new connections work; the caller would then wait until its deadline. One attempt on a new
  // connection distinguishes a faulty connection from a faulty engine.
  const freshClient = options.connectionPools.createUnpooled(req.address)
  try {
    const secondAttempt = await runAttempt(options, freshClient, req, `${req.engineRequestId}.fresh`, res, onFirstByte)
    // An engine that is unreachable now gives no more information than the first attempt did.
    return secondAttempt.kind === 'not-run' ? firstAttempt.result : secondAttempt.result
  } finally {
    freshClient.destroy().catch(() => {})
  }
}

interface AttemptResult {
  kind: RelayResult['kind']
  result: RelayResult
  isConnectionSuspect: boolean
}

async function runAttempt (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, engineRequestId: string, res: ServerResponse, onFirstByte: () => void): Promise<AttemptResult> {
  const { execution: tracker } = req
  tracker.record('send')
  const attemptRequest = { ...req, engineRequestId }
  const relayAttempt = req.isStream
    ? await relayStreamed(options, dispatcher, attemptRequest, res, onFirstByte)
    : await relayBuffered(options, dispatcher, attemptRequest, exchangeRequestOf(options, attemptRequest), res, onFirstByte)
  const { result } = relayAttempt
  if ('notRun' in result) tracker.disclaim({ server: req.address, send: tracker.evidence().length + 1, ...result.notRun })
  else tracker.record('lose')
  if (relayAttempt.part.isLeftRunning) inBackground('cancel', options.engineClient.cancel(req.address, engineRequestId))
  return { kind: relayAttempt.result.kind, result: relayAttempt.result, isConnectionSuspect: relayAttempt.part.isConnectionSuspect }
}

async function relayStreamed (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, res: ServerResponse, onFirstByte: () => void): Promise<RelayAttempt> {
  const stream = createStreamState(options, req, res, onFirstByte)
  let part = await runPart(options, dispatcher, req, exchangeRequestOf(options, req), stream)
  for (let resumes = 0; resumes < MAX_RESUMES && canResume(part, stream, req) && await options.statements.admit(req.address); resumes += 1) {
    const resumedPart = await resumePart(options, req, stream)
    // Refused because the engine no longer keeps the request: the failure of the earlier part is reported.
    if (resumedPart.kind === 'refused') break
    part = resumedPart
  }
  return { result: toRelayResult(part, stream), part }
}

/** Returns whether a stream that broke after its first event may be resumed, on a new connection, at the next event. */
function canResume (part: PartResult, stream: StreamState, req: RelayRequest): boolean {
  return part.kind === 'broken' && stream.isStarted() && !req.signal.aborted
}

async function resumePart (options: RelayOptions, req: RelayRequest, stream: StreamState): Promise<PartResult> {
  const freshClient = options.connectionPools.createUnpooled(req.address)
  stream.discardPartialEvent()
  const path = `/control/resume?request=${encodeURIComponent(req.engineRequestId)}&from=${stream.nextIndex()}`
  const { engineGapMs } = options.limits
  const resume: ExchangeRequest = { method: 'GET', path, headers: {}, firstByteTimeoutMs: engineGapMs, idleTimeoutMs: engineGapMs }
  try {
    return await runPart(options, freshClient, req, resume, stream)
  } finally {
    freshClient.destroy().catch(() => {})
  }
}

function exchangeRequestOf (options: RelayOptions, req: RelayRequest): ExchangeRequest {
  const { engineFirstByteMs, engineWholeMs, engineGapMs } = options.limits
  return {
    method: 'POST',
    path: req.path,
    body: req.body,
    headers: {
      'content-type': 'application/json',
      [REQUEST_ID_HEADER]: req.engineRequestId,
      [PRIORITY_HEADER]: String(req.priority),
      'x-team': req.team
    },
    firstByteTimeoutMs: req.isStream ? engineFirstByteMs : engineWholeMs,
    idleTimeoutMs: engineGapMs
  }
}

function toRelayResult (part: PartResult, stream: StreamState): RelayResult {
  if (part.kind === 'done') return { kind: 'answered', usedTokens: stream.usedTokens() }
  if (part.kind === 'stopped') return { kind: 'stopped', failure: createIndeterminateFailure('backend_failed', part.message), isConnectionBroken: false }
  if (stream.isStarted()) return { kind: 'cut', failure: createIndeterminateFailure('answer_cut', part.message), isConnectionBroken: part.isConnectionBroken }
  return toFailedResult(part)
}
