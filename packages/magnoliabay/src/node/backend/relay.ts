/**
 * Sends a completion to an engine and relays the answer, whole or plainly cut.
 */
import type { ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import { createIndeterminateFailure } from '../failures'
import type { ExchangeRequest } from './httpExchange'
import { PRIORITY_HEADER, REQUEST_ID_HEADER } from './protocol'
import { failedResult, runPart } from './relayConnection'
import type { PartResult } from './relayConnection'
import { relayWhole } from './relayBuffered'
import { createStreamState } from './relayStreamState'
import type { StreamState } from './relayStreamState'
import type { RelayOptions, RelayRequest, RelayResult, Relayed } from './relayTypes'

/** Connections that one broken stream may be continued on. */
const MAX_RESUMES = 2

export async function relayCompletion (options: RelayOptions, req: RelayRequest, res: ServerResponse, onFirstByte: () => void): Promise<RelayResult> {
  const first = await attemptOn(options, options.connectionPools.of(req.address), req, req.engineRequestId, res, onFirstByte)
  if (first.kind !== 'failed' || !first.isConnectionSuspect || req.signal.aborted || !req.tryTakeRetry()) return first.result
  // The pooled connection may have gone silent, been closed meanwhile, or carried another request's answer,
  // while new ones work: the caller would wait out its deadline. One try on a connection that nobody has used
  // tells a bad connection from a bad engine.
  const fresh = options.connectionPools.createUnpooled(req.address)
  try {
    const second = await attemptOn(options, fresh, req, `${req.engineRequestId}.fresh`, res, onFirstByte)
    // The engine being unreachable now says no more about it than the first try did.
    return second.kind === 'not-run' ? first.result : second.result
  } finally {
    fresh.destroy().catch(() => {})
  }
}

interface Attempted {
  kind: RelayResult['kind']
  result: RelayResult
  isConnectionSuspect: boolean
}

async function attemptOn (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, engineRequestId: string, res: ServerResponse, onFirstByte: () => void): Promise<Attempted> {
  const { execution: trail } = req
  trail.record('send')
  const attempt = { ...req, engineRequestId }
  const result = req.isStream
    ? await relayStreamed(options, dispatcher, attempt, res, onFirstByte)
    : await relayWhole(options, dispatcher, attempt, exchangeRequestOf(options, attempt), res, onFirstByte)
  trail.record(result.relayed.kind === 'not-run' || result.relayed.kind === 'refused' ? 'disclaim' : 'lose')
  if (result.part.isLeftRunning) options.engineClient.cancel(req.address, engineRequestId)
  return { kind: result.relayed.kind, result: result.relayed, isConnectionSuspect: result.part.isConnectionSuspect }
}

async function relayStreamed (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, res: ServerResponse, onFirstByte: () => void): Promise<Relayed> {
  const stream = createStreamState(options, req, res, onFirstByte)
  let part = await runPart(options, dispatcher, req, exchangeRequestOf(options, req), stream)
  for (let resumes = 0; resumes < MAX_RESUMES && canResume(part, stream, req); resumes += 1) {
    const resumed = await resumePart(options, req, stream)
    // An engine that doesn't hold the request any more leaves the first problem to be told.
    if (resumed.kind === 'refused') break
    part = resumed
  }
  return { relayed: resultOf(part, stream), part }
}

/** A stream that broke after it began goes on at the event that the caller lacks, on a fresh connection. */
function canResume (part: PartResult, stream: StreamState, req: RelayRequest): boolean {
  return part.kind === 'broken' && stream.isStarted() && !req.signal.aborted
}

async function resumePart (options: RelayOptions, req: RelayRequest, stream: StreamState): Promise<PartResult> {
  const fresh = options.connectionPools.createUnpooled(req.address)
  stream.restart()
  const path = `/control/resume?request=${encodeURIComponent(req.engineRequestId)}&from=${stream.next()}`
  const { engineGapMs } = options.limits
  const resume: ExchangeRequest = { method: 'GET', path, headers: {}, firstByteMs: engineGapMs, gapMs: engineGapMs }
  try {
    return await runPart(options, fresh, req, resume, stream)
  } finally {
    fresh.destroy().catch(() => {})
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
    firstByteMs: req.isStream ? engineFirstByteMs : engineWholeMs,
    gapMs: engineGapMs
  }
}

function resultOf (part: PartResult, stream: StreamState): RelayResult {
  if (part.kind === 'done') return { kind: 'answered', usedTokens: stream.usedTokens() }
  if (part.kind === 'stopped') return { kind: 'stopped', failure: createIndeterminateFailure('backend_failed', part.message), isConnectionBroken: false }
  if (stream.isStarted()) return { kind: 'cut', failure: createIndeterminateFailure('answer_cut', part.message), isConnectionBroken: part.isDead }
  return failedResult(part)
}
