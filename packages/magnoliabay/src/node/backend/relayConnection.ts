/** One connection's share of a streamed answer. */
import type { Dispatcher } from 'undici'
import { createIndeterminateFailure, createRefusal } from '../failures'
import { startExchange } from './httpExchange'
import type { HttpExchangeEnd, ExchangeRequest, ResponseHeaders } from './httpExchange'
import { NOT_RUN_HEADER, REQUEST_ID_HEADER } from './protocol'
import type { StreamState } from './relayStreamState'
import type { RelayOptions, RelayRequest, RelayResult } from './relayTypes'

const HTTP_OK = 200
const HTTP_TOO_MANY = 429
/** Every engine would say the same. */
const REQUEST_AT_FAULT: ReadonlySet<number> = new Set([400, 413, 422])
const MAX_ERROR_TEXT_BYTES = 200
/** For an engine to end its response after the end mark, so that its connection can be used again, milliseconds. */
const LINGER_MS = 500

/** `done`: the end mark came. `refused`: the engine answered with an error. `stopped`: the request was given up. */
export type PartKind = 'done' | 'refused' | 'broken' | 'stopped'

export interface PartResult {
  kind: PartKind
  message: string
  status: number
  /** Certainly nothing of the request ran. */
  isNotRun: boolean
  /** The fault may lie in this connection alone. */
  isConnectionSuspect: boolean
  /** The engine may still be working on it for nobody. */
  isLeftRunning: boolean
  /** The connection broke off: the engine's process may have died. */
  isDead: boolean
}

/** What an answer's head says, and the text of a refusal. */
export interface Head {
  status: number
  isForeign: boolean
  isNotRun: boolean
  errorText: string
}

export function createHead (): Head {
  return { status: 0, isForeign: false, isNotRun: false, errorText: '' }
}

/** Reads an answer's head. An answer that doesn't name this very request says nothing about it. */
export function readHead (head: Head, requestId: string, status: number, headers: ResponseHeaders): void {
  head.status = status
  const isMine = headers[REQUEST_ID_HEADER] === requestId
  head.isForeign = headers[REQUEST_ID_HEADER] === undefined ? status === HTTP_OK : !isMine
  head.isNotRun = isMine && status !== HTTP_OK && headers[NOT_RUN_HEADER] === 'true'
}

export async function runPart (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, exchangeReq: ExchangeRequest, stream: StreamState): Promise<PartResult> {
  const head = createHead()
  let isDone = false
  let problem = ''
  let cancelLinger = (): void => {}
  const exchange = startExchange(dispatcher, options.clock, exchangeReq, {
    onHead: (status, headers) => {
      readHead(head, req.engineRequestId, status, headers)
      if (head.isForeign) exchange.stop('The engine answered another request.')
    },
    onData: chunk => {
      if (head.status !== HTTP_OK) return addErrorText(head, chunk)
      if (isDone) return exchange.stop('The engine went on after the end of its answer.')
      const pushed = stream.push(chunk)
      isDone = pushed.isDone
      if (isDone) {
        stream.end()
        cancelLinger = options.clock.schedule(LINGER_MS, () => exchange.stop('The engine kept its connection open after the end.'))
      }
      if (pushed.problem !== undefined) {
        problem = `The engine sent a ${pushed.problem} event.`
        exchange.stop(problem)
      } else if (!pushed.hasRoom && !isDone) {
        exchange.pause()
      }
    }
  })
  stream.setOnRoom(() => exchange.resume())
  const end = await untilEnded(exchange, req.signal)
  cancelLinger()
  return describe(end, head, isDone, req.signal, problem)
}

/** Waits for the end; an abort of the request stops the exchange. */
export async function untilEnded (exchange: { ended: Promise<HttpExchangeEnd>, stop: (message: string) => void }, signal: AbortSignal): Promise<HttpExchangeEnd> {
  const onAbort = (): void => exchange.stop('The request was given up.')
  if (signal.aborted) onAbort()
  signal.addEventListener('abort', onAbort, { once: true })
  const end = await exchange.ended
  signal.removeEventListener('abort', onAbort)
  return end
}

export function addErrorText (head: Head, chunk: Buffer): void {
  if (head.errorText.length < MAX_ERROR_TEXT_BYTES) head.errorText += chunk.toString('utf8').slice(0, MAX_ERROR_TEXT_BYTES)
}

export function describe (end: HttpExchangeEnd, head: Head, isDone: boolean, signal: AbortSignal, problem: string): PartResult {
  const result: PartResult = {
    kind: 'broken',
    message: problem || end.message || 'The engine ended the answer before it was whole.',
    status: head.status,
    isNotRun: !end.isSent,
    isConnectionSuspect: false,
    isLeftRunning: false,
    isDead: false
  }
  if (isDone) return { ...result, kind: 'done' }
  if (signal.aborted) return { ...result, kind: 'stopped', isLeftRunning: end.isSent }
  if (!end.isSent) return result
  if (head.status !== 0 && head.status !== HTTP_OK && !head.isForeign) {
    return { ...result, kind: 'refused', isNotRun: head.isNotRun, message: `The engine answered with status ${head.status}: ${head.errorText}` }
  }
  return { ...result, isConnectionSuspect: true, isLeftRunning: true, isDead: end.kind === 'broken' }
}

/** What a part that gave the caller nothing comes to. */
export function failedResult (part: PartResult): RelayResult {
  if (part.kind === 'stopped') return { kind: 'stopped', failure: createIndeterminateFailure('backend_failed', part.message), isConnectionBroken: false }
  if (part.isNotRun && part.status === HTTP_TOO_MANY) return { kind: 'refused', failure: createRefusal('overloaded', part.message, 1) }
  if (part.isNotRun && REQUEST_AT_FAULT.has(part.status)) return { kind: 'refused', failure: createRefusal('bad_request', part.message) }
  if (part.isNotRun) return { kind: 'not-run', failure: createRefusal('backend_failed', part.message, 1) }
  return { kind: 'failed', failure: createIndeterminateFailure('backend_failed', part.message), isConnectionBroken: part.isDead }
}
