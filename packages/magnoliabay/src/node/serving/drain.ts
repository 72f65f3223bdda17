/**
 * Ends the requests of an instance that shuts down, so that each whole request has an answer or a refusal before its process
 * has gone. Without it, callers of requests that wait at a server would see their connections close without a byte.
 */
import type { CancelTimer, Clock } from '../clock'
import type { RequestRun } from './requestRun'
import type { RequestKind } from './types'

/** Interval at which the open requests are looked at, milliseconds. */
const CHECK_INTERVAL_MS = 100

/** The times of a shutdown, in milliseconds after it began. */
export interface DrainTimes {
  /** From when on no request of a kind is accepted, since it could not finish any more. */
  lastAcceptedMs: Readonly<Record<RequestKind, number>>
  /** By when every request must have an answer. */
  lastAnswerMs: number
}

/** What of a request decides when it is handed back. */
export type DrainedRun = Pick<RequestRun, 'admitted' | 'attempt' | 'endMs' | 'execution' | 'hasBegun' | 'inbound' | 'receivedMs' | 'sentOn' | 'unreached'>

/** Whether no server has got the request, also while an attempt still connects. */
function isUnsent ({ execution, sentOn }: DrainedRun): boolean {
  return execution.state() === 'untouched' || (execution.state() === 'sent' && sentOn === undefined)
}

/** Whether the request may have run, and waits to connect again to servers that no instance reaches. */
function isReconnecting ({ attempt, execution, unreached }: DrainedRun): boolean {
  return attempt === undefined && execution.state() === 'tainted' && unreached.size > 0
}

/** Returns the last moment at which enough of the request's time is left to serve it at another instance, monotonic milliseconds. */
export function lastElsewhereMs ({ admitted: { route }, endMs, inbound: { arrivedMs } }: Pick<RequestRun, 'admitted' | 'endMs' | 'inbound'>): number {
  // Of a short time, half: a request that has just arrived is not refused before it was tried.
  return endMs - Math.min(route.latencyObjectiveMs, (endMs - arrivedMs) / 2)
}

/**
 * Returns the monotonic time, in milliseconds, at which a request without an answer is handed back to its caller: late enough
 * for an answer that is on its way, and early enough to be served elsewhere where no server has begun it.
 *
 * - A request that waits to connect again: at once. No server is at work on it, and another instance has longer to reach one.
 * - A request that no server has got: once none of its kind is accepted any more, or at the last moment at which another
 *   instance has enough time for it, whichever comes first.
 * - A stream that may go on elsewhere and of which no event has come: once no stream is accepted any more, since it would be cut
 *   off before its end, but not before its latency objective has passed.
 * - Another request that may run again and of whose answer nothing has come: at the last moment at which another instance has
 *   enough time for it, since its answer may come until then, but not before its kind is no longer accepted and its latency
 *   objective has passed.
 * - Any other: as the process ends. A caller that is told that its request may have run cannot send it again where it may run
 *   once only.
 *
 * Enough time is as much as the latency objective.
 */
export function handBackAtMs (run: DrainedRun, times: DrainTimes, startedMs: number): number {
  const { admitted: { route }, endMs, hasBegun, inbound, receivedMs } = run
  const processEndMs = startedMs + times.lastAnswerMs
  const closedMs = Math.min(processEndMs, startedMs + times.lastAcceptedMs[route.kind])
  const objectiveMs = inbound.arrivedMs + route.latencyObjectiveMs
  // The timeout of a request whose time is over before the process ends comes first.
  const elsewhereMs = endMs > processEndMs ? lastElsewhereMs(run) : processEndMs
  if (isReconnecting(run)) return startedMs
  if (isUnsent(run)) return Math.min(closedMs, elsewhereMs)
  if (route.kind === 'stream' && route.isResumable && !hasBegun) return Math.min(processEndMs, Math.max(closedMs, objectiveMs))
  if (route.kind === 'idempotent' && receivedMs === undefined) return Math.min(processEndMs, Math.max(closedMs, objectiveMs, elsewhereMs))
  return processEndMs
}

export interface DrainOptions {
  /** Requests that are being served. */
  active: () => Iterable<RequestRun>
  /** Ends a request of which nothing has been sent to its caller. */
  handBack: (run: RequestRun) => void
  clock: Clock
}

export interface Drain {
  /** Begins the shutdown: hands requests back as their times come, until `lastAnswerMs`. */
  start (times: DrainTimes): void
  /** Hands back all requests of which nothing has been sent to their callers. The others end as cut by the shutdown. */
  handBackAll (): void
}

export function createDrain ({ active, handBack, clock }: DrainOptions): Drain {
  let cancel: CancelTimer = () => {}
  const unanswered = (): RequestRun[] => [...active()].filter(({ inbound: { res } }) => !res.headersSent)
  const check = (times: DrainTimes, startedMs: number): void => {
    const nowMs = clock.monotonic()
    unanswered().filter(run => nowMs >= handBackAtMs(run, times, startedMs)).forEach(handBack)
    // Requests that are still on their way are refused on arrival then.
    const leftMs = startedMs + times.lastAnswerMs - nowMs
    if (leftMs > 0) cancel = clock.schedule(Math.min(CHECK_INTERVAL_MS, leftMs), () => check(times, startedMs))
  }
  return {
    start: times => check(times, clock.monotonic()),
    handBackAll: () => {
      cancel()
      unanswered().forEach(handBack)
      ;[...active()].forEach(run => { run.stopReason ??= 'leaving' })
    }
  }
}
