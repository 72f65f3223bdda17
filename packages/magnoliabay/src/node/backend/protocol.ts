/**
 * The engines' published protocol, HTTP with JSON bodies.
 *
 * - `POST /v1/chat/completions`, `POST /v1/completions`: OpenAI-compatible, `stream: true` gives SSE.
 *   Request headers `x-request-id`, `x-priority` (0 is served first). The response repeats `x-request-id`, and
 *   every SSE event carries an `id:` line `<request id>:<index>`; a stream ends with `data: [DONE]`.
 *   The last data event before it carries `usage`. A refusal without running anything has status 4xx or 503 and
 *   the header `x-not-run: true`.
 * - `POST /control/cancel` {@link CancelRequest}.
 * - `GET /control/resume?request=<id>&from=<index>`: the rest of a stream whose connection broke, for engines
 *   whose state says `canResume`; 404 when the engine no longer keeps it.
 * - `POST /control/orders` {@link Order} → {@link OrderReply}, answered when the order has been carried out.
 * - `GET /control/state` → {@link EngineState}: the current state.
 * - `GET /control/load` → {@link LoadReport}: lags behind the current load.
 * - `GET /control/events?after=<sequence>` → {@link CacheEvents}: delayed, and possibly with gaps.
 */

export type OrderAction = 'raise-fence' | 'load' | 'unload' | 'load-adapter' | 'unload-adapter' | 'set-version' | 'set-role'

/** Where the engine reads a checkpoint from, fastest first. */
export type CheckpointTier = 'memory' | 'disk' | 'remote'

export type EngineRole = 'serve' | 'prefill' | 'decode'

export interface Order {
  /** Unique; for a repeated id the engine returns the first outcome and does nothing. */
  orderId: string
  /** Fencing token of the leader that sends the order. */
  fence: number
  action: OrderAction
  model?: string
  adapter?: string
  version?: string
  role?: EngineRole
  /** Memory that the leader accounts for the model or adapter, MiB. */
  memoryMiB?: number
}

export type OrderOutcome = 'done' | 'already-done' | 'stale-fence' | 'no-memory' | 'failed' | 'unknown-model'

export interface OrderReply {
  orderId: string
  outcome: OrderOutcome
  message?: string
}

export type LoadedState = 'loading' | 'loaded' | 'unloading'

export interface LoadedModel {
  model: string
  version: string
  state: LoadedState
  memoryMiB: number
  /** The order that led to this state. */
  orderId: string
}

export interface LoadedAdapter {
  adapter: string
  model: string
  state: LoadedState
  memoryMiB: number
  orderId: string
}

export interface EngineState {
  engine: string
  /** Changes whenever the engine's process restarts, which unloads everything. */
  incarnation: string
  fence: number
  checksFence: boolean
  canResume: boolean
  role: EngineRole
  memoryMiB: number
  usedMiB: number
  models: readonly LoadedModel[]
  adapters: readonly LoadedAdapter[]
  /** Checkpoints held locally, by model; others are remote. */
  checkpoints: readonly CheckpointLocation[]
  leaving: boolean
}

export interface CheckpointLocation {
  model: string
  tier: CheckpointTier
}

export interface LoadReport {
  engine: string
  /** When the report was taken, Unix epoch milliseconds. */
  atMs: number
  running: number
  waiting: number
  /** Tokens generated a second, in the recent past. */
  tokensPerSecond: number
  /** Fraction of the KV cache in use, 0 to 1. */
  cacheUse: number
  leaving: boolean
}

export interface CacheEvent {
  sequence: number
  kind: 'stored' | 'evicted'
  model: string
  /** Hash chain value of a prompt prefix block. */
  prefix: string
}

export interface CacheEvents {
  /** The first sequence number still kept; events between the requested one and this are missing. */
  oldest: number
  events: readonly CacheEvent[]
}

export interface CancelRequest {
  requestId: string
}

export const REQUEST_ID_HEADER = 'x-request-id'
export const PRIORITY_HEADER = 'x-priority'
export const NOT_RUN_HEADER = 'x-not-run'
