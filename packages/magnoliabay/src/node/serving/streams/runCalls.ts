/** Interface to the calls by which an engine moves a run to another engine. */
import type { BackendServer } from '../types'

export interface MoveCall {
  /** Attempt id of the request that is being run. */
  run: string
  /** Address of the engine that gets the copy. */
  target: string
  /** Whether the run stops before the copy; otherwise it continues. */
  isLast: boolean
  /** Time for the copy and the reply, milliseconds. */
  timeoutMs: number
}

/**
 * `copied`: the target has a copy, and after a last call the run has stopped. `no-run`: the engine has no such run.
 * `in-progress`: another call for the run is being carried out. `no-room`: the target cannot be reached or is full; with a
 * handle the run has stopped, and the engine keeps its memory. `refused`: any other reply. `unanswered`: the call may take
 * effect, now or later.
 */
export type MoveReply =
  | { kind: 'copied', handle: string, createdEvents: number }
  | { kind: 'no-run' }
  | { kind: 'in-progress' }
  | { kind: 'no-room', handle: string | undefined }
  | { kind: 'refused', status: number }
  | { kind: 'unanswered' }

export interface RunCalls {
  /** Asks the engine that runs a request to copy the run to another one. */
  moveRun (source: BackendServer, call: MoveCall): Promise<MoveReply>
  /** Frees the copy of a run at both engines. */
  freeRunCopy (source: BackendServer, handle: string): Promise<void>
}
