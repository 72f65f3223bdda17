/**
 * Sends a completion to an engine and relays the answer, whole or plainly cut.
 */
import type { ServerResponse } from 'node:http'
import { mayHaveRun, refusal } from '../failures'
import type { Failure } from '../failures'
import { messageOf } from '../utils'
import type { Pools } from './engineClient'
import { engineErrorOf } from './engineClient'
import { NOT_RUN_HEADER, REQUEST_ID_HEADER } from './protocol'
import { createEventSplitter } from './sse'
import type { ServerSentEvent } from './sse'

/** An engine that says nothing at all for this long is given up. */
const HEADERS_TIMEOUT_MS = 30_000
/** A stream without a byte for this long is given up. */
const SILENT_STREAM_MS = 15_000

export interface RelayRequest {
  address: string
  path: string
  requestId: string
  team: string
  body: Buffer
  isStream: boolean
  signal: AbortSignal
}

/**
 * `answered`: the caller has the whole answer. `not-run`: the engine certainly ran nothing; try elsewhere.
 * `failed`: nothing has reached the caller yet. `cut`: the caller's stream was broken off with a typed event.
 */
export type RelayResult =
  | { kind: 'answered', usedTokens: number }
  | { kind: 'not-run', failure: Failure }
  | { kind: 'failed', failure: Failure }
  | { kind: 'cut', failure: Failure }

interface Usage {
  total_tokens?: number
}

export async function relayCompletion (pools: Pools, req: RelayRequest, res: ServerResponse, onFirstByte: () => void): Promise<RelayResult> {
  try {
    const answer = await pools.of(req.address).request({
      method: 'POST',
      path: req.path,
      body: req.body,
      headers: { 'content-type': 'application/json', [REQUEST_ID_HEADER]: req.requestId, 'x-team': req.team },
      signal: req.signal,
      headersTimeout: HEADERS_TIMEOUT_MS,
      bodyTimeout: SILENT_STREAM_MS
    })
    if (answer.statusCode !== 200) {
      const text = await answer.body.text()
      const failure = failureOfStatus(answer.statusCode, answer.headers[NOT_RUN_HEADER] === 'true', text)
      return { kind: failure.notRun ? 'not-run' : 'failed', failure }
    }
    if (answer.headers[REQUEST_ID_HEADER] !== req.requestId) {
      answer.body.destroy()
      return { kind: 'failed', failure: mayHaveRun('backend_failed', 'The engine answered another request.') }
    }
    return req.isStream
      ? await relayStream(req, answer.body, res, onFirstByte)
      : await relayWhole(req, await answer.body.text(), res, onFirstByte)
  } catch (err) {
    const engineError = engineErrorOf(err)
    if (engineError.kind === 'not-sent') return { kind: 'not-run', failure: refusal('backend_failed', engineError.message, 1) }
    return { kind: 'failed', failure: mayHaveRun('backend_failed', engineError.message) }
  }
}

function failureOfStatus (status: number, notRun: boolean, text: string): Failure {
  const message = `The engine answered with status ${status}: ${text.slice(0, 200)}`
  return notRun ? refusal('backend_failed', message, 1) : mayHaveRun('backend_failed', message)
}

async function relayWhole (req: RelayRequest, text: string, res: ServerResponse, onFirstByte: () => void): Promise<RelayResult> {
  const usage = (JSON.parse(text) as { usage?: Usage }).usage
  onFirstByte()
  res.writeHead(200, { 'content-type': 'application/json', [REQUEST_ID_HEADER]: req.requestId })
  res.end(text)
  return { kind: 'answered', usedTokens: usage?.total_tokens ?? 0 }
}

async function relayStream (req: RelayRequest, body: AsyncIterable<Buffer>, res: ServerResponse, onFirstByte: () => void): Promise<RelayResult> {
  const splitter = createEventSplitter()
  let usedTokens = 0
  let isDone = false
  let isStarted = false
  let problem = 'The engine ended the answer before it was whole.'
  const idPrefix = `${req.requestId}:`
  const isMine = (event: ServerSentEvent): boolean => event.id === undefined ? event.data === '[DONE]' : event.id.startsWith(idPrefix)
  try {
    for await (const chunk of body) {
      for (const event of splitter.push(chunk)) {
        if (!isMine(event)) return cut(req, res, isStarted, 'The engine sent part of another answer.')
        if (!isStarted) {
          isStarted = true
          onFirstByte()
          res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', [REQUEST_ID_HEADER]: req.requestId })
        }
        usedTokens = usageOf(event) ?? usedTokens
        isDone = event.data === '[DONE]'
        const hasRoom = res.write(`data: ${event.data}\n\n`)
        if (!hasRoom) await drained(res)
      }
    }
  } catch (err) {
    problem = messageOf(err)
  }
  if (!isDone) return cut(req, res, isStarted, problem)
  res.end()
  return { kind: 'answered', usedTokens }
}

function usageOf (event: ServerSentEvent): number | undefined {
  if (!event.data.includes('"usage"')) return undefined
  const usage = (JSON.parse(event.data) as { usage?: Usage | null }).usage
  return usage?.total_tokens
}

/** A cut upstream never looks like a clean end: the caller gets a typed event, and no `[DONE]`. */
function cut (req: RelayRequest, res: ServerResponse, isStarted: boolean, message: string): RelayResult {
  if (!isStarted) return { kind: 'failed', failure: mayHaveRun('backend_failed', message) }
  return { kind: 'cut', failure: mayHaveRun('answer_cut', message) }
}

function drained (res: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const done = (): void => {
      res.off('drain', done)
      res.off('close', done)
      resolve()
    }
    res.on('drain', done)
    res.on('close', done)
  })
}
