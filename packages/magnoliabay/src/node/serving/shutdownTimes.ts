/** Divides the grace period, which the platform grants between SIGTERM and SIGKILL, among the phases of a shutdown. */
import type { ShutdownOptions } from '../shutdown'
import type { DrainTimes } from './drain'
import { LAST_ANSWERS_MS } from './entryServer'

/** Callers use an address for up to three times its stated lifetime of two seconds, milliseconds. */
const MAX_ADDRESS_USE_MS = 6000
/** Time left of the grace period when the last response ends, milliseconds: for the steps after the drain. */
const FINISH_MS = 600
/** Shortest drain of a grace period that is too short for all uses of the address, milliseconds. */
const MIN_DRAIN_MS = 600
/** Time left of the grace period when the last step ends, milliseconds: for the last log lines, and timers that fire late. */
const EXIT_MARGIN_MS = 300

/** Returns the times of a shutdown; the drain gets whatever the callers' use of the address leaves. */
export function shutdownTimes (gracePeriodMs: number): Required<Pick<ShutdownOptions, 'locateKeepMs' | 'drainMs' | 'totalMs'>> {
  const servedMs = Math.max(0, gracePeriodMs - FINISH_MS)
  const locateKeepMs = Math.min(MAX_ADDRESS_USE_MS, Math.max(0, servedMs - MIN_DRAIN_MS))
  return { locateKeepMs, drainMs: servedMs - locateKeepMs, totalMs: Math.max(0, gracePeriodMs - EXIT_MARGIN_MS) }
}

/**
 * A stream that begins after this part of the grace period would be cut off at its end, since streams take some seconds.
 * Callers that still use the address are refused at once, and can use another instance.
 */
const LAST_STREAM_RATIO = 0.3
/** The same for requests other than streams, as the time before the end of the grace period, milliseconds. */
const LAST_CALL_MARGIN_MS = 2200

/** Returns until when requests are accepted, and by when they must have an answer, in milliseconds after the shutdown began. */
export function drainTimes (gracePeriodMs: number): DrainTimes {
  const lastCallMs = gracePeriodMs - LAST_CALL_MARGIN_MS
  return {
    lastAcceptedMs: { stream: gracePeriodMs * LAST_STREAM_RATIO, idempotent: lastCallMs, 'non-idempotent': lastCallMs },
    lastAnswerMs: Math.max(0, gracePeriodMs - FINISH_MS - LAST_ANSWERS_MS)
  }
}
