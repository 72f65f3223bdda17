/**
 * Divides one budget of memory among the responses that callers have not read yet. A response that holds more than its
 * share pauses reading from its backend server; when the budget is spent, the response that holds most ends.
 */
import type { Registry } from 'prom-client'
import type { CancelTimer, Clock } from '../clock'
import type { Logger } from '../logger'
import { createAnswerBufferMetrics } from './answerBufferMetrics'

/** Engines cut off a response that remains unread for some seconds, so that reading goes on after this pause, milliseconds. */
export const MAX_PAUSE_MS = 1500
/** Smallest share, bytes: one read of a socket. A smaller one would pause responses to callers that read at once. */
export const MIN_SHARE_BYTES = 65_536

/** Why a response ended unread. `deadline`: the caller had not read it by its deadline. */
export type UnreadCause = 'budget-spent' | 'deadline'

const EVENT_OF: Record<UnreadCause, string> = { 'budget-spent': 'answer-buffer-short', deadline: 'answer-unread' }

/** The reading side of a response. */
export interface ResponseReader {
  /** Stops reading from the backend server. Returns false if nothing held could go to the caller meanwhile. */
  pause (): boolean
  resume (): void
}

/** What one response holds; it spans all attempts of its request. */
export interface BufferLease {
  /** Counts bytes that were received or written and that the caller has not read. */
  hold (bytes: number): void
  release (bytes: number): void
  /** Counts as held exactly this many bytes. */
  setHeld (bytes: number): void
  heldBytes (): number
  /** Names what may be paused; undefined when no attempt is in progress. */
  setReader (reader: ResponseReader | undefined): void
  isPaused (): boolean
  /** Ends the response if the caller has left part of it unread; called at its deadline. */
  expire (): void
  /** Releases everything. Further calls have no effect. */
  close (): void
}

export interface AnswerBuffers {
  /** `onEnd` ends the response to the caller; the lease is closed by then. */
  open (id: string, onEnd: (cause: UnreadCause) => void): BufferLease
  heldBytes (): number
}

export interface AnswerBuffersOptions {
  budgetBytes: number
  clock: Clock
  logger: Logger
  /** Where metrics are registered. @default none are kept */
  registry?: Registry
}

/** `reading-on`: the pause has lasted its longest time, and reading continues until the response is within its share. */
type ReadState = 'reading' | 'paused' | 'reading-on' | 'closed'

interface Entry {
  id: string
  state: ReadState
  held: number
  lastHoldBytes: number
  reader: ResponseReader | undefined
  cancelPause: CancelTimer
  onEnd: (cause: UnreadCause) => void
}

export function createAnswerBuffers ({ budgetBytes, clock, logger, registry }: AnswerBuffersOptions): AnswerBuffers {
  /** Responses that hold anything. */
  const holders = new Set<Entry>()
  const paused = new Set<Entry>()
  let totalBytes = 0
  const metrics = registry === undefined ? undefined : createAnswerBufferMetrics(registry, () => totalBytes)
  const minShareBytes = Math.min(MIN_SHARE_BYTES, budgetBytes / 2)
  /** Counts one response more than hold anything: a single one would otherwise reach the budget before its share. */
  const shareBytes = (): number => Math.max(minShareBytes, budgetBytes / (holders.size + 1))

  const endPause = (entry: Entry, state: ReadState): void => {
    entry.cancelPause()
    paused.delete(entry)
    entry.state = state
  }
  const pauseOverShare = (entry: Entry): void => {
    if (entry.state !== 'reading' || entry.held <= shareBytes() || entry.reader?.pause() !== true) return
    entry.state = 'paused'
    paused.add(entry)
    metrics?.pauses.inc()
    entry.cancelPause = clock.schedule(MAX_PAUSE_MS, () => {
      endPause(entry, 'reading-on')
      logger.info('answer-read-on', { request: entry.id, heldBytes: entry.held, shareBytes: Math.round(shareBytes()), pausedMs: MAX_PAUSE_MS })
      entry.reader?.resume()
    })
  }
  const resumeWithinShare = (): void => {
    if (paused.size === 0) return
    const share = shareBytes()
    const drained = [...paused].filter(entry => entry.held <= share)
    drained.forEach(entry => {
      endPause(entry, 'reading')
      entry.reader?.resume()
    })
  }
  const subtract = (entry: Entry, bytes: number): void => {
    entry.held -= bytes
    totalBytes -= bytes
    if (entry.held === 0) holders.delete(entry)
  }
  const close = (entry: Entry): void => {
    if (entry.state === 'closed') return
    endPause(entry, 'closed')
    subtract(entry, entry.held)
    holders.delete(entry)
    resumeWithinShare()
  }
  const end = (entry: Entry, cause: UnreadCause): void => {
    logger.warn(EVENT_OF[cause], { request: entry.id, cause, heldBytes: entry.held, totalBytes, budgetBytes, responses: holders.size })
    metrics?.ended.inc({ cause })
    close(entry)
    entry.onEnd(cause)
  }
  /** A response that holds one chunk only is not ended: with a small budget, callers that read at once would get nothing. */
  const findLargest = (): Entry | undefined => [...holders]
    .filter(entry => entry.held > entry.lastHoldBytes)
    .reduce<Entry | undefined>((largest, entry) => largest === undefined || entry.held > largest.held ? entry : largest, undefined)
  const endLargest = (): void => {
    const largest = totalBytes > budgetBytes ? findLargest() : undefined
    if (largest === undefined) return
    end(largest, 'budget-spent')
    endLargest()
  }
  const hold = (entry: Entry, bytes: number): void => {
    if (entry.state === 'closed' || bytes <= 0) return
    entry.held += bytes
    entry.lastHoldBytes = bytes
    totalBytes += bytes
    holders.add(entry)
    endLargest()
    pauseOverShare(entry)
  }
  const release = (entry: Entry, bytes: number): void => {
    if (entry.state === 'closed' || bytes <= 0) return
    subtract(entry, Math.min(bytes, entry.held))
    if (entry.state === 'reading-on' && entry.held <= shareBytes()) entry.state = 'reading'
    resumeWithinShare()
  }
  return {
    heldBytes: () => totalBytes,
    open: (id, onEnd) => {
      const entry: Entry = { id, state: 'reading', held: 0, lastHoldBytes: 0, reader: undefined, cancelPause: () => {}, onEnd }
      return {
        hold: bytes => hold(entry, bytes),
        release: bytes => release(entry, bytes),
        setHeld: bytes => bytes > entry.held ? hold(entry, bytes - entry.held) : release(entry, entry.held - bytes),
        heldBytes: () => entry.held,
        setReader: reader => {
          if (entry.state === 'closed') return
          endPause(entry, 'reading')
          entry.reader = reader
        },
        isPaused: () => entry.state === 'paused',
        expire: () => { if (entry.held > 0) end(entry, 'deadline') },
        close: () => close(entry)
      }
    }
  }
}
