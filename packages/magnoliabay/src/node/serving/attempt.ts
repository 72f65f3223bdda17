/** One attempt of a request at one backend server: sends it, relays the answer, and tells how it ended. */
import type { ServerResponse } from 'node:http'
import type { EventStream } from './eventStream'
import type { ResponseHead, Connections, Exchange } from './exchange'
import type { BackendServer } from './types'

/** Whole answers up to this size are held until they are complete, so that a cut one can be replaced, bytes. */
const MAX_HELD_BYTES = 262_144
/** A caller that reads so slowly that this much waits for it is cut: the answer would fill this process, bytes. */
const MAX_UNSENT_BYTES = 4_194_304

/** What an answer's head says, decoded. */
export interface ResponseMetadata {
  attemptId: string | undefined
  isNotRun: boolean
  isSigned: boolean
}

/**
 * `relayed`: the whole answer went to the caller. `rejected`: the server did not run the request. `unsent`: nothing
 * reached it. `failed`: it may have run, and nothing of it went to the caller. `cut`: the caller has a part, and its
 * answer is still open. `stopped`: ended from this side.
 */
export type AttemptEnd =
  | { kind: 'relayed', status: number }
  | { kind: 'rejected', status: number }
  | { kind: 'unsent', reason: string }
  | { kind: 'failed', reason: string, answer?: WholeAnswer }
  | { kind: 'cut', reason: string }
  | { kind: 'stopped' }

/** A failure that the server itself answered, whole. */
export interface WholeAnswer {
  head: ResponseHead
  body: Buffer
}

export interface AttemptOptions {
  connections: Connections
  server: BackendServer
  method: string
  path: string
  headers: readonly string[]
  body: Buffer
  /** Follows the events of a stream over all attempts; undefined for a request that is no stream. */
  events: EventStream | undefined
  attemptId: string
  res: ServerResponse
  decodeAnswer: (head: ResponseHead) => ResponseMetadata
  returnedHeaders: (rawHeaders: readonly string[]) => string[]
  /** Whether an answer of this status is to be held back, since the request may be tried elsewhere. */
  holdsBack: (status: number) => boolean
  onHeard?: () => void
  /** The first bytes of the answer go to the caller. */
  onFirst?: () => void
}

export interface Attempt {
  readonly end: Promise<AttemptEnd>
  /** Ends the attempt from this side; the server stops its work. */
  stop (reason: string): void
  /** Ends it as broken: the server has fallen silent. */
  giveUp (reason: string): void
}

const PROMISES_NOT_RUN = new Set([408, 421, 429, 503])
const OK_FROM = 200
const OK_BELOW = 300

export function startAttempt (options: AttemptOptions): Attempt {
  const { res, events, server } = options
  /** An attempt before this one has begun the answer; this one goes on with it. */
  const isContinuing = res.headersSent
  let settle: (end: AttemptEnd) => void = () => {}
  const ended = new Promise<AttemptEnd>(resolve => { settle = resolve })
  let head: ResponseHead | undefined
  let isRejected = false
  let problem: string | undefined
  let held: Buffer[] = []
  let heldBytes = 0
  let isForwarding = false
  let isStopped = false

  const isOk = (): boolean => head !== undefined && head.status >= OK_FROM && head.status < OK_BELOW
  const begin = (): void => {
    isForwarding = true
    options.onFirst?.()
    if (!res.headersSent) res.writeHead(head!.status, options.returnedHeaders(head!.rawHeaders) as never)
    held.forEach(chunk => res.write(chunk))
    held = []
  }
  const spoil = (reason: string): void => {
    problem = reason
    exchange.cancel(reason)
  }
  const onHead = (answer: ResponseHead): void => {
    head = answer
    options.onHeard?.()
    const marks = options.decodeAnswer(answer)
    if (marks.attemptId !== undefined && marks.attemptId !== options.attemptId) return spoil('answer belongs to another request')
    isRejected = marks.isNotRun
    if (isRejected) return
    if (isOk() && !marks.isSigned) return spoil('answer is not signed')
    // A status that promises *not run* from a server that does not: passed on it would be a false promise.
    if (PROMISES_NOT_RUN.has(answer.status)) return spoil(`status ${answer.status} without the server's word that it has not run`)
    if (isContinuing && !isOk()) spoil(`status ${answer.status} to a stream that goes on`)
  }
  const pass = (bytes: Buffer): void => {
    if (bytes.length === 0) return
    if (!isForwarding) begin()
    res.write(bytes)
    if (res.writableLength > MAX_UNSENT_BYTES) spoil('caller reads too slowly')
  }
  const passEvents = (stream: EventStream, chunk: Buffer): void => {
    const followed = stream.push(chunk)
    pass(followed.events)
    if (followed.problem !== undefined) spoil(`event is ${followed.problem}`)
  }
  const onData = (chunk: Buffer): void => {
    if (problem !== undefined) return
    options.onHeard?.()
    if (!isRejected && isOk() && events !== undefined) return passEvents(events, chunk)
    if (isForwarding) return pass(chunk)
    held.push(chunk)
    heldBytes += chunk.length
    if (!isRejected && !options.holdsBack(head!.status) && heldBytes > MAX_HELD_BYTES) begin()
  }
  const endWhole = (): AttemptEnd => {
    if (isRejected) return { kind: 'rejected', status: head!.status }
    if (events?.isInEvent()) return endBroken('stream ends within an event')
    if (isForwarding || isContinuing) {
      res.end()
      return { kind: 'relayed', status: head!.status }
    }
    const answer: WholeAnswer = { head: head!, body: Buffer.concat(held) }
    if (options.holdsBack(head!.status)) return { kind: 'failed', reason: `status ${head!.status}`, answer }
    sendWhole(res, answer, options.returnedHeaders)
    return { kind: 'relayed', status: head!.status }
  }
  const endBroken = (reason: string): AttemptEnd => {
    if (isRejected && head !== undefined) return { kind: 'rejected', status: head.status }
    return { kind: isForwarding || isContinuing ? 'cut' : 'failed', reason: problem ?? reason }
  }
  const exchange: Exchange = options.connections.exchange({ address: server.address, method: options.method, path: options.path, headers: options.headers, body: options.body }, {
    onHead,
    onData,
    onEnd: (how, reason) => {
      if (isStopped) return settle({ kind: 'stopped' })
      if (how === 'unsent') return settle({ kind: 'unsent', reason })
      settle(how === 'whole' && problem === undefined ? endWhole() : endBroken(reason))
    }
  })
  return {
    end: ended,
    giveUp: spoil,
    stop: reason => {
      isStopped = true
      exchange.cancel(reason)
    }
  }
}

/** Sends an answer that is complete. */
export function sendWhole (res: ServerResponse, answer: WholeAnswer, returnedHeaders: AttemptOptions['returnedHeaders']): void {
  const headers = returnedHeaders(answer.head.rawHeaders)
  const hasLength = answer.head.headers['content-length'] !== undefined
  res.writeHead(answer.head.status, [...headers, ...(hasLength ? [] : ['Content-Length', String(answer.body.length)])] as never)
  res.end(answer.body)
}
