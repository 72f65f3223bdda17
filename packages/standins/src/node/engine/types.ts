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
  /** @default new switches */
  faults?: FaultSwitches<EngineFaults>
  /** Memory for models and adapters, MiB. @default 81920 */
  memoryMiB?: number
  /** Whether orders with an old fencing number are refused. @default true */
  checksFence?: boolean
  /** Whether streams whose connection broke can be resumed. @default true */
  canResume?: boolean
  /** Actual sizes by model, MiB; all other models are unknown. @default every model, at the size ordered */
  catalog?: Readonly<Record<string, number>>
  /** Initial local checkpoints by model. @default none */
  checkpoints?: Readonly<Record<string, CheckpointTier>>
  /** Maximum number of concurrent requests at full speed. @default 16 */
  capacity?: number
  /** Maximum number of concurrent requests; more wait. @default 64 */
  maxRunning?: number
  /** Time to the first token, milliseconds. @default 10 */
  firstTokenMs?: number
  /** Time between tokens, milliseconds. @default 2 */
  tokenMs?: number
  /** Lag of the load report, milliseconds. @default 500 */
  loadReportLagMs?: number
  /** Lag of cache events, milliseconds. @default 1000 */
  cacheEventLagMs?: number
  /** Capacity of the prefix cache, blocks. @default 512 */
  cacheBlocks?: number
}

export interface ResolvedEngineOptions extends Required<Omit<EngineOptions, 'catalog'>> {
  catalog: Readonly<Record<string, number>> | undefined
}

/** `chat`: `/v1/chat/completions`. `text`: `/v1/completions`. */
export type AnswerShape = 'chat' | 'text'

/** A completion request, parsed from HTTP. */
export interface GenerateRequest {
  /** '' makes the engine assign one. */
  requestId: string
  shape: AnswerShape
  /** Name sent by the caller: of a loaded model or a loaded adapter. */
  model: string
  adapter?: string
  prompt: string
  /** Maximum number of tokens to generate; undefined for the default length. */
  maxTokens?: number
  /** Lower values run first; 0 is the highest priority. */
  priority: number
  /** All request headers received. */
  headers: Readonly<Record<string, string>>
}

export type RequestOutcome = 'waiting' | 'running' | 'completed' | 'cancelled' | 'abandoned' | 'crashed' | 'refused'

/** Progress and outcome of one request, read by checks. */
export interface EngineRequestRecord {
  engine: string
  incarnation: string
  /** Version of the software of the process that got the request. */
  softwareVersion: string
  requestId: string
  model: string
  adapter?: string
  /** Value of the team header, if one was sent. */
  team?: string
  headers: Readonly<Record<string, string>>
  prompt: string
  receivedAtMs: number
  /** When it began to run; undefined when it never ran. */
  startedAtMs?: number
  endedAtMs?: number
  tokens: number
  completed: boolean
  outcome: RequestOutcome
}

export type RefusalKind = 'unknown-model' | 'leaving' | 'down' | 'refusing' | 'invalid'

/** The refusal of a request that wasn't run. */
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
