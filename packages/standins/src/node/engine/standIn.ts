/**
 * The model engine stand-in without its server: orders, requests and the life of its process.
 */
import type { CancelTimer } from 'magnoliabay/clock/index'
import type { CacheEvents, EngineState, LoadReport, Order, OrderReply } from 'magnoliabay/backend/protocol'
import { Err, Ok } from 'magnoliabay/result'
import type { Result } from 'magnoliabay/result'
import type { FaultSwitches } from '../faults'
import { createCheckpointCache } from './checkpoints'
import { createEngineFaults } from './faults'
import type { EngineFaults } from './faults'
import { createAnswer } from './generate'
import { createLoadMeter } from './loadMeter'
import { createMemoryAccount } from './memory'
import type { MemoryAccount } from './memory'
import { createOrderDesk } from './orders'
import type { OrderDesk, OrderRecord } from './orders'
import { createPrefixCache } from './prefixCache'
import { createRun } from './run'
import type { Run } from './run'
import { createRunner } from './runner'
import { TEAM_HEADER, resolveEngineOptions } from './types'
import type { EngineOptions, EngineRequestRecord, GenerateRequest, Refusal, RefusalKind } from './types'

export type EngineLifecycleEvent = 'crashed' | 'started'
export type EngineLifecycleListener = (event: EngineLifecycleEvent) => void | Promise<void>

export interface EngineRecords {
  requests: readonly EngineRequestRecord[]
  orders: readonly OrderRecord[]
  memoryMiB: number
  usedMiB: number
  highWaterMiB: number
  overcommitAttempts: ReturnType<MemoryAccount['attempts']>
}

export interface EngineStandIn {
  readonly id: string
  readonly faults: FaultSwitches<EngineFaults>
  /** Undefined when the process died before the order was carried out. */
  executeOrder (order: Order): Promise<OrderReply | undefined>
  /** Begins a request. */
  submit (request: GenerateRequest): Result<Run, Refusal>
  /** False when no such request is open. */
  cancel (requestId: string): boolean
  /** The run that is held under the id, for a resume. */
  held (requestId: string): Run | undefined
  /** The run to take a crossed answer from. */
  otherThan (run: Run): Run | undefined
  state (): EngineState
  load (): LoadReport
  cacheEvents (after: number): CacheEvents
  records (): EngineRecords
  isDown (): boolean
  /** From now on new requests are refused as not run. */
  startDraining (): void
  onLifecycle (listener: EngineLifecycleListener): void
  /** Ends every run and timer. */
  close (): Promise<void>
}

const RESUME_HOLD_MS = 30_000

export function createEngineStandIn (options: EngineOptions): EngineStandIn {
  const faults = options.faults ?? createEngineFaults()
  const engine = resolveEngineOptions(options, faults)
  const { id, clock } = engine
  const memory = createMemoryAccount(engine.memoryMiB)
  const checkpoints = createCheckpointCache(engine.checkpoints)
  const prefixes = createPrefixCache({ clock, blocks: engine.cacheBlocks, lagMs: engine.cacheEventLagMs })
  const meter = createLoadMeter(clock, engine.loadReportLagMs)
  const runner = createRunner({ engine, prefixes, meter, crash: () => crashByPrompt() })
  const requests: EngineRequestRecord[] = []
  const lifeListeners: EngineLifecycleListener[] = []
  const runs = new Map<string, Run>()
  const pastOrders: OrderRecord[] = []
  let life = new AbortController()
  let lives = 1
  let leaving = false
  let cancelRestart: CancelTimer = () => {}

  const openDesk = (fence: number): OrderDesk =>
    createOrderDesk({ engine, memory, checkpoints, drained: runner.drained, life: life.signal, fence })
  let desk = openDesk(0)

  const incarnation = (): string => `${id}-${lives}`

  const tell = async (event: EngineLifecycleEvent): Promise<void> => {
    await Promise.allSettled(lifeListeners.map(listener => listener(event)))
  }

  const die = async (): Promise<void> => {
    if (life.signal.aborted) return
    life.abort()
    pastOrders.push(...desk.records())
    runner.crashAll()
    runs.clear()
    memory.clear()
    checkpoints.forgetMemory()
    await tell('crashed')
  }

  const rise = async (): Promise<void> => {
    if (!life.signal.aborted) return
    life = new AbortController()
    lives += 1
    // An engine that checks fencing numbers keeps the highest over a restart, or the check would mean nothing.
    desk = openDesk(desk.fence())
    await tell('started')
  }

  const crashByPrompt = (): void => {
    faults.set({ crash: true })
    const { restartAfterMs } = faults.current
    if (restartAfterMs > 0) cancelRestart = clock.schedule(restartAfterMs, () => faults.set({ crash: false }))
  }

  faults.onChange((_now, changed) => {
    if (changed.crash === undefined) return
    return changed.crash ? die() : rise()
  })

  const refusal = (request: GenerateRequest, model: string | undefined): RefusalKind | undefined => {
    if (life.signal.aborted) return 'down'
    if (leaving) return 'leaving'
    if (faults.current.refuse) return 'refusing'
    if (request.prompt === '') return 'invalid'
    return model === undefined ? 'unknown-model' : undefined
  }

  const isLoaded = (model: string): boolean =>
    desk.models().some(held => held.model === model && held.state === 'loaded')

  /** The base model that a request is for, if it and the adapter are loaded. */
  const resolveModel = (model: string, adapter: string | undefined): string | undefined => {
    if (adapter === undefined) return isLoaded(model) ? model : undefined
    const base = desk.adapters().find(held => held.adapter === adapter && held.state === 'loaded')?.model
    return base !== undefined && isLoaded(base) ? base : undefined
  }

  const resolveAdapter = (request: GenerateRequest): string | undefined => {
    if (request.adapter !== undefined) return request.adapter
    return desk.adapters().some(held => held.adapter === request.model) ? request.model : undefined
  }

  const forgetOldRuns = (): void => {
    const beforeMs = clock.now() - RESUME_HOLD_MS
    for (const [requestId, { record }] of runs) {
      if ((record.endedAtMs ?? Infinity) < beforeMs) runs.delete(requestId)
    }
  }

  const submit = (received: GenerateRequest): Result<Run, Refusal> => {
    forgetOldRuns()
    const request = { ...received, requestId: received.requestId || `${incarnation()}-${requests.length}` }
    const adapter = resolveAdapter(request)
    const model = resolveModel(request.model, adapter)
    const refused = refusal(request, model)
    const record: EngineRequestRecord = {
      engine: id,
      incarnation: incarnation(),
      requestId: request.requestId,
      model: model ?? request.model,
      adapter,
      team: request.headers[TEAM_HEADER],
      headers: request.headers,
      prompt: request.prompt,
      receivedAtMs: clock.now(),
      tokens: 0,
      completed: false,
      outcome: refused === undefined ? 'waiting' : 'refused'
    }
    requests.push(record)
    if (refused !== undefined || model === undefined) return Err({ kind: refused ?? 'unknown-model' })
    const answer = createAnswer({ model, adapter, prompt: request.prompt, maxTokens: request.maxTokens })
    const run = createRun(request, record, model, answer)
    runs.set(request.requestId, run)
    runner.start(run)
    return Ok(run)
  }

  const state = (): EngineState => ({
    engine: id,
    incarnation: incarnation(),
    fence: desk.fence(),
    checksFence: engine.checksFence,
    canResume: engine.canResume,
    role: desk.role(),
    memoryMiB: engine.memoryMiB,
    usedMiB: memory.usedMiB(),
    models: desk.models(),
    adapters: desk.adapters(),
    checkpoints: checkpoints.list(),
    leaving
  })

  return {
    id,
    faults,
    submit,
    state,
    executeOrder: order => desk.carryOut(order),
    cancel: requestId => {
      const run = runs.get(requestId)
      if (run === undefined || run.signal.aborted) return false
      run.end('cancelled', clock.now())
      return true
    },
    held: requestId => runs.get(requestId),
    otherThan: run => [...runs.values()].findLast(other => other !== run),
    load: () => ({ engine: id, ...meter.lagged(), cacheUse: prefixes.share(), leaving }),
    cacheEvents: after => prefixes.events(after),
    records: () => ({
      requests,
      orders: [...pastOrders, ...(life.signal.aborted ? [] : desk.records())],
      memoryMiB: engine.memoryMiB,
      usedMiB: memory.usedMiB(),
      highWaterMiB: memory.highWaterMiB(),
      overcommitAttempts: memory.attempts()
    }),
    isDown: () => life.signal.aborted,
    startDraining: () => { leaving = true },
    onLifecycle: listener => { lifeListeners.push(listener) },
    close: () => {
      cancelRestart()
      return die()
    }
  }
}
