/** Options, requests and results of relaying a completion. */
import type { NotRunEvidence } from '../answers'
import type { Clock } from '../clock'
import type { Failure } from '../failures'
import type { ExecutionTracker } from '../outcomes'
import type { BackendStatements } from './backendStatements'
import type { EngineClient, ConnectionPools } from './engineClient'
import type { PartResult } from './relayConnection'

export interface RelayLimits {
  /** Longest wait for the first byte of a streamed response, milliseconds. */
  engineFirstByteMs: number
  /** Longest wait for a response with a single body, milliseconds. */
  engineWholeMs: number
  /** Longest pause within a response, milliseconds. */
  engineGapMs: number
  /** Longest time that a caller may read nothing of its response, milliseconds. */
  callerStallMs: number
}

export interface RelayOptions {
  connectionPools: ConnectionPools
  engineClient: Pick<EngineClient, 'cancel'>
  statements: Pick<BackendStatements, 'record' | 'admit' | 'takePlace'>
  clock: Clock
  limits: RelayLimits
}

/** Why an attempt certainly did not run; the rest of the evidence is known where attempts are made. */
export type NotRunBasis = Pick<NotRunEvidence, 'connection' | 'basis'>

export interface RelayRequest {
  address: string
  path: string
  /** The request id that the caller sees. */
  requestId: string
  /** The request id that the engine sees: differs for each attempt, so that a late response to an earlier one is not matched. */
  engineRequestId: string
  team: string
  priority: number
  body: Buffer
  isStream: boolean
  signal: AbortSignal
  execution: ExecutionTracker
  /** Takes a retry from the budget before the request is sent again on a new connection; false when none is left. */
  tryTakeRetry: () => boolean
}

/**
 * `answered`: the caller has the whole response. `not-run`: the engine certainly did not run it; it may be sent to
 * another. `failed`: nothing has been sent to the caller yet. `cut`: part of the response has. `stopped`: the request's
 * deadline passed, its caller disconnected or its key was withdrawn. `refused`: not run, and not to be retried.
 */
export type RelayResult =
  | { kind: 'answered', usedTokens?: number }
  | { kind: 'not-run' | 'refused', failure: Failure, notRun: NotRunBasis }
  | { kind: 'failed' | 'cut' | 'stopped', failure: Failure, isConnectionBroken: boolean }

export interface RelayAttempt {
  result: RelayResult
  part: Pick<PartResult, 'isConnectionSuspect' | 'isLeftRunning'>
}
