/** Records of calls, engine states and changes that the checks evaluate together with the stand-ins' own records. */

/**
 * `whole`: the complete response to this request. `wrong`: a normal end, but not the expected response.
 * `refused`: a typed error. `cut`: the connection or the stream broke without a typed error.
 * `no-connection`: nothing was sent. `unanswered`: the caller timed out long after its deadline.
 */
export type CallResult = 'whole' | 'wrong' | 'refused' | 'cut' | 'no-connection' | 'unanswered'

export interface CallRecord {
  id: string
  kind: 'completion' | 'service'
  team: string
  keyId: string
  key: string
  /** Instance that received the call. */
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
  /** Software versions of the engines whose events a stream holds. */
  softwareVersions?: readonly string[]
  detail?: string
}

/** State of an engine at one time, read from the engine stand-in itself. */
export interface EngineSample {
  atMs: number
  engine: string
  loaded: readonly string[]
  /** All models that are loading, loaded or unloading. */
  models: readonly string[]
  running: number
}

export interface ConfigProbe {
  model: string
  appliedAtMs: number
  /** Time at which each instance first listed the model. */
  listedAtMs: Record<string, number>
  /** Instances that listed the model and later did not. */
  reverted: string[]
  /** Instances that ran without a pause during the whole probe. */
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

/** A time in which an engine states a rate limit. */
export interface StatedLimit {
  engine: string
  requestsPerSecond: number
  fromMs: number
  toMs: number
}

/** A time in which an engine refuses requests and asks for backoff. */
export interface EngineBackoff {
  engine: string
  backoffMs: number
  fromMs: number
  toMs: number
}

/** A time in which an engine is brittle. */
export interface BrittleTime {
  engine: string
  /** How often it fell over, from some seconds after it first said so. */
  falls: number
}

export interface Observations {
  calls: CallRecord[]
  engineSamples: EngineSample[]
  probes: ConfigProbe[]
  withdrawals: Withdrawal[]
  leavingEngines: LeavingEngine[]
  statedLimits: StatedLimit[]
  backoffs: EngineBackoff[]
  brittleTimes: BrittleTime[]
}

export function createObservations (): Observations {
  return { calls: [], engineSamples: [], probes: [], withdrawals: [], leavingEngines: [], statedLimits: [], backoffs: [], brittleTimes: [] }
}
