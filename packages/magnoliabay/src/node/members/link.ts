/**
 * One TCP link to a peer, from hello to end: calls and notices in both directions, and heartbeats.
 */
import { inBackground } from '../background'
import type { Socket } from 'node:net'
import * as v from 'valibot'
import type { Clock } from '../clock'
import type { Ticker } from '../clock/ticker'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import type { Logger } from '../logger'
import { messageOf } from '../utils'
import type { Dispatch } from './dispatch'
import { FrameError, encodeFrame, readFrames } from './frames'
import type { Frame } from './frames'
import type { PeerCallOptions, PeerError } from './peers'
import type { MemberRecord } from './record'

/** Interval of heartbeats on a monitored link. */
export const HEARTBEAT_INTERVAL_MS = 1000
/**
 * A link on which nothing arrives for this long is closed and dialled again. When a network device between the two ends
 * drops a connection's state, the connection stays open and silent: calls on it would time out one after another, while a
 * new connection works. Three missed heartbeats distinguish it from a short pause.
 */
export const SILENCE_TIMEOUT_MS = 3500
/**
 * A link that is not permanent is monitored for this long after a notice. A link made for occasional calls is not: the
 * home member of a team holds one to each of hundreds of members, and all would send needless heartbeats.
 */
const MONITORED_AFTER_NOTICE_MS = 5000
/** A heartbeat is answered within this time, also on a link that is not monitored. */
const HEARTBEAT_ANSWER_TIMEOUT_MS = 1000
/** Time limit of a call that names none. */
export const DEFAULT_CALL_TIMEOUT_MS = 1000
/** A link with more unsent bytes than this is closed: the peer reads too slowly. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024

interface PendingCall {
  settle: (result: Result<unknown, PeerError>) => void
}

export interface Link {
  readonly member: MemberRecord
  call (kind: string, body: unknown, options?: PeerCallOptions): Promise<Result<unknown, PeerError>>
  notify (kind: string, body: unknown): void
  /** Sends an already encoded frame, so that several links share one encoding. */
  sendEncoded (frame: Buffer): void
  close (reason: string): void
  /** Sends a goodbye and closes: proof to the peer that this process ends intentionally. */
  goodbye (): void
}

export interface LinkOptions {
  socket: Socket
  self: MemberRecord
  /** Id of the member that was dialled. @default another side dialled, or any member is meant */
  to?: string
  clock: Clock
  /** Ticks every {@link HEARTBEAT_INTERVAL_MS}, for all links of a process. */
  ticker: Ticker
  logger: Logger
  dispatch: Dispatch
  /** Whether the link to a member is permanent, and so always monitored. */
  isPermanent: (member: MemberRecord) => boolean
  /** Called with the kind of each received frame, or with its type if it has no kind. */
  onFrame?: (kind: string) => void
  /** Called when the peer has sent its hello, for the member `to` if it has named one. Returns false to refuse the link. */
  onHello: (link: Link, to: string | undefined) => boolean
  onGoodbye: (member: MemberRecord) => void
}

const peerErrorSchema = v.object({ kind: v.picklist(['not-connected', 'timeout', 'link-lost', 'no-handler', 'handler-failed', 'too-large']), message: v.string() })

function toPeerError (body: unknown): PeerError {
  return v.is(peerErrorSchema, body) ? body : { kind: 'handler-failed', message: 'The peer answered with an error without its form.' }
}

/** Runs a link until it ends and resolves to the reason. Never rejects. */
export async function runLink (linkOptions: LinkOptions): Promise<string> {
  const { socket, clock, logger } = linkOptions
  const pending = new Map<number, PendingCall>()
  let nextCallId = 1
  let endReason = 'closed by the peer'
  let lastReceivedMs = clock.monotonic()
  let lastSentMs = -Infinity
  let member: MemberRecord | undefined
  let monitoredUntilMs = clock.monotonic() + MONITORED_AFTER_NOTICE_MS
  let isMonitoring = true
  /** Until this time, the next heartbeat that arrives is the answer to one of this side. */
  let answerExpectedUntilMs = -Infinity

  const extendMonitoring = (): void => { monitoredUntilMs = clock.monotonic() + MONITORED_AFTER_NOTICE_MS }
  const isMonitored = (): boolean => clock.monotonic() < monitoredUntilMs || member === undefined || linkOptions.isPermanent(member)
  /** Checks an unmonitored link, which may have been silent for long, so that the next call dials a new one. */
  const probe = (): void => {
    if (isMonitored()) return
    const probedMs = clock.monotonic()
    sendHeartbeat()
    clock.schedule(HEARTBEAT_ANSWER_TIMEOUT_MS, () => { if (lastReceivedMs < probedMs) close('silent') })
  }
  const sendHeartbeat = (): void => {
    answerExpectedUntilMs = clock.monotonic() + HEARTBEAT_ANSWER_TIMEOUT_MS
    send({ type: 'beat' })
  }
  /**
   * A side that monitors the link sends heartbeats of its own. Only a side that does not has to answer those of the peer,
   * and never answers an answer: two sides that do not monitor the link would otherwise go on answering each other as fast
   * as the network allows, after a single unanswered call, and use up the processor time of both.
   */
  const handleHeartbeat = (): void => {
    const isAnswer = clock.monotonic() < answerExpectedUntilMs
    answerExpectedUntilMs = -Infinity
    if (!isAnswer && !isMonitored()) send({ type: 'beat' })
  }
  /**
   * Returns an error if the frame is not sent. A frame that is too long for the peer is not sent: the peer would close
   * the link, the caller would try again on the next one, and every other call would be lost with it.
   */
  const send = (frame: Frame): PeerError | undefined => {
    if (!socket.writable) return { kind: 'not-connected', message: 'The link to the peer has ended.' }
    try {
      write(encodeFrame(frame))
    } catch (err) {
      if (err instanceof FrameError) return { kind: 'too-large', message: err.message }
      throw err
    }
    return undefined
  }
  const write = (bytes: Buffer): void => {
    if (!socket.writable) return
    lastSentMs = clock.monotonic()
    socket.write(bytes)
    if (socket.writableLength > MAX_UNSENT_BYTES) close('peer reads too slowly')
  }
  const close = (reason: string): void => {
    endReason = reason
    socket.destroy()
  }
  const call: Link['call'] = (kind, body, options = {}) => new Promise(resolve => {
    const id = nextCallId++
    const cancelTimeout = clock.schedule(options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS, () => {
      probe()
      settle(Err({ kind: 'timeout', message: `No answer to ${kind} in time.` }))
    })
    const settle = (result: Result<unknown, PeerError>): void => {
      cancelTimeout()
      pending.delete(id)
      resolve(result)
    }
    pending.set(id, { settle })
    const sendError = send({ type: 'call', id, kind, body })
    if (sendError !== undefined) settle(Err(sendError))
  })
  const createLink = (peer: MemberRecord): Link => ({
    member: peer,
    call,
    notify: (kind, body) => {
      extendMonitoring()
      const sendError = send({ type: 'notice', kind, body })
      if (sendError === undefined) return
      // A link that has ended is no fault of the notice: the end is logged as an event of its own.
      const log = sendError.kind === 'not-connected' ? logger.debug : logger.warn
      log('peer-notice-not-sent', { peer: peer.id, kind, reason: sendError.message })
    },
    sendEncoded: bytes => {
      extendMonitoring()
      write(bytes)
    },
    close,
    goodbye: () => {
      send({ type: 'goodbye' })
      socket.end()
    }
  })
  const answerCall = async (frame: Extract<Frame, { type: 'call' }>, from: MemberRecord): Promise<void> => {
    const result = await linkOptions.dispatch.handleCall(frame.kind, frame.body, from)
    const sendError = send({ type: 'reply', id: frame.id, ok: result.ok, body: result.val })
    if (sendError?.kind !== 'too-large') return
    const tooLarge: PeerError = { kind: 'handler-failed', message: 'The answer is too large for a frame.' }
    send({ type: 'reply', id: frame.id, ok: false, body: tooLarge })
  }
  /** An error in a handler must not end the link: each new link would end the same way. */
  const handleNotice = (frame: Extract<Frame, { type: 'notice' }>, from: MemberRecord): void => {
    try {
      linkOptions.dispatch.handleNotice(frame.kind, frame.body, from)
    } catch (err) {
      logger.warn('peer-notice-failed', { peer: from.id, kind: frame.kind, reason: messageOf(err) })
    }
  }
  const handlers: { [Type in Frame['type']]: (frame: Extract<Frame, { type: Type }>, from: MemberRecord) => void } = {
    hello: () => {},
    beat: handleHeartbeat,
    call: (frame, from) => { inBackground('answer-call', answerCall(frame, from)) },
    reply: frame => pending.get(frame.id)?.settle(frame.ok ? Ok(frame.body) : Err(toPeerError(frame.body))),
    notice: handleNotice,
    goodbye: (_frame, from) => linkOptions.onGoodbye(from)
  }

  socket.setNoDelay(true)
  socket.on('error', () => {})
  send({ type: 'hello', member: linkOptions.self, ...(linkOptions.to === undefined ? {} : { to: linkOptions.to }) })
  const cancelHeartbeat = linkOptions.ticker.add(() => {
    const wasMonitoring = isMonitoring
    isMonitoring = isMonitored()
    if (!isMonitoring) return
    // No heartbeats were expected before.
    if (!wasMonitoring) lastReceivedMs = clock.monotonic()
    // A frame sent recently serves as a heartbeat; another would wake the peer once more.
    if (clock.monotonic() - lastSentMs >= HEARTBEAT_INTERVAL_MS / 2) sendHeartbeat()
    if (clock.monotonic() - lastReceivedMs > SILENCE_TIMEOUT_MS) close('silent')
  })
  try {
    for await (const frame of readFrames(socket)) {
      lastReceivedMs = clock.monotonic()
      linkOptions.onFrame?.('kind' in frame ? frame.kind : frame.type)
      if (member === undefined) {
        if (frame.type !== 'hello') return 'no hello'
        member = frame.member
        if (!linkOptions.onHello(createLink(member), frame.to)) return 'refused'
        continue
      }
      const handle = handlers[frame.type] as (frame: Frame, from: MemberRecord) => void
      handle(frame, member)
    }
    return endReason
  } catch (err) {
    return endReason === 'closed by the peer' && err instanceof Error ? err.message : endReason
  } finally {
    cancelHeartbeat()
    socket.destroy()
    const linkLost: PeerError = { kind: 'link-lost', message: 'The link to the peer ended before the answer.' }
    const calls = [...pending.values()]
    calls.forEach(pendingCall => pendingCall.settle(Err(linkLost)))
  }
}
