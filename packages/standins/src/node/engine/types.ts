/**
 * Options and records of the model engine stand-in.
 */
import type { Clock } from 'magnoliabay/clock/index'
import type { CheckpointTier } from 'magnoliabay/backend/protocol'
import type { FaultSwitches } from '../faults'
import type { WeightStore } from '../weights'
import type { EngineFaults } from './faults'

export interface EngineOptions {
  id: string
  clock: Clock
  weights: WeightStore
  /** @default switches of its own */
  faults?: FaultSwitches<EngineFaults>
  /** Memory for models and adapters, MiB. @default 81920 */
  memoryMiB?: number
  /** Whether orders with an old fencing number are refused. @default true */
  checksFence?: boolean
  /** Whether streams whose connection broke can be resumed. @default true */
  canResume?: boolean
  /** True sizes by model, MiB; a model that isn't named is unknown. @default every model, at the size ordered */
  catalog?: Readonly<Record<string, number>>
  /** Checkpoints held locally at the start, by model. @default none */
  checkpoints?: Readonly<Record<string, CheckpointTier>>
  /** Requests run at full pace at once. @default 16 */
  capacity?: number
  /** Requests run at once at most; more wait. @default 64 */
  maxRunning?: number
  /** Time to the first token, milliseconds. @default 10 */
  firstTokenMs?: number
  /** Time between tokens, milliseconds. @default 2 */
  tokenMs?: number
  /** Lag of the load report, milliseconds. @default 500 */
  loadReportLagMs?: number
  /** Lag of cache events, milliseconds. @default 1000 */
  cacheEventLagMs?: number
  /** Prompt prefix blocks held in the cache. @default 512 */
  cacheBlocks?: number
}

export interface ResolvedEngineOptions extends Required<Omit<EngineOptions, 'catalog'>> {
  catalog: Readonly<Record<string, number>> | undefined
}

/** `chat`: `/v1/chat/completions`. `text`: `/v1/completions`. */
export type AnswerShape = 'chat' | 'text'

/** What a request asks for. */
export interface GenerateRequest {
  /** '' lets the engine give one of its own. */
  requestId: string
  shape: AnswerShape
  /** Model as named by the caller: a loaded model, or a loaded adapter. */
  model: string
  adapter?: string
  prompt: string
  /** Most tokens to generate; undefined for the engine's own end. */
  maxTokens?: number
  /** 0 first. */
  priority: number
  /** All request headers seen. */
  headers: Readonly<Record<string, string>>
}

export type RequestOutcome = 'waiting' | 'running' | 'completed' | 'cancelled' | 'abandoned' | 'crashed' | 'refused'

/** What became of one request; checks read these. */
export interface EngineRequestRecord {
  engine: string
  incarnation: string
  requestId: string
  model: string
  adapter?: string
  /** Team header, when one was sent. */
  team?: string
  headers: Readonly<Record<string, string>>
  prompt: string
  receivedAtMs: number
  /** When the first work was done for it; undefined when it never ran. */
  startedAtMs?: number
  endedAtMs?: number
  tokens: number
  completed: boolean
  outcome: RequestOutcome
}

export type RefusalKind = 'unknown-model' | 'leaving' | 'down' | 'refusing' | 'invalid'

/** A request that ran nothing. */
export interface Refusal {
  kind: RefusalKind
}

export const TEAM_HEADER = 'x-team'

export function resolveEngineOptions (options: EngineOptions, faults: FaultSwitches<EngineFaults>): ResolvedEngineOptions {
  return {
    memoryMiB: 81_920,
    checksFence: true,
    canResume: true,
    checkpoints: {},
    capacity: 16,
    maxRunning: 64,
    firstTokenMs: 10,
    tokenMs: 2,
    loadReportLagMs: 500,
    cacheEventLagMs: 1000,
    cacheBlocks: 512,
    ...options,
    faults,
    catalog: options.catalog
  }
}
