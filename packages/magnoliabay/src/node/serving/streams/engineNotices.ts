/** Watches for engines that end soon, and has the runs moved that would not end in the time that is left. */
import type { ServingContext } from '../servingContext'
import { serverProcessId } from '../types'
import type { ActiveStream } from './activeStream'
import { estimateRemainingMs } from './runEstimate'

/** Interval at which the runs at an engine that ends soon are looked at again, milliseconds: moves of others have ended, or a target has room. */
const REVIEW_INTERVAL_MS = 200
/** A run has to end this much before its engine, milliseconds: the time of a move that has to be made after all. */
const END_MARGIN_MS = 300

export interface EngineNoticesOptions {
  ctx: Pick<ServingContext, 'servers' | 'clock'>
  /** Streams that are being received. */
  streams: () => readonly ActiveStream[]
  /** Starts to move the run of a stream, if it can be moved now. */
  move: (stream: ActiveStream) => void
}

export interface EngineNotices {
  /** Starts to watch; called with the first stream that can be moved, and without effect after that. */
  start (): void
}

/** Returns the time that a stream still takes at its engine at most, milliseconds. */
export function remainingMsOf (stream: ActiveStream): number {
  const { run, firstEvent, lastEventMs } = stream
  return estimateRemainingMs({
    maxEvents: run.caller.tokens?.output,
    firstEvent: firstEvent?.id,
    lastEvent: run.events?.lastId(),
    betweenMs: firstEvent === undefined ? 0 : lastEventMs - firstEvent.atMs,
    maxGapMs: run.admitted.route.maxEventGapMs
  })
}

export function createEngineNotices ({ ctx: { servers, clock }, streams, move }: EngineNoticesOptions): EngineNotices {
  /** When engines end, monotonic milliseconds, by process. */
  const endsMs = new Map<string, number>()
  let isStarted = false
  let isReviewDue = false

  const leftMsOf = ({ server }: ActiveStream): number | undefined => {
    const atMs = endsMs.get(serverProcessId(server))
    return atMs === undefined ? undefined : atMs - clock.monotonic()
  }
  const review = (): void => {
    isReviewDue = false
    const concerned = streams().filter(stream => (leftMsOf(stream) ?? 0) > 0)
    const late = concerned
      .map(stream => ({ stream, remainingMs: remainingMsOf(stream) }))
      .filter(({ stream, remainingMs }) => remainingMs > leftMsOf(stream)! - END_MARGIN_MS)
      .sort((one, other) => Math.min(other.remainingMs, Number.MAX_VALUE) - Math.min(one.remainingMs, Number.MAX_VALUE))
    late.forEach(({ stream }) => move(stream))
    if (concerned.length > 0) reviewIn(REVIEW_INTERVAL_MS)
  }
  const reviewIn = (delayMs: number): void => {
    if (isReviewDue) return
    isReviewDue = true
    clock.schedule(delayMs, review)
  }
  const readNotices = (): void => {
    const listed = new Map(servers.all().map(server => [serverProcessId(server), server]))
    const gone = [...endsMs.keys()].filter(process => !listed.has(process))
    gone.forEach(process => endsMs.delete(process))
    listed.forEach(({ remainingMs }, process) => {
      // The entry states the time at which it was written, so the earliest reading is the most exact.
      if (remainingMs !== undefined) endsMs.set(process, Math.min(endsMs.get(process) ?? Infinity, clock.monotonic() + remainingMs))
    })
    if (endsMs.size > 0) reviewIn(0)
  }

  return {
    start: () => {
      if (isStarted) return
      isStarted = true
      servers.onChanged(readNotices)
      readNotices()
    }
  }
}
