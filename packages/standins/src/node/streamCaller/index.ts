/** A caller of streams by the users' platform's protocol: it resumes a stream at another instance when its connection breaks. */
import { request } from 'node:http'
import type { IncomingMessage } from 'node:http'

export interface StreamCallOptions {
  path: string
  headers: Readonly<Record<string, string>>
  /** @default none */
  body?: string
  /** Returns the entry address for a try; the first has index 0. */
  addressFor: (index: number) => string | Promise<string>
  /** Unique for each try. */
  nextAttemptId: () => string
  /** Tries, the first one included. @default 4 */
  maxTries?: number
  /** Time until the caller is back after a broken connection, milliseconds. @default 20 */
  returnDelayMs?: number
  /** The caller breaks its own connection after this event of the first try. @default never */
  breakAfterEvent?: number
}

/** One request of a caller for its stream. */
export interface StreamTry {
  address: string
  /** When it was sent, Unix milliseconds. */
  sentMs: number
  /** 0 without an answer. */
  status: number
  /** Body of an answer that refused it, or the events. */
  text: string
  isComplete: boolean
}

export interface StreamCall {
  /** Id of the try that brought the first event. */
  firstAttemptId: string | undefined
  tries: readonly StreamTry[]
  /** Software versions of the engines whose events the caller has, over all tries. */
  softwareVersions: ReadonlySet<string>
  /** Ids of the events, over all tries. */
  eventIds: readonly number[]
  /** Status of each try; 0 for one without an answer. */
  statuses: readonly number[]
  /** Whether the caller has resumed the stream after at least one event. */
  isResumed: boolean
  /** Whether it went on after that. */
  hasContinued: boolean
  isComplete: boolean
  /** Body of the last answer that refused it. */
  refusal: string
}

const DEFAULT_TRIES = 4
const DEFAULT_RETURN_DELAY_MS = 20
const CONNECT_TIMEOUT_MS = 1000
const MS_PER_SECOND = 1000

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))
const idsIn = (text: string): number[] => [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))
/** Events are complete once an empty line has followed. */
const completeEventsIn = (text: string): string => text.includes('\n\n') ? text.slice(0, text.lastIndexOf('\n\n') + 2) : ''

function sendTry (address: string, path: string, body: string | undefined, headers: Readonly<Record<string, string>>, breakAfterEvent: number): Promise<StreamTry & { retryAfterMs: number }> {
  const [host, port] = address.split(':')
  const sentMs = Date.now()
  return new Promise(resolve => {
    let text = ''
    let status = 0
    const end = (isComplete: boolean, res?: IncomingMessage): void =>
      resolve({ address, sentMs, status, text: completeEventsIn(text) || text, isComplete, retryAfterMs: Number(res?.headers['retry-after'] ?? 0) * MS_PER_SECOND })
    const req = request({ host, port, path, method: 'POST', headers, agent: false }, res => {
      status = res.statusCode ?? 0
      res.on('data', chunk => {
        text += String(chunk)
        if ((idsIn(text).at(-1) ?? 0) >= breakAfterEvent) req.destroy()
      })
      res.on('end', () => end(res.complete, res))
      res.on('close', () => end(false, res))
      res.on('error', () => end(false, res))
    })
    req.on('socket', socket => {
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => { if (socket.connecting) req.destroy() })
    })
    req.on('error', () => end(false))
    req.end(body)
  })
}

/** Calls a stream, and resumes it until it is complete or no try is left. */
export async function callStream (options: StreamCallOptions): Promise<StreamCall> {
  const { path, addressFor, nextAttemptId, maxTries = DEFAULT_TRIES, returnDelayMs = DEFAULT_RETURN_DELAY_MS, breakAfterEvent = Infinity } = options
  const tries: StreamTry[] = []
  let firstAttemptId: string | undefined
  let refusal = ''
  const received = (): string => tries.filter(({ status }) => status === 200).map(({ text }) => text).join('')
  while (tries.length < maxTries && tries.at(-1)?.isComplete !== true) {
    const attemptId = nextAttemptId()
    const resumption: Record<string, string> = firstAttemptId === undefined ? {} : { Resumes: firstAttemptId, 'Last-Event-Id': String(idsIn(received()).at(-1)) }
    const result = await sendTry(await addressFor(tries.length), path, options.body, { ...options.headers, 'x-magnoliabay-attempt-id': attemptId, ...resumption }, tries.length === 0 ? breakAfterEvent : Infinity)
    tries.push({ ...result, isComplete: result.isComplete && result.status === 200 })
    if (result.status === 200 && idsIn(result.text).length > 0) firstAttemptId ??= attemptId
    if (result.status !== 0 && result.status !== 200) refusal = result.text
    if (tries.at(-1)!.isComplete !== true) await pause(Math.max(returnDelayMs, result.retryAfterMs))
  }
  const began = tries.findIndex(({ status, text }) => status === 200 && idsIn(text).length > 0)
  const later = began < 0 ? [] : tries.slice(began + 1)
  return {
    firstAttemptId,
    tries,
    softwareVersions: new Set([...received().matchAll(/^data: (.*)$/gm)].map(([, version]) => version!)),
    eventIds: idsIn(received()),
    statuses: tries.map(({ status }) => status),
    isResumed: later.length > 0,
    hasContinued: later.some(({ status }) => status === 200),
    isComplete: tries.at(-1)!.isComplete,
    refusal
  }
}
