/** What the serving path works with, in the product's own words, whatever the platform calls it. */

/**
 * What may be repeated. `idempotent`: any number of runs. `non-idempotent`: one run at most for each client attempt.
 * `stream`: as `non-idempotent`, unless its route is resumable.
 */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream'

export interface ServiceShare {
  service: string
  /** Relative to the other shares of the same route. */
  weight: number
}

export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  kind: RequestKind
  /** Longest time that a request may stay open, milliseconds. */
  timeoutMs: number
  /** Latency objective: to the whole answer, or to the first event of a stream, milliseconds. */
  latencyObjectiveMs: number
  /** Longest pause between two events of a stream that meets its objective, milliseconds; 0 where none is set. */
  maxEventGapMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Backend servers on which one client attempt may run. */
  maxAttempts: number
  /** No key is asked for. */
  isAnonymous: boolean
  isResumable: boolean
  services: readonly ServiceShare[]
}

export interface ModelSpec {
  name: string
  weightsMb: number
  adapters: readonly string[]
  adapterMb: number
  /** Load times by where the weights are, milliseconds. */
  loadMs: { memory: number, disk: number, store: number }
}

export interface EngineSpec {
  slots: number
  /** Tokens that running requests and cached prefixes share. */
  kvTokens: number
  /** Memory for weights and adapters together. */
  weightMemoryMb: number
  adapterCapacity: number
  /** Loads a second that the weight store allows over all engines. */
  storeLoadsPerSecond: number
  models: ReadonlyMap<string, ModelSpec>
}

/** Servers of a service are cold for a while after their start, and crash well above some requests a second meanwhile. */
export interface ColdStart {
  durationMs: number
  requestsPerSecond: number
}

export interface Service {
  name: string
  /** Undefined where servers take their full load from their start on. */
  coldStart: ColdStart | undefined
  /** Connections that one backend server accepts from all callers together. */
  connectionLimit: number
  /** Undefined for a plain service. */
  engine: EngineSpec | undefined
}

/** How a team's allowance is counted. */
export type AllowanceUnit = 'tokens' | 'requests'

export interface Team {
  name: string
  keys: readonly string[]
  /** Goes before the route's. */
  priority: number | undefined
  unit: AllowanceUnit
  /** Tokens of a request that does not tell its own. */
  defaultTokens: number
  /** Units a second over the fleet; 0: no limit. */
  rate: number
  burst: number
}

export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

export interface ServingConfig {
  version: number
  routes: readonly Route[]
  services: ReadonlyMap<string, Service>
  /** Undefined: no keys are in use. */
  teams: readonly Team[] | undefined
  limits: CallerLimits
}

export interface LoadedModel {
  name: string
  version: number
  adapters: readonly string[]
}

export type ServerState = 'ready' | 'draining'

/** A backend server as the store lists it. */
export interface BackendServer {
  id: string
  /** Start of its process, Unix milliseconds: the same id born anew is another process. */
  bornMs: number
  service: string
  address: string
  failureDomain: string
  slots: number
  state: ServerState
  /** How much longer it is cold after its start, milliseconds. */
  coldMs: number
  models: readonly LoadedModel[]
  /** Models whose weights it holds a copy of. */
  copies: { memory: readonly string[], disk: readonly string[] }
  /** How much longer a server that was given notice stays, milliseconds. */
  remainingMs: number | undefined
}

/** Names one process of a backend server. */
export function serverProcessId (server: Pick<BackendServer, 'id' | 'bornMs'>): string {
  return `${server.id}@${server.bornMs}`
}

/** What one caller asks for, its own headers decoded. */
export interface CallerRequest {
  /** Unique for each attempt of a client. */
  attemptId: string
  /** How long the caller waits, milliseconds. */
  deadlineMs: number | undefined
  key: string | undefined
  model: string | undefined
  adapter: string | undefined
  /** Prompt and largest output, tokens. */
  tokens: { prompt: number, output: number } | undefined
  /** Ids of the parts of the prompt, in order. */
  promptParts: readonly string[]
}
