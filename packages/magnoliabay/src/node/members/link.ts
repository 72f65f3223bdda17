/**
 * One TCP link to a peer, from hello to end: calls out and in, notices, heartbeats both ways.
 */
import type { Socket } from 'node:net'
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

/** How often a side that watches over a link says that it is there, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1000
/**
 * A link that brought nothing for this long is cut and dialled anew. A connection that something
 * between the two ends has lost track of stays open and silent for good: calls on it would time out
 * one after another. Three missed beats tell it from a short pause, and a new connection works.
 */
export const SILENCE_TIMEOUT_MS = 3500
/**
 * A link that is not kept is watched over for this long after a notice, milliseconds. One made for a call now and then
 * is not: a member that counts for a team holds one to each of hundreds, and all would beat for nothing.
 */
const MONITORED_AFTER_NOTICE_MS = 5000
/** On a link that is not watched over, a peer that left a call unanswered is to answer a beat by then, milliseconds. */
const PROBE_TIMEOUT_MS = 1000
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
  /** Sends a frame that was encoded before, for many links at once. */
  sendEncoded (frame: Buffer): void
  close (reason: string): void
  /** Says goodbye first: proof to the peer that this process ends by its own will. */
  goodbye (): void
}

export interface LinkOptions {
  socket: Socket
  self: MemberRecord
  clock: Clock
  /** Beats once in {@link HEARTBEAT_INTERVAL_MS}, for all links of a process. */
  ticker: Ticker
  logger: Logger
  dispatch: Dispatch
  /** Whether the link to a member is kept for its own sake, and so watched over all the time. */
  isPermanent: (member: MemberRecord) => boolean
  /** Called with each frame that comes in: with its kind, or with its type where it has none. */
  onFrame?: (kind: string) => void
  /** The peer has said hello. Answer false to refuse it. */
  onHello: (link: Link) => boolean
  onGoodbye: (member: MemberRecord) => void
}

/** Runs a link until it ends and tells why. Never rejects. */
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

  const extendMonitoring = (): void => { monitoredUntilMs = clock.monotonic() + MONITORED_AFTER_NOTICE_MS }
  const isMonitored = (): boolean => clock.monotonic() < monitoredUntilMs || member === undefined || linkOptions.isPermanent(member)
  /** Such a link may have fallen silent long ago: the call after this one is to find a new one. */
  const probe = (): void => {
    if (isMonitored()) return
    const probedMs = clock.monotonic()
    send({ type: 'beat' })
    clock.schedule(PROBE_TIMEOUT_MS, () => { if (lastReceivedMs < probedMs) close('silent') })
  }
  /**
   * Tells what hindered it. A frame that is too long for the peer is not sent: the peer would cut the
   * link, the caller would try again on the next one, and every other call would be lost with it.
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
      // On a link that has ended nothing is amiss: its end has an event of its own.
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
  /** A handler that fails on what a peer sent must not end the link: each new one would end the same way. */
  const handleNotice = (frame: Extract<Frame, { type: 'notice' }>, from: MemberRecord): void => {
    try {
      linkOptions.dispatch.handleNotice(frame.kind, frame.body, from)
    } catch (err) {
      logger.warn('peer-notice-failed', { peer: from.id, kind: frame.kind, reason: messageOf(err) })
    }
  }
  const handlers: { [Type in Frame['type']]: (frame: Extract<Frame, { type: Type }>, from: MemberRecord) => void } = {
    hello: () => {},
    // Whoever beats goes by what it hears; on a link that is kept both sides beat.
    beat: () => { if (!isMonitored()) send({ type: 'beat' }) },
    call: (frame, from) => { answerCall(frame, from) },
    reply: frame => pending.get(frame.id)?.settle(frame.ok ? Ok(frame.body) : Err(frame.body as PeerError)),
    notice: handleNotice,
    goodbye: (_frame, from) => linkOptions.onGoodbye(from)
  }

  socket.setNoDelay(true)
  socket.on('error', () => {})
  send({ type: 'hello', member: linkOptions.self })
  const cancelHeartbeat = linkOptions.ticker.add(() => {
    const wasMonitoring = isMonitoring
    isMonitoring = isMonitored()
    if (!isMonitoring) return
    // Nothing was to be heard before.
    if (!wasMonitoring) lastReceivedMs = clock.monotonic()
    // Whatever was sent lately says as much, and a beat of its own would wake the peer once more.
    if (clock.monotonic() - lastSentMs >= HEARTBEAT_INTERVAL_MS / 2) send({ type: 'beat' })
    if (clock.monotonic() - lastReceivedMs > SILENCE_TIMEOUT_MS) close('silent')
  })
  try {
    for await (const frame of readFrames(socket)) {
      lastReceivedMs = clock.monotonic()
      linkOptions.onFrame?.('kind' in frame ? frame.kind : frame.type)
      if (member === undefined) {
        if (frame.type !== 'hello') return 'no hello'
        member = frame.member
        if (!linkOptions.onHello(createLink(member))) return 'refused'
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
