/** Types of the serving path: routes, services, teams and backend servers, independent of the platform's names for them. */

/**
 * How often a request may run. `idempotent`: any number of times. `non-idempotent`: at most once per client attempt.
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
  /** Latency objective until the complete response, or until the first event of a stream, milliseconds. */
  latencyObjectiveMs: number
  /** Longest gap between two events of a stream that meets its objective, milliseconds; 0 if none is set. */
  maxEventGapMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Number of backend servers on which one client attempt may run. */
  maxAttempts: number
  /** Requests need no key. */
  isAnonymous: boolean
  isResumable: boolean
  services: readonly ServiceShare[]
}

export interface ModelSpec {
  name: string
  weightsMb: number
  adapters: readonly string[]
  adapterMb: number
  /** Load times by location of the weights, milliseconds. */
  loadMs: { memory: number, disk: number, store: number }
}

export interface EngineSpec {
  slots: number
  /** Tokens that running requests and cached prefixes share. */
  kvTokens: number
  /** Memory for weights and adapters together. */
  weightMemoryMb: number
  adapterCapacity: number
  /** Loads per second that the weight store allows over all engines. */
  storeLoadsPerSecond: number
  models: ReadonlyMap<string, ModelSpec>
  /** Undefined if engines do not offer to move runs. */
  moves?: MoveSpec
}

/** What it costs to move a run, and how long its copy is kept. */
export interface MoveSpec {
  bytesPerToken: number
  /** Megabits per second within a failure domain; a move to another takes twice the time. */
  bandwidthMbps: number
  /** Time for which a copy can be used, milliseconds. */
  handleMs: number
}

/** Servers of a service are cold for a while after their start; well above this rate of requests they crash meanwhile. */
export interface ColdStart {
  durationMs: number
  requestsPerSecond: number
}

export interface Service {
  name: string
  /** Undefined if servers take their full load right after their start. */
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
  /** Overrides the route's priority. */
  priority: number | undefined
  unit: AllowanceUnit
  /** Tokens counted for a request that does not state its own. */
  defaultTokens: number
  /** Units per second over all instances; 0 for no limit. */
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
  /** Undefined if no keys are in use. */
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
  /** Start time of its process, Unix milliseconds; the same id with a later start time is another process. */
  bornMs: number
  service: string
  address: string
  failureDomain: string
  slots: number
  /** Version of its software, which is not that of any weights; undefined if its entry states none. */
  softwareVersion?: string
  state: ServerState
  /** Remaining time for which it is cold after its start, milliseconds. */
  coldMs: number
  models: readonly LoadedModel[]
  /** Models of whose weights it has a copy. */
  copies: { memory: readonly string[], disk: readonly string[] }
  /** Remaining time of a server that has been given notice, milliseconds. */
  remainingMs: number | undefined
}

/** Names one process of a backend server. */
export function serverProcessId (server: Pick<BackendServer, 'id' | 'bornMs'>): string {
  return `${server.id}@${server.bornMs}`
}

/** A stream that a caller resumes after its connection broke. */
export interface StreamResumption {
  /** Client attempt that brought the stream's first event; undefined if the caller names none, or not a valid one. */
  firstAttemptId: string | undefined
  /** Last event that the caller has received; undefined if it states none, or not a number. */
  lastEventId: number | undefined
}

/** A caller's request, as decoded from its headers. */
export interface CallerRequest {
  /** Unique for each attempt of a client. */
  attemptId: string
  /** How long the caller waits, milliseconds. */
  deadlineMs: number | undefined
  key: string | undefined
  model: string | undefined
  adapter: string | undefined
  /** Prompt and maximum output, tokens. */
  tokens: { prompt: number, output: number } | undefined
  /** Ids of the parts of the prompt, in order. */
  promptParts: readonly string[]
  /** Undefined for a request whose caller has received no event. */
  resumption?: StreamResumption
}
