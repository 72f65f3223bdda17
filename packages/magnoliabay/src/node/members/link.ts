/**
 * One TCP link to a peer, from hello to end: calls out and in, notices, heartbeats both ways.
 */
import type { Socket } from 'node:net'
import type { Clock } from '../clock'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import type { Dispatch } from './dispatch'
import { encodeFrame, readFrames } from './frames'
import type { Frame } from './frames'
import type { PeerCallOptions, PeerError } from './peers'
import type { MemberRecord } from './record'

/** How often each side says that it is there, in milliseconds. */
export const BEAT_PERIOD_MS = 1000
/**
 * A link that brought nothing for this long is cut and dialled anew. A connection that something
 * between the two ends has lost track of stays open and silent for good: calls on it would time out
 * one after another. Three missed beats tell it from a short pause, and a new connection works.
 */
export const SILENT_LINK_MS = 3500
const DEFAULT_CALL_TIMEOUT_MS = 1000
/** A peer that reads more slowly than this is behind by so much that the link is cut. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024

interface PendingCall {
  settle: (result: Result<unknown, PeerError>) => void
}

export interface Link {
  readonly member: MemberRecord
  call (kind: string, body: unknown, options?: PeerCallOptions): Promise<Result<unknown, PeerError>>
  notify (kind: string, body: unknown): void
  close (reason: string): void
  /** Says goodbye first: proof to the peer that this process ends by its own will. */
  goodbye (): void
}

export interface LinkRun {
  socket: Socket
  self: MemberRecord
  clock: Clock
  dispatch: Dispatch
  /** The peer has said hello. Answer false to refuse it. */
  onHello: (link: Link) => boolean
  onGoodbye: (member: MemberRecord) => void
}

/** Runs a link until it ends and tells why. Never rejects. */
export async function runLink (run: LinkRun): Promise<string> {
  const { socket, clock } = run
  const pending = new Map<number, PendingCall>()
  let nextCallId = 1
  let endReason = 'closed by the peer'
  let lastHeardMs = clock.monotonic()
  let member: MemberRecord | undefined

  const send = (frame: Frame): void => {
    if (socket.writable) socket.write(encodeFrame(frame))
    if (socket.writableLength > MAX_UNSENT_BYTES) close('peer reads too slowly')
  }
  const close = (reason: string): void => {
    endReason = reason
    socket.destroy()
  }
  const call: Link['call'] = (kind, body, options = {}) => new Promise(resolve => {
    const id = nextCallId++
    const cancelTimeout = clock.schedule(options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS, () => settle(Err({ kind: 'timeout', message: `No answer to ${kind} in time.` })))
    const settle = (result: Result<unknown, PeerError>): void => {
      cancelTimeout()
      pending.delete(id)
      resolve(result)
    }
    pending.set(id, { settle })
    send({ type: 'call', id, kind, body })
  })
  const linkTo = (peer: MemberRecord): Link => ({
    member: peer,
    call,
    notify: (kind, body) => send({ type: 'notice', kind, body }),
    close,
    goodbye: () => {
      send({ type: 'goodbye' })
      socket.end()
    }
  })
  const answerCall = async (frame: Extract<Frame, { type: 'call' }>, from: MemberRecord): Promise<void> => {
    const result = await run.dispatch.handleCall(frame.kind, frame.body, from)
    send({ type: 'reply', id: frame.id, ok: result.ok, body: result.val })
  }
  const handlers: { [Type in Frame['type']]: (frame: Extract<Frame, { type: Type }>, from: MemberRecord) => void } = {
    hello: () => {},
    beat: () => {},
    call: (frame, from) => { answerCall(frame, from) },
    reply: frame => pending.get(frame.id)?.settle(frame.ok ? Ok(frame.body) : Err(frame.body as PeerError)),
    notice: (frame, from) => run.dispatch.handleNotice(frame.kind, frame.body, from),
    goodbye: (_frame, from) => run.onGoodbye(from)
  }

  socket.setNoDelay(true)
  socket.on('error', () => {})
  send({ type: 'hello', member: run.self })
  const cancelBeat = keepBeating(clock, () => {
    send({ type: 'beat' })
    if (clock.monotonic() - lastHeardMs > SILENT_LINK_MS) close('silent')
  })
  try {
    for await (const frame of readFrames(socket)) {
      lastHeardMs = clock.monotonic()
      if (member === undefined) {
        if (frame.type !== 'hello') return 'no hello'
        member = frame.member
        if (!run.onHello(linkTo(member))) return 'refused'
        continue
      }
      const handle = handlers[frame.type] as (frame: Frame, from: MemberRecord) => void
      handle(frame, member)
    }
    return endReason
  } catch (err) {
    return endReason === 'closed by the peer' && err instanceof Error ? err.message : endReason
  } finally {
    cancelBeat()
    socket.destroy()
    const lost: PeerError = { kind: 'link-lost', message: 'The link to the peer ended before the answer.' }
    const calls = [...pending.values()]
    calls.forEach(waiting => waiting.settle(Err(lost)))
  }
}

function keepBeating (clock: Clock, beat: () => void): () => void {
  let cancel = (): void => {}
  const next = (): void => {
    beat()
    cancel = clock.schedule(BEAT_PERIOD_MS, next)
  }
  cancel = clock.schedule(BEAT_PERIOD_MS, next)
  return () => cancel()
}
