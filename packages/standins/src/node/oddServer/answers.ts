/** Answers of a plain service that HTTP allows and few servers give, and answers of a faulty one, as bytes on the connection. */
import type { Socket } from 'node:net'

/** Answers that HTTP allows. */
export const SOUND_ANSWERS = ['short', 'chunked', 'long', 'unknown-length', 'no-content', 'not-modified'] as const
/** Answers of a faulty server. */
export const FAULTY_ANSWERS = ['cut-short', 'cut-long', 'cut-chunked', 'reset-unknown-length', 'no-status', 'no-response', 'extra-bytes', 'endless-timeout', 'unsigned', 'endless-failure'] as const

export type SoundAnswer = typeof SOUND_ANSWERS[number]
export type FaultyAnswer = typeof FAULTY_ANSWERS[number]
export type AnswerKind = SoundAnswer | FaultyAnswer

export interface AnswerRequest {
  server: string
  attemptId: string
  isHead: boolean
}

const SHORT_BYTES = 800
/** More than what is held back of a response until it is complete. */
const LONG_BYTES = 600_000
const CUT_BYTES = 400_000

/** Returns the body of a whole answer: no two servers or requests have the same. */
export function answerBody ({ server, attemptId }: AnswerRequest, bytes: number): string {
  const unit = `${server}|${attemptId}|`
  return unit.repeat(Math.ceil(bytes / unit.length)).slice(0, bytes)
}

const signatureOf = ({ server, attemptId }: AnswerRequest): string => `X-Magnoliabay-Attempt-Id: ${attemptId}\r\nX-Magnoliabay-Server-Signature: ${server}.sound\r\nKeep-Alive: timeout=15\r\n`
const head = (req: AnswerRequest, status: string, headers: string): string => `HTTP/1.1 ${status}\r\n${signatureOf(req)}${headers}\r\n`
const withLength = (req: AnswerRequest, bytes: number): string => head(req, '200 OK', `Content-Length: ${bytes}\r\n`)
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`

/** The body of the whole answer, and what is written; without a body the answer is never whole. */
interface Answer {
  body: string | undefined
  write (socket: Socket): void
}

const sound = (body: string, bytes: string): Answer => ({ body, write: socket => { socket.write(bytes) } })
const cut = (bytes: string): Answer => ({ body: undefined, write: socket => { socket.write(bytes, () => setTimeout(() => socket.destroy(), 20)) } })

const ANSWERS: Readonly<Record<AnswerKind, (req: AnswerRequest) => Answer>> = {
  short: req => sound(answerBody(req, SHORT_BYTES), withLength(req, SHORT_BYTES) + answerBody(req, SHORT_BYTES)),
  long: req => sound(answerBody(req, LONG_BYTES), withLength(req, LONG_BYTES) + answerBody(req, LONG_BYTES)),
  chunked: req => sound(answerBody(req, SHORT_BYTES), `${head(req, '200 OK', 'Transfer-Encoding: chunked\r\n')}${chunk(answerBody(req, SHORT_BYTES))}0\r\n\r\n`),
  'unknown-length': req => ({ body: answerBody(req, SHORT_BYTES), write: socket => { socket.end(head(req, '200 OK', 'Connection: close\r\n') + answerBody(req, SHORT_BYTES)) } }),
  'no-content': req => sound('', head(req, '204 No Content', '')),
  'not-modified': req => sound('', head(req, '304 Not Modified', '')),
  'cut-short': req => cut(withLength(req, SHORT_BYTES) + answerBody(req, SHORT_BYTES / 2)),
  'cut-long': req => cut(withLength(req, LONG_BYTES) + answerBody(req, CUT_BYTES)),
  'cut-chunked': req => cut(head(req, '200 OK', 'Transfer-Encoding: chunked\r\n') + chunk(answerBody(req, SHORT_BYTES))),
  'reset-unknown-length': req => ({ body: undefined, write: socket => { socket.write(head(req, '200 OK', 'Connection: close\r\n') + answerBody(req, SHORT_BYTES / 2), () => setTimeout(() => socket.resetAndDestroy(), 20)) } }),
  'no-status': req => ({ body: undefined, write: socket => { socket.write(`${head(req, '000 X', 'Content-Length: 4\r\n')}none`) } }),
  'no-response': () => ({ body: undefined, write: socket => { socket.write('\u0000\u0001 what is this\r\n\r\n') } }),
  'extra-bytes': req => sound(answerBody(req, SHORT_BYTES), `${withLength(req, SHORT_BYTES)}${answerBody(req, SHORT_BYTES)}HTTP/1.1 200 OK\r\n`),
  'endless-timeout': req => sound(answerBody(req, SHORT_BYTES), head(req, '200 OK', `Content-Length: ${SHORT_BYTES}\r\nKeep-Alive: timeout=${'9'.repeat(400)}\r\n`).replace('Keep-Alive: timeout=15\r\n', '') + answerBody(req, SHORT_BYTES)),
  unsigned: req => ({ body: undefined, write: socket => { socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${SHORT_BYTES}\r\n\r\n${answerBody(req, SHORT_BYTES)}`) } }),
  'endless-failure': req => cut(head(req, '500 X', 'Transfer-Encoding: chunked\r\n') + chunk(answerBody(req, CUT_BYTES)))
}

/** An answer to a HEAD request states no length, and has no body. */
const toHead = (req: AnswerRequest): Answer => sound('', head(req, '200 OK', ''))

export function answerOf (kind: AnswerKind, req: AnswerRequest): Answer {
  return req.isHead ? toHead(req) : ANSWERS[kind](req)
}
