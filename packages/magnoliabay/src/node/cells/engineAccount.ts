/**
 * The memory account of one engine. Memory is charged before an order to load is sent, and freed only
 * when the engine has confirmed that the model is unloaded.
 */
import type { CheckpointTier, EngineRole } from '../backend/protocol'
import { createReplicaLifecycle } from './replicaLifecycle'
import type { ReplicaLifecycle } from './replicaLifecycle'

export interface Replica {
  engine: string
  model: string
  version: string
  memoryMiB: number
  /** Id of the last order for it. */
  orderId: string
  lifecycle: ReplicaLifecycle
  /** An order for it is in flight. Its answer decides the next state, not the state that the engine reports. */
  hasOpenOrder: boolean
  /** Monotonic milliseconds. */
  lastUsedMs: number
  /** When it was last confirmed as loaded, monotonic milliseconds. */
  loadedAtMs: number
  /** Whether any request has used it. */
  wasUsed: boolean
}

export interface AdapterCharge {
  adapter: string
  model: string
  memoryMiB: number
  isLoaded: boolean
  lastUsedMs: number
}

export interface EngineAccount {
  engine: string
  /** Changes when the engine's process restarts. */
  incarnation: string
  memoryMiB: number
  checksFence: boolean
  role: EngineRole
  isLeaving: boolean
  /** Whether the last request for its state was answered. */
  isReachable: boolean
  /** Time since which it has been neither listed nor reachable, monotonic milliseconds. */
  missingSinceMs: number | undefined
  replicas: Map<string, Replica>
  adapters: Map<string, AdapterCharge>
  tiers: Map<string, CheckpointTier>
  /** Time of the last answer to an order, monotonic milliseconds. A state read before it may be outdated. */
  lastAnswerMs: number
  /** Requests that run or wait on the engine, by its last load report. */
  load: number
}

export function createEngineAccount (engine: string, memoryMiB: number): EngineAccount {
  return {
    engine,
    incarnation: '',
    memoryMiB,
    checksFence: false,
    role: 'serve',
    isLeaving: false,
    isReachable: true,
    missingSinceMs: undefined,
    replicas: new Map(),
    adapters: new Map(),
    tiers: new Map(),
    lastAnswerMs: 0,
    load: 0
  }
}

export interface ReplicaOptions {
  engine: string
  model: string
  version?: string
  memoryMiB: number
  orderId: string
  nowMs: number
  /** @default `decided` */
  initialState?: 'loaded' | 'unknown'
}

/** Adds a replica to the account and charges its memory. */
export function addReplica (account: EngineAccount, options: ReplicaOptions): Replica {
  const replica: Replica = {
    engine: options.engine,
    model: options.model,
    version: options.version ?? '1',
    memoryMiB: options.memoryMiB,
    orderId: options.orderId,
    lifecycle: createReplicaLifecycle(options.initialState),
    hasOpenOrder: false,
    lastUsedMs: options.nowMs,
    loadedAtMs: options.nowMs,
    wasUsed: false
  }
  account.replicas.set(replica.model, replica)
  return replica
}

/** Removes a replica that is in state `gone`, with its adapters, and so frees its memory. */
export function dropIfGone (account: EngineAccount, replica: Replica): void {
  if (replica.lifecycle.state() !== 'gone') return
  if (account.replicas.get(replica.model) === replica) account.replicas.delete(replica.model)
  const adapters = [...account.adapters.values()].filter(adapter => adapter.model === replica.model)
  adapters.forEach(adapter => account.adapters.delete(adapter.adapter))
}

export function chargedMiB (account: EngineAccount): number {
  const replicas = [...account.replicas.values()].reduce((sum, replica) => sum + replica.memoryMiB, 0)
  const adapters = [...account.adapters.values()].reduce((sum, adapter) => sum + adapter.memoryMiB, 0)
  return replicas + adapters
}

export function freeMiB (account: EngineAccount): number {
  return account.memoryMiB - chargedMiB(account)
}

export function loadedReplicas (account: EngineAccount): Replica[] {
  return [...account.replicas.values()].filter(replica => replica.lifecycle.state() === 'loaded')
}
