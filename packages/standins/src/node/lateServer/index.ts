/**
 * A server of a plain service on the users' platform that, as a faulty one may, sends an extra answer where the answer to
 * the next request on the connection is due, or bytes without end. A refused request that comes again on its connection gets
 * a copy of the refusal, and runs. The server records what it has run.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from 'magnoliabay/clock/index'
import { readRawRequest } from '../http/rawRequest'
import { EXTRA_BYTES, RUNNING_HANDLINGS, WRITE_HANDLING, answerBody, failureBody } from './answers'
import type { AnswerTarget, ExtraAnswer, Handling } from './answers'

export { EXTRA_ANSWERS, HANDLINGS } from './answers'
export type { ExtraAnswer, Handling } from './answers'

export interface LateServerOptions {
  id: string
  clock: Clock
  chooseHandling: () => Handling
  /** Chooses the extra answer that follows, if any. */
  chooseExtra: () => ExtraAnswer | undefined
  /** Requests with paths that begin so are answered by streams. */
  streamPrefix: string
  /** How long a request runs, milliseconds. */
  chooseRunMs: () => number
}

/** A request that the server has begun. */
export interface LateRun {
  attemptId: string
  /** The answer that the server gave, whole; undefined if it gave none, or bytes that are none. */
  answer: { status: 200 | 500, body: string } | undefined
}

export interface LateServer {
  readonly id: string
  /** `ip:port` */
  readonly address: string
  runs (): readonly LateRun[]
  close (): void
}

/** What is an answer to a request that has run. */
const GIVEN_ANSWERS: Readonly<Partial<Record<Handling, (target: AnswerTarget) => LateRun['answer']>>> = {
  answer: target => ({ status: 200, body: answerBody(target) }),
  fail: target => ({ status: 500, body: failureBody(target) })
}
const HOST = '127.0.0.1'

export async function createLateServer (options: LateServerOptions): Promise<LateServer> {
  const { id, clock, chooseHandling, chooseExtra, streamPrefix, chooseRunMs } = options
  const runs: LateRun[] = []
  const sockets = new Set<Socket>()

  const serve = (socket: Socket): void => {
    let pending = ''
    let extra: string | undefined
    const refused = new Set<string>()
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    const handle = (target: AnswerTarget): void => {
      const late = refused.has(target.attemptId) ? EXTRA_BYTES['refusal-copy'](target) : extra
      // An extra answer is confused with that to a request that runs.
      const handling = late === undefined ? chooseHandling() : 'answer'
      if (late !== undefined) socket.write(late)
      const isRun = RUNNING_HANDLINGS.has(handling)
      if (isRun) runs.push({ attemptId: target.attemptId, answer: GIVEN_ANSWERS[handling]?.(target) })
      else refused.add(target.attemptId)
      const chosen = chooseExtra()
      extra = chosen === undefined ? undefined : EXTRA_BYTES[chosen](target)
      const answer = (): void => { if (!socket.destroyed) WRITE_HANDLING[handling](target)(socket) }
      if (isRun) clock.schedule(chooseRunMs(), answer)
      else answer()
    }
    socket.on('data', chunk => {
      pending += chunk.toString('latin1')
      const req = readRawRequest(pending)
      if (req === undefined) return
      pending = pending.slice(req.length)
      handle({ server: id, attemptId: req.attemptId, isStream: req.path.startsWith(streamPrefix) })
    })
  }
  const server = createServer(serve)
  await new Promise<void>(resolve => server.listen(0, HOST, resolve))
  return {
    id,
    address: `${HOST}:${(server.address() as AddressInfo).port}`,
    runs: () => runs,
    close: () => {
      server.close()
      sockets.forEach(socket => socket.destroy())
    }
  }
}
