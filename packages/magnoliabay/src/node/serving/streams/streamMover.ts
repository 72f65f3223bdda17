/** Moves the run of a stream to another engine: makes the calls, and reports when the run has stopped. */
import { inBackground } from '../../background'
import type { ServingContext } from '../servingContext'
import { serverProcessId } from '../types'
import type { BackendServer, EngineSpec } from '../types'
import type { ActiveMove, ActiveStream, MoveCause } from './activeStream'
import type { MoveOutcome, StreamMetrics } from './metrics'
import { chooseMoveTarget } from './moveTarget'
import type { MoveReply, RunCalls } from './runCalls'
import { moveTimeoutMs } from './runEstimate'
import { createRunMove } from './runMove'

/** Moves at a time from one engine: together they share its bandwidth, and the first must be complete before it ends. */
const MAX_MOVES_PER_SOURCE = 3
/** Moves that are tried for one request: each stops its stream for a moment. */
const MAX_MOVES_PER_REQUEST = 4
/** Time for a stream to be closed after its run has stopped, milliseconds; the reply may overtake its last events. */
const STREAM_CLOSE_WAIT_MS = 200

/** Outcomes of a call for a move after which the run stays at its engine. */
const OUTCOMES: Record<MoveReply['kind'], MoveOutcome> = {
  copied: 'run-ended',
  'no-run': 'no-run',
  'in-progress': 'in-progress',
  'no-room': 'no-room',
  refused: 'refused',
  unanswered: 'unanswered'
}

export interface StreamMoverOptions {
  ctx: Pick<ServingContext, 'clock' | 'logger' | 'health' | 'fleetView' | 'placement' | 'serverLimits' | 'serverBackoffs' | 'coldStarts' | 'streamVersions'>
  calls: RunCalls
  metrics: StreamMetrics
}

export interface StreamMover {
  /** Starts to move a stream's run; returns whether it has been started. */
  start (stream: ActiveStream, cause: MoveCause): boolean
  /** Writes the line of a move that has ended, and counts it. */
  recordOutcome (stream: ActiveStream, move: ActiveMove, outcome: MoveOutcome): void
  /** Records an event of the stream: one that is sent well after a call to stop the run shows that it has not stopped. */
  recordEvent (stream: ActiveStream): void
  /** Frees the copy of a move that no request has used. */
  free (move: ActiveMove): void
}

export function createStreamMover ({ ctx, calls, metrics }: StreamMoverOptions): StreamMover {
  const { clock, logger, health, fleetView, placement } = ctx
  /** Moves in progress by process of the source. */
  const moving = new Map<string, number>()

  const specOf = ({ run }: ActiveStream): EngineSpec => run.admitted.service.engine!
  const mayTake = (server: BackendServer): boolean => {
    const id = serverProcessId(server)
    return !health.isSilent(id) && ctx.serverLimits.limitOf(id) === undefined && ctx.serverBackoffs.remainingMs(id) === 0 && !ctx.coldStarts.isCold(server)
  }
  const targetOf = (stream: ActiveStream): BackendServer | undefined => {
    const { run, server: source } = stream
    const { model, adapter } = run.caller
    if (model === undefined) return undefined
    const eligible = placement.serversWithModel(run.admitted.service.name, model, adapter)
      .filter(server => server.address !== source.address && !stream.history.fullTargets.has(server.address) && !run.tried.has(serverProcessId(server)))
      .filter(server => mayTake(server) && ctx.streamVersions.mayMove(run, source, server))
    const candidates = eligible.map(server => {
      const id = serverProcessId(server)
      return { address: server.address, load: health.inFlight(id) + fleetView.inFlightElsewhere(id), slots: server.slots, failureDomain: server.failureDomain }
    })
    const chosen = chooseMoveTarget(candidates, source.failureDomain)
    return eligible.find(({ address }) => address === chosen?.address)
  }
  const recordOutcome = (stream: ActiveStream, move: ActiveMove, outcome: MoveOutcome): void => {
    metrics.moves.inc({ cause: move.cause, outcome })
    logger.info('stream-move', {
      request: stream.run.caller.attemptId,
      cause: move.cause,
      source: move.source.id,
      target: move.target.id,
      outcome,
      lastEvent: stream.run.events?.lastId(),
      tookMs: Math.round(clock.monotonic() - move.startedMs)
    })
  }
  const free = (move: ActiveMove): void => {
    const handle = move.machine.unusedHandle()
    move.machine.abandon()
    if (handle !== undefined) inBackground('free-run-copy', calls.freeRunCopy(move.source, handle))
  }
  const call = async (stream: ActiveStream, move: ActiveMove, isLast: boolean): Promise<MoveReply> => {
    const isOtherDomain = move.source.failureDomain !== move.target.failureDomain
    const reply = await calls.moveRun(move.source, {
      run: stream.run.caller.attemptId,
      target: move.target.address,
      isLast,
      timeoutMs: moveTimeoutMs(stream.run.caller.tokens, specOf(stream), specOf(stream).moves!, isOtherDomain)
    })
    if (reply.kind === 'no-room') stream.history.fullTargets.add(move.target.address)
    return reply
  }
  /** Ends a move after which the run stays where it is. */
  const giveUp = (stream: ActiveStream, move: ActiveMove, outcome: MoveOutcome): void => {
    free(move)
    stream.move = undefined
    recordOutcome(stream, move, outcome)
  }
  const copy = async (stream: ActiveStream, move: ActiveMove): Promise<boolean> => {
    move.machine.begin()
    const reply = await call(stream, move, false)
    move.machine.recordReply(reply)
    if (!stream.hasEnded && move.machine.state() === 'stopping') return true
    giveUp(stream, move, OUTCOMES[reply.kind])
    return false
  }
  const stop = async (stream: ActiveStream, move: ActiveMove): Promise<void> => {
    const pending = call(stream, move, true)
    move.stopReply = pending.then(reply => {
      move.machine.recordReply(reply)
      move.stopOutcome = OUTCOMES[reply.kind]
      move.isRunUntouched = reply.kind === 'no-run' || reply.kind === 'in-progress'
      stream.history.isUnconfirmed ||= reply.kind === 'unanswered'
      if (move.machine.state() === 'stopped') return closeSoon(stream)
      move.unconfirmedSinceMs = clock.monotonic()
      // Once the stream has ended, whoever handles its end decides.
      if (move.isRunUntouched && !stream.hasEnded) giveUp(stream, move, OUTCOMES[reply.kind])
    })
    await move.stopReply
  }
  /** The source closes the stream of a run that it has stopped; a connection that is lost would stay open. */
  const closeSoon = (stream: ActiveStream): void => {
    clock.schedule(STREAM_CLOSE_WAIT_MS, () => { if (!stream.hasEnded) stream.attempt.fail('run has been moved') })
  }
  const perform = async (stream: ActiveStream, move: ActiveMove): Promise<void> => {
    const process = serverProcessId(move.source)
    moving.set(process, (moving.get(process) ?? 0) + 1)
    if (await copy(stream, move)) await stop(stream, move)
    const left = moving.get(process)! - 1
    if (left > 0) moving.set(process, left)
    else moving.delete(process)
  }

  return {
    recordOutcome,
    free,
    recordEvent: stream => {
      const { move } = stream
      const isRunning = move?.unconfirmedSinceMs !== undefined && clock.monotonic() - move.unconfirmedSinceMs > STREAM_CLOSE_WAIT_MS
      if (isRunning) giveUp(stream, move, move.stopOutcome)
    },
    start: (stream, cause) => {
      if (stream.move !== undefined || stream.hasEnded || stream.history.isUnconfirmed || stream.history.count >= MAX_MOVES_PER_REQUEST) return false
      if ((moving.get(serverProcessId(stream.server)) ?? 0) >= MAX_MOVES_PER_SOURCE) return false
      const target = targetOf(stream)
      if (target === undefined) return false
      stream.history.count += 1
      stream.move = { machine: createRunMove(), cause, source: stream.server, target, startedMs: clock.monotonic(), stopReply: undefined, stopOutcome: 'run-ended', isRunUntouched: false, unconfirmedSinceMs: undefined }
      inBackground('move-run', perform(stream, stream.move))
      return true
    }
  }
}
