/** Callers on kept connections, with bodies of different sizes: record when a request was whole, and how it ended. */
import type { ChildProcess } from 'node:child_process'
import { Agent, request } from 'node:http'
import { pause } from './platformInstances'
import { FOLLOW_PREFIX, RARE_MODEL, READ_PATH, STREAM_HEADERS, STREAM_PATH, TELL_PREFIX, WRITE_PATH } from './platformSite'
import type { Random } from './random'

/** A read may be repeated, a write may not; a `tell` is a stream that cannot go on after a break, a `follow` one that can; `rare` is for a model that no engine has. */
export const CALL_KINDS = ['read', 'write', 'tell', 'follow', 'rare'] as const
export type CallKind = typeof CALL_KINDS[number]

/** One process of an instance; its times are Unix milliseconds. */
export interface Life {
  name: string
  child: ChildProcess
  entryAddress: string
  agent: Agent
  signalsMs: number[]
  /** When it got its first SIGTERM. */
  termMs?: number
  /** When SIGKILL was sent; its exit may be noticed much later. */
  killedMs?: number
  exitMs?: number
  /** When its links to servers were cut. */
  cuts: Array<{ fromMs: number, toMs: number }>
}

/** A request. */
export interface ShutdownCall {
  attemptId: string
  kind: CallKind
  life: Life
  sentMs: number
  /** When its last byte was sent; undefined if it was not. */
  wholeMs?: number
  endedMs: number
  /** Undefined without a complete head of an answer. */
  status?: number
  isComplete: boolean
  body: string
}

const PATHS: Readonly<Record<CallKind, string>> = { read: READ_PATH, write: WRITE_PATH, tell: `${TELL_PREFIX}1`, follow: `${FOLLOW_PREFIX}1`, rare: STREAM_PATH }
const MAX_BODY_BYTES = 200_000
/** Part of the bodies whose second half follows late: their instance may begin to shut down meanwhile, or be about to end. */
const SLOW_BODY_RATIO = 0.1
const MAX_BODY_PAUSE_MS = 8000

export function startLife (life: Pick<Life, 'name' | 'child' | 'entryAddress'>): Life {
  const started: Life = { ...life, agent: new Agent({ keepAlive: true }), signalsMs: [], cuts: [] }
  life.child.once('exit', () => { started.exitMs = Date.now() })
  return started
}

export function sendSignal (life: Life, signal: NodeJS.Signals): void {
  if (life.exitMs !== undefined || life.killedMs !== undefined) return
  life.signalsMs.push(Date.now())
  if (signal === 'SIGTERM') life.termMs ??= Date.now()
  if (signal === 'SIGKILL') life.killedMs = Date.now()
  life.child.kill(signal)
}

export function callInstance (life: Life, attemptId: string, timeoutMs: number, random: Random): Promise<ShutdownCall> {
  const [host, port] = life.entryAddress.split(':')
  const kind = random.pick(CALL_KINDS)
  const body = 'x'.repeat(random.below(2) * random.below(MAX_BODY_BYTES))
  const length: Record<string, string> = random.below(2) === 0 ? { 'transfer-encoding': 'chunked' } : { 'content-length': String(body.length) }
  const model: Record<string, string> = kind === 'rare' ? { ...STREAM_HEADERS, 'x-magnoliabay-model': RARE_MODEL } : {}
  const headers = { ...model, ...length, host: STREAM_HEADERS.host, 'x-magnoliabay-deadline-ms': String(timeoutMs), 'x-magnoliabay-attempt-id': attemptId }
  return new Promise(resolve => {
    const call: ShutdownCall = { attemptId, kind, life, sentMs: Date.now(), endedMs: 0, isComplete: false, body: '' }
    const end = (): void => resolve(Object.assign(call, { endedMs: Date.now() }))
    const req = request({ host, port, agent: life.agent, method: 'POST', path: PATHS[kind], headers }, res => {
      call.status = res.statusCode
      res.setEncoding('latin1')
      res.on('data', (text: string) => { call.body += text })
      res.on('error', () => {})
      res.on('close', () => {
        call.isComplete = res.complete
        end()
      })
    })
    req.on('finish', () => { call.wholeMs = Date.now() })
    req.on('error', () => { if (call.status === undefined) end() })
    req.write(body.slice(0, body.length / 2))
    const pauseMs = random.next() < SLOW_BODY_RATIO ? random.below(MAX_BODY_PAUSE_MS) : 0
    pause(pauseMs).then(() => req.end(body.slice(body.length / 2)))
  })
}
