/** The stream of one attempt while it is supervised. */
import type { Attempt } from '../attempt'
import type { RequestRun } from '../requestRun'
import type { BackendServer } from '../types'
import type { MoveOutcome } from './metrics'
import type { RunMove } from './runMove'

/** Why a run is moved. `notice`: its engine ends soon. `silent`: it sends nothing, and may not run again. */
export type MoveCause = 'notice' | 'silent'

export interface ActiveMove {
  machine: RunMove
  cause: MoveCause
  source: BackendServer
  target: BackendServer
  startedMs: number
  /** Resolves with the reply to the call that stops the run; undefined before that call. */
  stopReply: Promise<unknown> | undefined
  /** What the reply to that call means if the run has not stopped. */
  stopOutcome: MoveOutcome
  /** The source's reply shows that the call has not stopped the run: the end of the stream is a regular one. */
  isRunUntouched: boolean
  /** Since when it is unknown whether that call stops the run, monotonic milliseconds. */
  unconfirmedSinceMs: number | undefined
}

/** The moves of one request over all its attempts. */
export interface MoveHistory {
  /** Addresses of engines that had no room for its run. */
  fullTargets: Set<string>
  count: number
  /** A call to stop the run got no reply, so no more may be made. */
  isUnconfirmed: boolean
}

export interface ActiveStream {
  run: RequestRun
  attempt: Attempt
  server: BackendServer
  /** Whether the attempt has ended. */
  hasEnded: boolean
  /** Id and time of the first event of this attempt, and time of its last one, monotonic milliseconds. */
  firstEvent: { id: number, atMs: number } | undefined
  lastEventMs: number
  /** The move that the attempt continues, until the first event. */
  continues: ActiveMove | undefined
  move: ActiveMove | undefined
  history: MoveHistory
}
