/** What callers saw, and what was held where: all that the checks look at beside the stand-ins' own records. */

/**
 * `whole`: the whole answer to this very request. `wrong`: a clean end, but not that answer.
 * `refused`: a typed failure. `cut`: the connection or the stream broke, with no typed failure.
 * `no-connection`: nothing was ever sent. `unanswered`: the caller gave up long after its deadline.
 */
export type CallResult = 'whole' | 'wrong' | 'refused' | 'cut' | 'no-connection' | 'unanswered'

export interface CallRecord {
  id: string
  kind: 'completion' | 'service'
  team: string
  keyId: string
  key: string
  /** Instance that was called. */
  instance: string
  model?: string
  prompt?: string
  idempotencyKey?: string
  startedAtMs: number
  firstByteAtMs?: number
  endedAtMs: number
  result: CallResult
  code?: string
  notRun?: boolean
  detail?: string
}

/** Models held by an engine at one moment, read from the engine itself. */
export interface EngineSample {
  atMs: number
  engine: string
  loaded: readonly string[]
  /** Loading, loaded or unloading. */
  models: readonly string[]
  running: number
}

export interface ConfigProbe {
  model: string
  appliedAtMs: number
  /** When each instance first listed it. */
  listedAtMs: Record<string, number>
  /** Instances that listed it and later did not. */
  reverted: string[]
  /** Instances that lived through the whole probe. */
  expected: string[]
}

export interface Withdrawal {
  keyId: string
  key: string
  atMs: number
}

export interface LeavingEngine {
  id: string
  atMs: number
}

export interface Observations {
  calls: CallRecord[]
  engineSamples: EngineSample[]
  probes: ConfigProbe[]
  withdrawals: Withdrawal[]
  leavingEngines: LeavingEngine[]
}

export function createObservations (): Observations {
  return { calls: [], engineSamples: [], probes: [], withdrawals: [], leavingEngines: [] }
}
