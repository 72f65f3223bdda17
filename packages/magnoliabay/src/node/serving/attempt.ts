/** Sends a request to one backend server once, relays the response to the caller, and reports how the attempt ended. */
import type { ServerResponse } from 'node:http'
import { UNSENT, attributeAnswer } from '../answers'
import type { Disclaimer, NotRunEvidence } from '../answers'
import type { CancelTimer, Clock } from '../clock'
import { MAX_REFUSAL_BYTES, REFUSAL_BODY_TIMEOUT_MS } from '../http/boundedBody'
import { hasNoBody } from '../http/responseFraming'
import type { ServerStatement } from '../statements'
import type { BufferLease } from './answerBuffers'
import type { EventStream } from './eventStream'
import type { ResponseHead, Connections, Exchange, ExchangeEnd, SentOn } from './exchange'
import type { BackendServer } from './types'

/** Largest response that is buffered until it is complete, so that an incomplete one can be replaced, bytes. */
const MAX_BUFFERED_BYTES = 262_144
/** Bytes waiting to be sent to a slow caller above which the attempt fails, where no budget for all responses is set. */
const MAX_PENDING_WRITE_BYTES = 4_194_304

/**
 * Time that the check of a response without length gets once its request has been stopped, milliseconds: half of the time
 * between the last refusals of a shutdown and the cut of its connections.
 */
const STOPPED_CHECK_MS = 50

const REFUSAL_WITHOUT_END = 'refusal without end'

/** Decoded headers of a response. */
export interface ResponseMetadata {
  /** Id of the request that the response names. */
  attemptId: string | undefined
  /** What says that the request has not run. */
  disclaimer: Disclaimer | undefined
  isSigned: boolean
  statement: ServerStatement
}

/**
 * `relayed`: the complete response went to the caller. `rejected`: the server did not run the request, as `disclaimer` says.
 * `unsent`: nothing reached the server. `failed`: the request may have run, and nothing of the response went to the caller. `cut`: the
 * caller has part of the response, which is still open. `held`: the server closed the stream while its run was being
 * moved; the response to the caller is still open. `stopped`: ended by this process; `notRunBasis` says why it is certain that
 * the server has not run the request, where it is.
 */
export type AttemptEnd =
  | { kind: 'relayed', status: number }
  | { kind: 'rejected', status: number, disclaimer: Disclaimer }
  | { kind: 'unsent', reason: string }
  | { kind: 'failed', reason: string, response?: CompleteResponse }
  | { kind: 'cut', reason: string }
  | { kind: 'held', status: number }
  | { kind: 'stopped', notRunBasis?: NotRunEvidence['basis'] }

/** A complete response of a backend server. */
export interface CompleteResponse {
  head: ResponseHead
  body: Buffer
}

export interface AttemptOptions {
  clock: Clock
  connections: Connections
  server: BackendServer
  method: string
  path: string
  headers: readonly string[]
  body: Buffer
  /** Checks the events of a stream over all attempts; undefined for a request that is not a stream. */
  events: EventStream | undefined
  attemptId: string
  res: ServerResponse
  /** Counts what is held of the response. @default the response is limited by itself */
  lease?: BufferLease
  decodeResponseHead: (head: ResponseHead) => ResponseMetadata
  toCallerHeaders: (rawHeaders: readonly string[]) => string[]
  /** Whether a response with this status is withheld, since the request may be sent to another server. */
  isRetryableStatus: (status: number) => boolean
  /** Called with the head of a response of the server to this request. */
  onServerStatement?: (metadata: ResponseMetadata) => void
  /** Called with the status of a response that nothing ties to this request, and which is not used. */
  onUnattributed?: (status: number, metadata: ResponseMetadata) => void
  /** Connections that have carried the request before. @default none */
  avoidedConnections?: ReadonlySet<number>
  /** Whether the request goes out on a connection that has carried no other. @default false */
  needsNewConnection?: boolean
  /** Called with the head and with each chunk of the response. */
  onActivity?: () => void
  /** Called when the bytes that the server sends are no response. */
  onMalformed?: (reason: string) => void
  /** Whether the end of a stream is held back, since its run may have been stopped for a move. @default () => false */
  holdsEnd?: () => boolean
  /** Called when complete events of a stream have been forwarded. */
  onEvents?: () => void
  /** Called before the first bytes of the response go to the caller. */
  onFirstByte?: () => void
  /** Called when the request goes out. */
  onSent?: (sentOn: SentOn) => void
  /** Called when this instance has lost its path to the server, on which the answer would have to arrive. */
  onPathBroken?: () => void
  /** Called when reading from the server pauses, since the caller reads more slowly, and when the pause ends. */
  onPauseChanged?: (isPaused: boolean) => void
}

export interface Attempt {
  readonly end: Promise<AttemptEnd>
  /** Ends the attempt; the server stops its work. A response that has arrived still goes to the caller, if it is soon known to be whole. */
  stop (reason: string): void
  /** Whether reading from the server is paused. Silence in that time says nothing about the server. */
  isPaused (): boolean
  /** Whether a response without length has arrived, and it is being checked whether it is whole. */
  isBeingChecked (): boolean
  /** Ends the attempt as failed, for example because the server has stopped responding. */
  fail (reason: string): void
}

/** Statuses by which a caller would conclude that the request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])
const MIN_OK_STATUS = 200
const MIN_REDIRECT_STATUS = 300

export function isSuccess (status: number): boolean {
  return status >= MIN_OK_STATUS && status < MIN_REDIRECT_STATUS
}

export function startAttempt (options: AttemptOptions): Attempt {
  const { res, events, server, lease } = options
  /** Answers to a request without an id name none: only the first one on a connection is certain to be its own. */
  const hasId = options.attemptId !== ''
  /** An earlier attempt has started the response to the caller, and this one continues it. */
  const isContinuing = res.headersSent
  let settle: (end: AttemptEnd) => void = () => {}
  const result = new Promise<AttemptEnd>(resolve => { settle = resolve })
  let head: ResponseHead | undefined
  let sentOn: SentOn | undefined
  let disclaimer: Disclaimer | undefined
  let refusalBytes = 0
  let cancelRefusalTimer: CancelTimer = () => {}
  let cancelStopTimer: CancelTimer | undefined
  let failureReason: string | undefined
  let buffered: Buffer[] = []
  let bufferedBytes = 0
  let isForwarding = false
  let isStopped = false
  let isPaused = false

  const countHeld = (): void => lease?.setHeld(bufferedBytes + (events?.pendingBytes() ?? 0) + res.writableLength)
  const writeToCaller = (bytes: Buffer): void => { res.write(bytes, countHeld) }
  const isOk = (): boolean => head !== undefined && isSuccess(head.status)
  /** A stream that goes on at another server has another length than its first response states. */
  const callerHeadersOf = ({ rawHeaders }: ResponseHead): string[] => {
    const headers = options.toCallerHeaders(rawHeaders)
    return events !== undefined && isOk() ? headers.filter((_, index) => headers[index - index % 2]!.toLowerCase() !== 'content-length') : headers
  }
  const startForwarding = (): void => {
    isForwarding = true
    options.onFirstByte?.()
    if (!res.headersSent) {
      res.writeHead(head!.status, callerHeadersOf(head!) as never)
      events?.start(head!.headers['content-type'])
    }
    buffered.forEach(writeToCaller)
    buffered = []
    bufferedBytes = 0
  }
  const fail = (reason: string): void => {
    failureReason = reason
    exchange.cancel(reason)
  }
  const endRefusal = (): void => {
    options.onMalformed?.(REFUSAL_WITHOUT_END)
    exchange.cancel(REFUSAL_WITHOUT_END)
  }
  /** The head of a refusal settles it: its body, which may have no end, is read only so that the connection can be kept. */
  const limitRefusal = (): void => { cancelRefusalTimer = options.clock.schedule(REFUSAL_BODY_TIMEOUT_MS, endRefusal) }
  const skipRefusal = (chunk: Buffer): void => {
    refusalBytes += chunk.length
    if (refusalBytes > MAX_REFUSAL_BYTES) endRefusal()
  }
  const onHead = (response: ResponseHead): void => {
    head = response
    options.onActivity?.()
    const metadata = options.decodeResponseHead(response)
    const attribution = attributeAnswer({
      sentId: options.attemptId,
      receivedId: metadata.attemptId,
      priorRequests: sentOn?.priorRequests ?? 0,
      hasCarriedId: sentOn !== undefined && (options.avoidedConnections?.has(sentOn.connection) ?? false),
      mustNameRequest: hasId,
      disclaimer: metadata.disclaimer
    })
    if (attribution.kind !== 'own') {
      options.onUnattributed?.(response.status, metadata)
      return fail(attribution.reason)
    }
    options.onServerStatement?.(metadata)
    disclaimer = attribution.disclaimer
    if (disclaimer !== undefined) return limitRefusal()
    if (isOk() && !metadata.isSigned) return fail('response is not signed')
    // The server does not confirm that the request has not run, so relaying such a status would mislead the caller.
    if (NOT_RUN_STATUSES.has(response.status)) return fail(`status ${response.status} without confirmation that the request has not run`)
    if (!isContinuing) return
    if (response.status !== res.statusCode) return fail(`status ${response.status} to a resumed stream`)
    if (response.headers['content-type'] !== events?.contentType()) fail(`content type ${response.headers['content-type']} to a resumed stream`)
  }
  const forward = (bytes: Buffer): void => {
    if (bytes.length === 0) return
    if (!isForwarding) startForwarding()
    writeToCaller(bytes)
    if (lease === undefined && res.writableLength > MAX_PENDING_WRITE_BYTES) fail('caller reads too slowly')
  }
  const forwardEvents = (stream: EventStream, chunk: Buffer): void => {
    const parsed = stream.push(chunk)
    forward(parsed.events)
    if (parsed.events.length > 0) options.onEvents?.()
    if (parsed.problem !== undefined) fail(`invalid event: ${parsed.problem}`)
  }
  /** Whether a response that is still buffered may go to the caller before it is complete. */
  const mayForwardPart = (): boolean => disclaimer === undefined && events === undefined && !options.isRetryableStatus(head!.status)
  const setPaused = (paused: boolean): void => {
    if (isPaused === paused) return
    isPaused = paused
    options.onPauseChanged?.(paused)
  }
  lease?.setReader({
    pause: () => {
      if (!isForwarding && bufferedBytes > 0 && mayForwardPart()) startForwarding()
      // Without bytes on their way to the caller, a pause could only end by its timer.
      if (exchange.pause === undefined || res.writableLength === 0 || failureReason !== undefined) return false
      setPaused(true)
      exchange.pause()
      return true
    },
    resume: () => {
      setPaused(false)
      exchange.resume?.()
    }
  })
  const onData = (chunk: Buffer): void => {
    if (failureReason !== undefined) return
    options.onActivity?.()
    receive(chunk)
    countHeld()
  }
  const receive = (chunk: Buffer): void => {
    // Nothing of a rejection goes to the caller.
    if (disclaimer !== undefined) return skipRefusal(chunk)
    if (isOk() && events !== undefined) return forwardEvents(events, chunk)
    if (isForwarding) return forward(chunk)
    buffered.push(chunk)
    bufferedBytes += chunk.length
    if (bufferedBytes <= MAX_BUFFERED_BYTES) return
    if (!options.isRetryableStatus(head!.status)) return startForwarding()
    // Held back until it is whole, a failure without end would use up the memory.
    fail(`failure with more than ${MAX_BUFFERED_BYTES} bytes`)
  }
  const concludeComplete = (): AttemptEnd => {
    if (disclaimer !== undefined) return { kind: 'rejected', status: head!.status, disclaimer }
    if (events !== undefined && isOk() && options.holdsEnd?.() === true) return { kind: 'held', status: head!.status }
    if (events?.isInEvent()) return concludeIncomplete('stream ends within an event')
    if (isForwarding || isContinuing) {
      res.end()
      return { kind: 'relayed', status: head!.status }
    }
    const response: CompleteResponse = { head: head!, body: Buffer.concat(buffered) }
    if (options.isRetryableStatus(head!.status)) return { kind: 'failed', reason: `status ${head!.status}`, response }
    sendCompleteResponse(res, response, options.toCallerHeaders)
    return { kind: 'relayed', status: head!.status }
  }
  const concludeIncomplete = (reason: string): AttemptEnd => {
    if (disclaimer !== undefined && head !== undefined) return { kind: 'rejected', status: head.status, disclaimer }
    return { kind: isForwarding || isContinuing ? 'cut' : 'failed', reason: failureReason ?? reason }
  }
  const concludeStopped = (exchangeEnd: ExchangeEnd): AttemptEnd => {
    const notRunBasis = exchangeEnd === 'unsent' ? UNSENT : disclaimer
    return notRunBasis === undefined ? { kind: 'stopped' } : { kind: 'stopped', notRunBasis }
  }
  const conclude = (exchangeEnd: ExchangeEnd, reason: string): AttemptEnd => {
    if (isStopped) return concludeStopped(exchangeEnd)
    if (exchangeEnd === 'unsent') return { kind: 'unsent', reason }
    return exchangeEnd === 'whole' && failureReason === undefined ? concludeComplete() : concludeIncomplete(reason)
  }
  const isBeingChecked = (): boolean => exchange.isBeingChecked?.() === true
  const exchange: Exchange = options.connections.exchange({ address: server.address, method: options.method, path: options.path, headers: options.headers, body: options.body, avoidedConnections: options.avoidedConnections, needsNewConnection: !hasId || options.needsNewConnection === true }, {
    onSent: on => {
      sentOn = on
      options.onSent?.(on)
    },
    onPathBroken: options.onPathBroken,
    onMalformed: options.onMalformed,
    onHead,
    onData,
    onEnd: (exchangeEnd, reason) => {
      cancelRefusalTimer()
      cancelStopTimer?.()
      lease?.setReader(undefined)
      setPaused(false)
      settle(conclude(exchangeEnd, reason))
      // What is left is in the response to the caller, or dropped.
      bufferedBytes = 0
      countHeld()
    }
  })
  return {
    end: result,
    isPaused: () => isPaused,
    isBeingChecked,
    fail,
    stop: reason => {
      const stopNow = (): void => {
        isStopped = true
        exchange.cancel(reason)
      }
      // The answer is there, and would be lost while its end is checked.
      if (!isBeingChecked() || res.destroyed) return stopNow()
      cancelStopTimer ??= options.clock.schedule(STOPPED_CHECK_MS, stopNow)
    }
  }
}

/** Sends a complete response of a backend server to the caller. */
export function sendCompleteResponse (res: ServerResponse, response: CompleteResponse, toCallerHeaders: AttemptOptions['toCallerHeaders']): void {
  const { status, rawHeaders, headers } = response.head
  // A length beside a status without a body is against the protocol, and to HEAD it would be a wrong one.
  const mustStateLength = headers['content-length'] === undefined && !hasNoBody(res.req.method ?? 'GET', status)
  res.writeHead(status, [...toCallerHeaders(rawHeaders), ...(mustStateLength ? ['Content-Length', String(response.body.length)] : [])] as never)
  res.end(response.body)
}
