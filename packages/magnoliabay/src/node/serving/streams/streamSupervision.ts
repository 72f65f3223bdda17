/**
 * Supervises the streams of an instance. A silent stream goes on at another engine where its request may run again; where
 * it may not, and for engines that end soon, its run is moved.
 */
import { inBackground } from '../../background'
import type { Attempt, AttemptEnd } from '../attempt'
import type { RequestRun } from '../requestRun'
import type { RetryRules } from '../retryRules'
import type { ServingContext } from '../servingContext'
import type { RunCopy } from '../servingProtocol'
import { serverProcessId } from '../types'
import type { BackendServer } from '../types'
import type { ActiveMove, ActiveStream, MoveHistory } from './activeStream'
import { hasSilenceTimeout, offersMoves } from './conditions'
import { createEngineNotices } from './engineNotices'
import { createStreamMetrics } from './metrics'
import type { SilenceAction } from './metrics'
import type { Continuation } from './runMove'
import { createSilenceLimits } from './silenceLimits'
import { startSilenceWatch } from './silenceWatch'
import type { SilenceWatch } from './silenceWatch'
import { createStreamMover } from './streamMover'

/** Rules for retries; `canRetry` also asks whether another server could take the request now. */
type SupervisionRules = Pick<RetryRules, 'canRetry' | 'tryTakeRetry' | 'reserveRetry'>

/** The end of an attempt once a move of its run is taken into account. `moved`: the run continues with a second send. */
export type AttemptOutcome = Exclude<AttemptEnd, { kind: 'held' }> | { kind: 'moved' }

/** Where a run that has stopped for a move continues. */
export interface MoveContinuation {
  server: BackendServer
  runCopy: RunCopy
}

export interface StreamSupervision {
  /** Starts to watch the stream of an attempt; undefined for a request that is neither timed nor moved. */
  supervise (run: RequestRun, attempt: Attempt, server: BackendServer): SilenceWatch | undefined
  /** Whether a regular end of the stream may be that of a run which was stopped. */
  holdsEnd (run: RequestRun): boolean
  /** Returns how an attempt has ended; waits for the reply if its run was being stopped for a move. */
  resolveEnd (run: RequestRun, ended: AttemptEnd): Promise<AttemptOutcome>
  /** Returns where a moved run is to be sent now; undefined for any other request. */
  takeContinuation (run: RequestRun): MoveContinuation | undefined
  /** Drops what belongs to a request that has ended, and frees a copy that it has not used. */
  release (run: RequestRun): void
}

interface PendingContinuation {
  move: ActiveMove
  continuation: Continuation
}

type StreamContext = Pick<ServingContext, 'clock' | 'logger' | 'metrics' | 'servers' | 'runCalls' | 'health' | 'fleetView' | 'placement' | 'serverLimits' | 'serverBackoffs' | 'coldStarts' | 'streamVersions'>

/** Ends of an attempt after which a run that has stopped may continue elsewhere. */
const CONTINUABLE: ReadonlySet<AttemptEnd['kind']> = new Set(['held', 'cut', 'failed'])

export function createStreamSupervision (ctx: StreamContext, { canRetry, tryTakeRetry, reserveRetry }: SupervisionRules): StreamSupervision {
  const { clock, logger } = ctx
  const limits = createSilenceLimits({ clock })
  const metrics = createStreamMetrics(ctx.metrics.registry)
  const mover = ctx.runCalls === undefined ? undefined : createStreamMover({ ctx, calls: ctx.runCalls, metrics })
  const active = new Map<RequestRun, ActiveStream>()
  const pending = new Map<RequestRun, PendingContinuation>()
  /** Moves whose second send is the current attempt. */
  const continuing = new Map<RequestRun, PendingContinuation>()
  const histories = new Map<RequestRun, MoveHistory>()
  const notices = createEngineNotices({ ctx, streams: () => [...active.values()], move: stream => mover?.start(stream, 'notice') })

  const historyOf = (run: RequestRun): MoveHistory => {
    const history = histories.get(run) ?? { fullTargets: new Set(), count: 0, isUnconfirmed: false }
    histories.set(run, history)
    return history
  }
  const mayMove = ({ admitted }: RequestRun): boolean => mover !== undefined && admitted.route.kind === 'stream' && offersMoves(admitted.service)
  const handleSilence = (stream: ActiveStream): SilenceAction => {
    const { run, attempt } = stream
    // Nothing is read from the server while the caller does not keep up.
    if (attempt.isPaused()) return 'kept'
    // A stop without a confirmation may never be followed by the end of the stream.
    if (stream.move !== undefined && stream.move.unconfirmedSinceMs === undefined) return 'moving'
    // Without budget the attempt goes on: cancelled, it could not be replaced.
    if (canRetry(run) && reserveRetry(run)) {
      attempt.fail('stream is silent')
      return 'resumed'
    }
    if (!mayMove(run) || !mover!.start(stream, 'silent')) return 'kept'
    ctx.health.recordFailure(serverProcessId(stream.server))
    return 'moving'
  }
  const recordEvent = (stream: ActiveStream): void => {
    const id = stream.run.events?.lastId()
    if (id === undefined) return
    const nowMs = clock.monotonic()
    stream.firstEvent ??= { id, atMs: nowMs }
    stream.lastEventMs = nowMs
    mover?.recordEvent(stream)
    if (stream.continues === undefined) return
    mover!.recordOutcome(stream, stream.continues, stream.server === stream.continues.target ? 'continued' : 'continued-at-source')
    stream.continues = undefined
  }
  const continueWith = (run: RequestRun, move: ActiveMove, continuation: Continuation): AttemptOutcome => {
    run.events?.resume()
    run.tried.add(serverProcessId(move.source))
    pending.set(run, { move, continuation })
    return { kind: 'moved' }
  }
  const cutOrFailed = (run: RequestRun, reason: string): AttemptOutcome => ({ kind: run.inbound.res.headersSent ? 'cut' : 'failed', reason })
  /** Handles the end of a second send that did not run: the source may still have the memory. */
  const resolveDisclaimed = (stream: ActiveStream, move: ActiveMove): AttemptOutcome => {
    // Requests that are rejected on arrival count for the fleet's retry budget. The run has no other way to go on, so a
    // spent budget does not end it.
    tryTakeRetry(stream.run)
    stream.history.fullTargets.add(stream.server.address)
    move.machine.recordDisclaimed()
    const next = move.machine.takeContinuation()
    if (next !== undefined) return continueWith(stream.run, move, next)
    mover!.recordOutcome(stream, move, 'rejected')
    mover!.free(move)
    return cutOrFailed(stream.run, 'no engine continued the moved run')
  }
  const resolveLeft = (stream: ActiveStream, move: ActiveMove): AttemptOutcome => {
    inBackground('free-run-copy', move.stopReply?.then(() => mover!.free(move)))
    mover!.recordOutcome(stream, move, 'caller-left')
    return { kind: 'stopped' }
  }
  /** Ends a response whose end was held back. */
  const endRegularly = (run: RequestRun, status: number): AttemptOutcome => {
    if (!run.inbound.res.headersSent) return { kind: 'failed', reason: 'stream without events' }
    run.inbound.res.end()
    return { kind: 'relayed', status }
  }
  /** Handles the end of a stream whose run its engine was asked to stop. */
  const resolveStopping = async (stream: ActiveStream, move: ActiveMove, ended: AttemptEnd): Promise<AttemptOutcome> => {
    const { run } = stream
    if (ended.kind === 'stopped') return resolveLeft(stream, move)
    await move.stopReply
    if (run.stop.signal.aborted) return resolveLeft(stream, move)
    // A connection that breaks shows nothing of the run; only the source itself closes a stream regularly.
    if (ended.kind === 'held') move.machine.recordStreamClosed()
    const continuation = CONTINUABLE.has(ended.kind) ? move.machine.takeContinuation() : undefined
    if (continuation !== undefined) return continueWith(run, move, continuation)
    mover!.free(move)
    mover!.recordOutcome(stream, move, move.stopOutcome)
    if (ended.kind !== 'held') return ended
    return move.isRunUntouched ? endRegularly(run, ended.status) : cutOrFailed(run, 'stream closed while its run was being moved')
  }

  return {
    supervise: (run, attempt, server) => {
      const isTimed = hasSilenceTimeout(run.admitted)
      if (!isTimed && !mayMove(run)) return undefined
      const stream: ActiveStream = { run, attempt, server, hasEnded: false, firstEvent: undefined, lastEventMs: clock.monotonic(), continues: continuing.get(run)?.move, move: undefined, history: historyOf(run) }
      active.set(run, stream)
      if (mayMove(run)) notices.start()
      const watch = isTimed ? startSilenceWatch({ run, server, limits, isContinuation: stream.continues !== undefined, onSilent: () => handleSilence(stream), metrics, clock, logger }) : undefined
      return {
        recordEvents: () => {
          watch?.recordEvents()
          recordEvent(stream)
        },
        cancel: () => {
          stream.hasEnded = true
          watch?.cancel()
        }
      }
    },
    holdsEnd: run => active.get(run)?.move?.stopReply !== undefined,
    resolveEnd: async (run, ended) => {
      const stream = active.get(run)
      active.delete(run)
      const continued = continuing.get(run)
      continuing.delete(run)
      if (stream !== undefined && continued !== undefined && (ended.kind === 'rejected' || ended.kind === 'unsent')) return resolveDisclaimed(stream, continued.move)
      if (stream?.move?.stopReply !== undefined) return await resolveStopping(stream, stream.move, ended)
      if (stream?.continues !== undefined) mover!.recordOutcome(stream, stream.continues, ended.kind === 'stopped' ? 'caller-left' : 'target-lost')
      // The move was given up between the end of the stream and now, since the source had not stopped the run.
      return ended.kind === 'held' ? endRegularly(run, ended.status) : ended
    },
    takeContinuation: run => {
      const found = pending.get(run)
      if (found === undefined || run.stop.signal.aborted) return undefined
      pending.delete(run)
      const { move, continuation } = found
      continuing.set(run, found)
      return {
        server: continuation.holder === 'target' ? move.target : move.source,
        runCopy: { sourceAddress: move.source.address, handle: continuation.handle }
      }
    },
    release: run => {
      const found = pending.get(run) ?? continuing.get(run)
      pending.delete(run)
      continuing.delete(run)
      histories.delete(run)
      if (found !== undefined) inBackground('free-run-copy', ctx.runCalls?.freeRunCopy(found.move.source, found.continuation.handle))
    }
  }
}
