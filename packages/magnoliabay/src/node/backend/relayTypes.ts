/** What relaying a completion takes, and what it comes to. */
import type { Clock } from '../clock'
import type { Failure } from '../failures'
import type { ExecutionTracker } from '../outcomes'
import type { EngineClient, ConnectionPools } from './engineClient'
import type { PartResult } from './relayConnection'

export interface RelayLimits {
  /** Longest silence before the first byte of a streamed answer, milliseconds. */
  engineFirstByteMs: number
  /** Longest wait for an answer that comes in one body, milliseconds. */
  engineWholeMs: number
  /** Longest silence within an answer, milliseconds. */
  engineGapMs: number
  /** Longest time that a caller may take nothing of its answer, milliseconds. */
  callerStallMs: number
}

export interface RelayOptions {
  connectionPools: ConnectionPools
  engineClient: Pick<EngineClient, 'cancel'>
  clock: Clock
  limits: RelayLimits
}

export interface RelayRequest {
  address: string
  path: string
  /** Id towards the caller. */
  requestId: string
  /** Id towards the engine: differs for each attempt, so that a late answer to an earlier one matches nothing. */
  engineRequestId: string
  team: string
  priority: number
  body: Buffer
  isStream: boolean
  signal: AbortSignal
  execution: ExecutionTracker
  /** Asked before the request is sent again on a fresh connection. */
  tryTakeRetry: () => boolean
}

/**
 * `answered`: the caller has the whole answer. `not-run`: the engine certainly ran nothing; try elsewhere.
 * `failed`: nothing has reached the caller yet. `cut`: part of the answer has. `stopped`: the request's
 * deadline passed, its caller went or its key was withdrawn. `refused`: not run, and not to be tried elsewhere.
 */
export type RelayResult =
  | { kind: 'answered', usedTokens?: number }
  | { kind: 'not-run' | 'refused', failure: Failure }
  | { kind: 'failed' | 'cut' | 'stopped', failure: Failure, isConnectionBroken: boolean }

export interface Relayed {
  relayed: RelayResult
  part: Pick<PartResult, 'isConnectionSuspect' | 'isLeftRunning'>
}
