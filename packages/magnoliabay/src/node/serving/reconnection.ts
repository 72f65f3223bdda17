/**
 * Tells when a request connects again, after an attempt for which neither this instance nor another could connect to the
 * server. Attempts would otherwise follow each other within milliseconds: while an instance that forwards is replaced or a
 * link heals, streams with events would be cut, and reads that may have run would fail, with most of their time left.
 * What no server has got is refused at once instead, which its caller may send elsewhere.
 */
import type { Clock } from '../clock'
import { lastElsewhereMs } from './drain'
import type { RequestRun } from './requestRun'
import type { RetryRules } from './retryRules'
import { callerGapMs } from './streams/callerGap'

/** Delay before the first attempt to connect again, milliseconds: a server that nobody reached is not dialled for that long. */
const FIRST_DELAY_MS = 500
/** The same before later ones: bounds the connections that are tried for a server that stays unreachable. */
const LATER_DELAY_MS = 1000

export interface Reconnection {
  /** Returns the delay before the request connects again; undefined where it is better ended, so that its caller can send it elsewhere. */
  delayMs (run: RequestRun): number | undefined
  /** Makes the servers that could not be connected to available to the request again. */
  prepare (run: RequestRun): void
}

export interface ReconnectionOptions {
  rules: Pick<RetryRules, 'canRetry'>
  clock: Clock
}

export function createReconnection ({ rules, clock }: ReconnectionOptions): Reconnection {
  /** Monotonic time until which the request of which nothing has been sent to its caller may wait. */
  const latestMs = (run: RequestRun): number => {
    const { inbound: { arrivedMs }, admitted: { route } } = run
    const elsewhereMs = lastElsewhereMs(run)
    return route.kind === 'stream' ? Math.min(elsewhereMs, arrivedMs + callerGapMs(route)) : elsewhereMs
  }
  return {
    delayMs: run => {
      if (run.execution.state() !== 'tainted' || !rules.canRetry(run)) return undefined
      const nowMs = clock.monotonic()
      const delayMs = run.reconnections === 0 ? FIRST_DELAY_MS : LATER_DELAY_MS
      // A response that has begun can only go on here, so it waits until its time is over.
      if (run.inbound.res.headersSent) return Math.min(delayMs, Math.max(0, run.endMs - nowMs))
      return nowMs + delayMs < latestMs(run) ? delayMs : undefined
    },
    prepare: run => {
      run.reconnections += 1
      run.unreached.forEach(id => run.tried.delete(id))
      run.unreached.clear()
    }
  }
}
