/**
 * The model engine stand-in without its server: orders, requests, and crashes and restarts of its process.
 */
import { setMaxListeners } from 'node:events'
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
import { createOrderExecutor } from './orders'
import type { OrderExecutor, OrderRecord } from './orders'
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
  /** Resolves to undefined when the process died before the order was executed. */
  executeOrder (order: Order): Promise<OrderReply | undefined>
  /** Starts a request. */
  submit (request: GenerateRequest): Result<Run, Refusal>
  /** Cancels a request; returns false when it is neither running nor waiting. */
  cancel (requestId: string): boolean
  /** Returns the run with this request id, for a resume. */
  findRun (requestId: string): Run | undefined
  /** Returns another run, whose answer is sent when answers are crossed. */
  findOtherRun (run: Run): Run | undefined
  state (): EngineState
  load (): LoadReport
  cacheEvents (after: number): CacheEvents
  records (): EngineRecords
  isDown (): boolean
  /** Makes the engine refuse new requests as not run. */
  startDraining (): void
  onLifecycle (listener: EngineLifecycleListener): void
  /** Ends every run and stops the restart timer. */
  close (): Promise<void>
}

const ENDED_RUN_RETENTION_MS = 30_000

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
  const lifecycleListeners: EngineLifecycleListener[] = []
  const runs = new Map<string, Run>()
  const pastOrders: OrderRecord[] = []
  let processAbort = new AbortController()
  let incarnationNumber = 1
  let { softwareVersion } = faults.current
  let leaving = false
  let cancelRestart: CancelTimer = () => {}

  const startOrderExecutor = (fence: number): OrderExecutor => {
    // Each order in progress has a listener, which it removes; dozens of adapters may be loaded at once.
    setMaxListeners(0, processAbort.signal)
    return createOrderExecutor({ engine, memory, checkpoints, drained: runner.drained, processSignal: processAbort.signal, fence })
  }
  let orderExecutor = startOrderExecutor(0)

  const incarnation = (): string => `${id}-${incarnationNumber}`

  const notifyLifecycle = async (event: EngineLifecycleEvent): Promise<void> => {
    await Promise.allSettled(lifecycleListeners.map(listener => listener(event)))
  }

  const stopProcess = async (): Promise<void> => {
    if (processAbort.signal.aborted) return
    processAbort.abort()
    pastOrders.push(...orderExecutor.records())
    runner.crashAll()
    runs.clear()
    memory.clear()
    checkpoints.moveMemoryToDisk()
    await notifyLifecycle('crashed')
  }

  const restartProcess = async (): Promise<void> => {
    if (!processAbort.signal.aborted) return
    processAbort = new AbortController()
    incarnationNumber += 1
    softwareVersion = faults.current.softwareVersion
    // An engine that checks fencing numbers keeps the highest over a restart; otherwise it would accept old orders again.
    orderExecutor = startOrderExecutor(orderExecutor.fence())
    await notifyLifecycle('started')
  }

  const crashByPrompt = (): void => {
    faults.set({ crash: true })
    const { restartAfterMs } = faults.current
    if (restartAfterMs > 0) cancelRestart = clock.schedule(restartAfterMs, () => faults.set({ crash: false }))
  }

  faults.onChange((_current, changed) => {
    if (changed.crash === undefined) return
    return changed.crash ? stopProcess() : restartProcess()
  })

  const refusalOf = (request: GenerateRequest, model: string | undefined): RefusalKind | undefined => {
    if (processAbort.signal.aborted) return 'down'
    if (leaving) return 'leaving'
    if (faults.current.refuse) return 'refusing'
    if (request.prompt === '') return 'invalid'
    return model === undefined ? 'unknown-model' : undefined
  }

  const isLoaded = (model: string): boolean =>
    orderExecutor.models().some(loaded => loaded.model === model && loaded.state === 'loaded')

  /** Returns the base model that a request is for, if it and the adapter are loaded. */
  const resolveModel = (model: string, adapter: string | undefined): string | undefined => {
    if (adapter === undefined) return isLoaded(model) ? model : undefined
    const base = orderExecutor.adapters().find(loaded => loaded.adapter === adapter && loaded.state === 'loaded')?.model
    return base !== undefined && isLoaded(base) ? base : undefined
  }

  const resolveAdapter = (request: GenerateRequest): string | undefined => {
    if (request.adapter !== undefined) return request.adapter
    return orderExecutor.adapters().some(loaded => loaded.adapter === request.model) ? request.model : undefined
  }

  const dropExpiredRuns = (): void => {
    const cutoffMs = clock.now() - ENDED_RUN_RETENTION_MS
    for (const [requestId, { record }] of runs) {
      if ((record.endedAtMs ?? Infinity) < cutoffMs) runs.delete(requestId)
    }
  }

  const submit = (received: GenerateRequest): Result<Run, Refusal> => {
    dropExpiredRuns()
    const request = { ...received, requestId: received.requestId || `${incarnation()}-${requests.length}` }
    const adapter = resolveAdapter(request)
    const model = resolveModel(request.model, adapter)
    const refusalKind = refusalOf(request, model)
    const record: EngineRequestRecord = {
      engine: id,
      incarnation: incarnation(),
      softwareVersion,
      requestId: request.requestId,
      model: model ?? request.model,
      adapter,
      team: request.headers[TEAM_HEADER],
      headers: request.headers,
      prompt: request.prompt,
      receivedAtMs: clock.now(),
      tokens: 0,
      completed: false,
      outcome: refusalKind === undefined ? 'waiting' : 'refused'
    }
    requests.push(record)
    if (refusalKind !== undefined || model === undefined) return Err({ kind: refusalKind ?? 'unknown-model' })
    const answer = createAnswer({ model, adapter, prompt: request.prompt, maxTokens: request.maxTokens })
    const run = createRun(request, record, model, answer)
    runs.set(request.requestId, run)
    runner.start(run)
    return Ok(run)
  }

  const state = (): EngineState => ({
    engine: id,
    incarnation: incarnation(),
    fence: orderExecutor.fence(),
    checksFence: engine.checksFence,
    canResume: engine.canResume,
    role: orderExecutor.role(),
    memoryMiB: engine.memoryMiB,
    usedMiB: memory.usedMiB(),
    models: orderExecutor.models(),
    adapters: orderExecutor.adapters(),
    checkpoints: checkpoints.list(),
    leaving
  })

  return {
    id,
    faults,
    submit,
    state,
    executeOrder: order => orderExecutor.execute(order),
    cancel: requestId => {
      const run = runs.get(requestId)
      if (run === undefined || run.signal.aborted) return false
      run.end('cancelled', clock.now())
      return true
    },
    findRun: requestId => runs.get(requestId),
    findOtherRun: run => [...runs.values()].findLast(other => other !== run),
    load: () => ({ engine: id, ...meter.laggedSample(), cacheUse: prefixes.usedRatio(), leaving }),
    cacheEvents: after => prefixes.events(after),
    records: () => ({
      requests,
      orders: [...pastOrders, ...(processAbort.signal.aborted ? [] : orderExecutor.records())],
      memoryMiB: engine.memoryMiB,
      usedMiB: memory.usedMiB(),
      highWaterMiB: memory.highWaterMiB(),
      overcommitAttempts: memory.attempts()
    }),
    isDown: () => processAbort.signal.aborted,
    startDraining: () => { leaving = true },
    onLifecycle: listener => { lifecycleListeners.push(listener) },
    close: () => {
      cancelRestart()
      return stopProcess()
    }
  }
}
