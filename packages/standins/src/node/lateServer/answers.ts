/** Answers of a server that refuses, runs and fails, and that sends extra answers, or bytes without end, as bytes on the connection. */
import type { Socket } from 'node:net'

/** What the server does with a request. */
export const HANDLINGS = ['answer', 'fail', 'refuse', 'misdirect', 'break-off', 'stay-silent', 'send-garbage', 'bare-refusal', 'endless-refusal', 'endless-hints', 'endless-head', 'endless-extension'] as const
export type Handling = typeof HANDLINGS[number]

/** An extra answer, at the place of the answer to the next request on its connection. */
export const EXTRA_ANSWERS = ['refusal-copy', 'refusal-without-id', 'bare-misdirect', 'success-copy', 'success-without-id', 'failure-without-id'] as const
export type ExtraAnswer = typeof EXTRA_ANSWERS[number]

export interface AnswerTarget {
  server: string
  attemptId: string
  isStream: boolean
}

const ENDLESS_INTERVAL_MS = 5
const ENDLESS_BYTES = 16_384
const NOT_EXECUTED = 'X-Magnoliabay-Not-Executed: 1\r\n'
const KEEP_ALIVE = 'Keep-Alive: timeout=15\r\n'
const EVENTS = 3

/** Returns the body of a whole answer: no two servers or requests have the same. */
export function answerBody ({ server, attemptId, isStream }: AnswerTarget): string {
  if (!isStream) return `${server}|${attemptId}|`.repeat(4)
  return Array.from({ length: EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${server}|${attemptId}|${index}\n\n`).join('')
}

/** Returns the body of a failure of a request that has run. */
export const failureBody = ({ server, attemptId }: AnswerTarget): string => `${server}|${attemptId}|failed`

const idOf = ({ attemptId }: AnswerTarget): string => `X-Magnoliabay-Attempt-Id: ${attemptId}\r\n`
const signatureOf = ({ server }: AnswerTarget): string => `X-Magnoliabay-Server-Signature: ${server}.late\r\n`
const typeOf = ({ isStream }: AnswerTarget): string => isStream ? 'Content-Type: text/event-stream\r\n' : ''
const message = (status: string, headers: string, body: string): string => `HTTP/1.1 ${status}\r\n${headers}${KEEP_ALIVE}Content-Length: ${body.length}\r\n\r\n${body}`
const success = (target: AnswerTarget, id: string): string => message('200 OK', id + signatureOf(target) + typeOf(target), answerBody(target))
const failure = (target: AnswerTarget, id: string): string => message('500 Failed', id + signatureOf(target), failureBody(target))
const refusal = (id: string): string => message('503 Full', id + NOT_EXECUTED, '')

/** Writes the bytes again and again until the connection closes. */
function writeWithoutEnd (socket: Socket, bytes: string): void {
  const timer = setInterval(() => { if (!socket.writableNeedDrain) socket.write(bytes) }, ENDLESS_INTERVAL_MS)
  socket.once('close', () => clearInterval(timer))
}

const endless = (start: string, bytes: string) => (socket: Socket): void => {
  socket.write(start)
  writeWithoutEnd(socket, bytes)
}
const filler = 'x'.repeat(ENDLESS_BYTES)
const write = (text: string) => (socket: Socket): void => { socket.write(text) }

export const WRITE_HANDLING: Readonly<Record<Handling, (target: AnswerTarget) => (socket: Socket) => void>> = {
  answer: target => write(success(target, idOf(target))),
  fail: target => write(failure(target, idOf(target))),
  refuse: target => write(refusal(idOf(target))),
  misdirect: target => write(message('421 Other', idOf(target), '')),
  'break-off': () => socket => socket.resetAndDestroy(),
  'stay-silent': () => () => {},
  'send-garbage': () => write('\u0000\u0001 what is this\r\n\r\n'),
  'bare-refusal': () => write(message('503 Full', '', '')),
  'endless-refusal': target => endless(`HTTP/1.1 503 Full\r\n${idOf(target)}${NOT_EXECUTED}Transfer-Encoding: chunked\r\n\r\n`, `${ENDLESS_BYTES.toString(16)}\r\n${filler}\r\n`),
  'endless-hints': () => endless('', 'HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n'),
  'endless-head': () => endless('HTTP/1.1 200 OK\r\n', 'X-Filler: filler\r\n'),
  'endless-extension': target => endless(`HTTP/1.1 200 OK\r\n${idOf(target)}${signatureOf(target)}Transfer-Encoding: chunked\r\n\r\n4;`, filler)
}

/** Handlings before which the server has begun the request. */
export const RUNNING_HANDLINGS: ReadonlySet<Handling> = new Set<Handling>(['answer', 'fail', 'break-off', 'stay-silent', 'send-garbage', 'bare-refusal', 'endless-hints', 'endless-head', 'endless-extension'])

/** `target`: the earlier request, to which the extra answer belongs. */
export const EXTRA_BYTES: Readonly<Record<ExtraAnswer, (target: AnswerTarget) => string>> = {
  'refusal-copy': target => refusal(idOf(target)),
  'refusal-without-id': () => refusal(''),
  'bare-misdirect': () => message('421 Other', '', ''),
  'success-copy': target => success(target, idOf(target)),
  'success-without-id': target => success(target, ''),
  'failure-without-id': target => failure(target, '')
}
