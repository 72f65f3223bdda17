/** Counters of silent streams and of moves. */
import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'

/** `first`: no event has arrived yet. `later`: an event is overdue after others. */
export type SilentPhase = 'first' | 'later'

/**
 * `resumed`: cancelled, and sent to another engine. `moving`: a move has been started. `kept`: the request may not run
 * again, or the retry budget is spent, and the run cannot be moved.
 */
export type SilenceAction = 'resumed' | 'moving' | 'kept'

/**
 * How a move ended. `continued`, `continued-at-source`: the second engine has sent an event, or the source went on with the
 * memory that it kept. `target-lost`: the second engine ended before its first event. `rejected`: no engine accepted the
 * handle. `run-ended`, `caller-left`: the stream ended before its run was stopped, or the caller closed its connection.
 * The others are replies of the source.
 */
export type MoveOutcome =
  | 'continued'
  | 'continued-at-source'
  | 'target-lost'
  | 'rejected'
  | 'run-ended'
  | 'caller-left'
  | 'no-run'
  | 'in-progress'
  | 'no-room'
  | 'refused'
  | 'unanswered'

export interface StreamMetrics {
  silent: Counter<'phase' | 'action'>
  moves: Counter<'cause' | 'outcome'>
}

export function createStreamMetrics (registry: Registry): StreamMetrics {
  return {
    silent: new Counter({ name: 'magnoliabay_silent_streams_total', help: 'Streams whose next event was overdue, by what was done.', labelNames: ['phase', 'action'], registers: [registry] }),
    moves: new Counter({ name: 'magnoliabay_stream_moves_total', help: 'Moves of runs to another engine, by outcome.', labelNames: ['cause', 'outcome'], registers: [registry] })
  }
}
