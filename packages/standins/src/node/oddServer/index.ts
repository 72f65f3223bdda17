/**
 * A server of a plain service on the users' platform that answers as HTTP allows and few servers do, or as a faulty one does,
 * and closes its idle connections.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from 'magnoliabay/clock/index'
import { readRawRequest } from '../http/rawRequest'
import type { KvState } from '../kv/state'
import { answerOf } from './answers'
import type { AnswerKind } from './answers'

export { FAULTY_ANSWERS, SOUND_ANSWERS } from './answers'
export type { AnswerKind, FaultyAnswer, SoundAnswer } from './answers'

/** What becomes of a connection that carries no further request for a while. */
export type IdleEnd = 'kept' | 'ended' | 'reset'

export interface OddServerOptions {
  id: string
  service: string
  failureDomain: string
  store: KvState
  clock: Clock
  chooseAnswer: () => AnswerKind
  chooseIdleEnd: () => IdleEnd
}

/** An answer that the server gave. */
export interface GivenAnswer {
  attemptId: string
  kind: AnswerKind
  /** Body of the whole answer; undefined for one that is none, or is broken off. */
  body: string | undefined
}

export interface OddServer {
  readonly id: string
  answers (): readonly GivenAnswer[]
  /** Its process dies: connections are closed by the operating system, and new ones refused. */
  crash (): void
  /** It takes connections again. */
  restart (): Promise<void>
  close (): void
}

const HOST = '127.0.0.1'
const SLOTS = 64
const IDLE_MS = 30

export async function createOddServer (options: OddServerOptions): Promise<OddServer> {
  const { id, service, failureDomain, store, clock, chooseAnswer, chooseIdleEnd } = options
  const given: GivenAnswer[] = []
  const sockets = new Set<Socket>()
  const bornMs = clock.now()

  const IDLE_ENDS: Readonly<Record<IdleEnd, (socket: Socket) => void>> = {
    kept: () => {},
    ended: socket => socket.end(),
    reset: socket => socket.resetAndDestroy()
  }
  const serve = (socket: Socket): void => {
    let pending = ''
    let cancelIdle = (): void => {}
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => {
      cancelIdle()
      sockets.delete(socket)
    })
    socket.on('data', chunk => {
      cancelIdle()
      pending += chunk.toString('latin1')
      const req = readRawRequest(pending)
      if (req === undefined) return
      pending = pending.slice(req.length)
      const kind = chooseAnswer()
      const answer = answerOf(kind, { server: id, attemptId: req.attemptId, isHead: req.method === 'HEAD' })
      given.push({ attemptId: req.attemptId, kind, body: answer.body })
      answer.write(socket)
      const idleEnd = chooseIdleEnd()
      // An answer that is broken off later leaves no idle connection: ended regularly before that, it would be whole.
      if (answer.body === undefined) return
      cancelIdle = clock.schedule(IDLE_MS, () => { if (!socket.destroyed) IDLE_ENDS[idleEnd](socket) })
    })
  }
  const server = createServer(serve)
  const listen = (port: number): Promise<void> => new Promise(resolve => server.listen(port, HOST, resolve))
  await listen(0)
  const { port } = server.address() as AddressInfo
  const value = JSON.stringify({ service, address: `${HOST}:${port}`, zone: failureDomain, version: 'v1', slots: SLOTS, state: 'ready', born: bornMs, sequence: 0 })
  store.transact({ compares: [], success: [{ kind: 'put', key: `servers/${id}`, value, leaseId: '0' }], failure: [] })
  const crash = (): void => {
    server.close()
    sockets.forEach(socket => socket.destroy())
  }
  return { id, answers: () => given, crash, restart: () => listen(port), close: crash }
}
