/** Watches the stream of one attempt, and acts when its next event is overdue. */
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import type { RequestRun } from '../requestRun'
import { serverProcessId } from '../types'
import type { BackendServer } from '../types'
import { callerGapMs } from './callerGap'
import type { SilenceAction, SilentPhase, StreamMetrics } from './metrics'
import type { SilenceKey, SilenceLimits } from './silenceLimits'

/** Time for the first event of another engine to reach the caller before it leaves, milliseconds. */
const RESUMPTION_MARGIN_MS = 250
/** Interval at which a stream that could neither be resumed nor moved is looked at again, milliseconds. */
const RECHECK_INTERVAL_MS = 400

export interface SilenceWatchOptions {
  run: RequestRun
  server: BackendServer
  limits: SilenceLimits
  /** Whether the attempt continues a moved run, whose first event shows nothing of how long the engine takes to others. */
  isContinuation: boolean
  /** Called when the next event is overdue; returns what was done. */
  onSilent: () => SilenceAction
  metrics: StreamMetrics
  clock: Clock
  logger: Logger
}

export interface SilenceWatch {
  /** Records that events have been forwarded. */
  recordEvents (): void
  cancel (): void
}

export function startSilenceWatch (options: SilenceWatchOptions): SilenceWatch {
  const { run, server, limits, metrics, clock, logger } = options
  const { route } = run.admitted
  const key: SilenceKey = { server: serverProcessId(server), model: run.caller.model ?? '' }
  const startedMs = clock.monotonic()
  let phase: SilentPhase = 'first'
  let lastId = run.events?.lastId()
  let lastProgressMs = startedMs
  let lastAction: SilenceAction | undefined
  let timeoutMs = limits.firstTimeoutMs(key, route)
  let cancelTimer = (): void => {}

  /** A timeout that ends after the caller has left serves nobody. */
  const isUseful = (): boolean => clock.monotonic() + RESUMPTION_MARGIN_MS < run.lastEventMs + callerGapMs(route)
  /** While the caller has yet to read what it was sent, reading from the engine may be paused, and another engine would not help. */
  const isUnread = (): boolean => run.inbound.res.writableLength > 0
  const report = (action: SilenceAction): void => {
    if (action === lastAction) return
    lastAction = action
    metrics.silent.inc({ phase, action })
    logger.info('stream-silent', {
      request: run.caller.attemptId,
      server: server.id,
      model: run.caller.model,
      route: route.name,
      phase,
      silentMs: Math.round(clock.monotonic() - lastProgressMs),
      timeoutMs: Math.round(timeoutMs),
      lastEvent: lastId,
      action
    })
  }
  /** One timer for the stream, which is set again for the time that is left: a timer for each event would cost more. */
  const check = (): void => {
    if (isUnread()) lastProgressMs = clock.monotonic()
    const leftMs = lastProgressMs + timeoutMs - clock.monotonic()
    if (leftMs > 0) return waitFor(leftMs)
    if (!isUseful()) return waitFor(RECHECK_INTERVAL_MS)
    const action = options.onSilent()
    report(action)
    if (action !== 'resumed') waitFor(RECHECK_INTERVAL_MS)
  }
  const waitFor = (delayMs: number): void => { cancelTimer = clock.schedule(delayMs, check) }

  waitFor(timeoutMs)
  return {
    recordEvents: () => {
      // Comments keep a connection open, and are no progress.
      const id = run.events?.lastId()
      if (id === undefined || id === lastId) return
      lastId = id
      lastProgressMs = clock.monotonic()
      run.lastEventMs = lastProgressMs
      lastAction = undefined
      if (phase === 'later') return
      if (!options.isContinuation) limits.recordFirstEvent(key, lastProgressMs - startedMs)
      phase = 'later'
      timeoutMs = limits.laterTimeoutMs(route)
      cancelTimer()
      waitFor(timeoutMs)
    },
    cancel: () => cancelTimer()
  }
}
