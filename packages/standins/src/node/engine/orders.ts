/**
 * Executes orders, each order id once, and refuses those with an old fencing number when the engine checks it.
 */
import { sleep } from 'magnoliabay/clock/index'
import type {
  EngineRole, LoadedAdapter, LoadedModel, Order, OrderAction, OrderOutcome, OrderReply
} from 'magnoliabay/backend/protocol'
import type { CheckpointCache } from './checkpoints'
import type { MemoryAccount } from './memory'
import type { ResolvedEngineOptions } from './types'

export interface OrderExecutorOptions {
  engine: ResolvedEngineOptions
  memory: MemoryAccount
  checkpoints: CheckpointCache
  /** Resolves when no request of the model is waiting or running. */
  drained: (model: string) => Promise<void>
  /** Aborts when the engine's process dies. */
  processSignal: AbortSignal
  /** Initial fencing number. */
  fence: number
}

export interface OrderRecord {
  order: Order
  receivedAtMs: number
  endedAtMs?: number
  /** Number of times that the order arrived. */
  arrivals: number
  reply?: OrderReply
}

/** Executes orders for one incarnation of the engine's process. */
export interface OrderExecutor {
  /** Resolves to undefined when the process died before the order was executed. */
  execute (order: Order): Promise<OrderReply | undefined>
  fence (): number
  role (): EngineRole
  models (): readonly LoadedModel[]
  adapters (): readonly LoadedAdapter[]
  records (): readonly OrderRecord[]
}

interface Outcome {
  outcome: OrderOutcome
  message?: string
}

/** A model or adapter in memory; `settled` resolves when its loading or unloading has ended. */
interface MemoryEntry<T> {
  item: T
  settled: Promise<void>
}

type Handler = (order: Order) => Promise<Outcome>

const MEMORY_READ_MS_PER_GIB = 20
const DISK_READ_MS_PER_GIB = 80
const MIB_PER_GIB = 1024
const UNLOAD_MS = 20
const ADAPTER_MIB = 128
const FIRST_VERSION = '1'
const DONE: Outcome = { outcome: 'done' }
const ALREADY_DONE: Outcome = { outcome: 'already-done' }
const NO_MEMORY: Outcome = { outcome: 'no-memory' }
const UNKNOWN_MODEL: Outcome = { outcome: 'unknown-model' }

function failed (message: string): Outcome {
  return { outcome: 'failed', message }
}

export function createOrderExecutor (options: OrderExecutorOptions): OrderExecutor {
  const { engine, memory, checkpoints, drained, processSignal } = options
  const { clock, weights, faults } = engine
  const models = new Map<string, MemoryEntry<LoadedModel>>()
  const adapters = new Map<string, MemoryEntry<LoadedAdapter>>()
  const replies = new Map<string, Promise<OrderReply | undefined>>()
  const records = new Map<string, OrderRecord>()
  let fence = options.fence
  let role: EngineRole = 'serve'

  const sizeOf = (order: Order): number | undefined =>
    engine.catalog === undefined ? order.memoryMiB ?? 0 : engine.catalog[order.model ?? '']

  /** Reads a checkpoint; returns false when the process died or the load failed. */
  const readCheckpoint = async (model: string, memoryMiB: number): Promise<boolean> => {
    const gib = memoryMiB / MIB_PER_GIB
    const startMs = clock.monotonic()
    const tier = checkpoints.tier(model)
    if (tier === 'remote') await weights.loadModel({ model, engine: engine.id, memoryMiB }, processSignal)
    if (tier === 'disk') await sleep(clock, gib * DISK_READ_MS_PER_GIB, processSignal)
    if (tier === 'memory') await sleep(clock, gib * MEMORY_READ_MS_PER_GIB, processSignal)
    await sleep(clock, (clock.monotonic() - startMs) * (faults.current.slowLoads - 1), processSignal)
    if (processSignal.aborted || faults.current.failLoads) return false
    checkpoints.recordRead(model)
    return true
  }

  /** Loads a model into memory that has been reserved. */
  const loadReserved = async (model: LoadedModel): Promise<void> => {
    if (await readCheckpoint(model.model, model.memoryMiB)) {
      model.state = 'loaded'
      return
    }
    models.delete(model.model)
    if (!processSignal.aborted) memory.free(model.memoryMiB)
  }

  /** Waits until the model is loaded or absent. */
  const waitUntilSettled = async (model: string): Promise<void> => {
    let entry = models.get(model)
    while (entry !== undefined && entry.item.state !== 'loaded' && !processSignal.aborted) {
      await entry.settled
      entry = models.get(model)
    }
  }

  const load: Handler = async order => {
    const { model, orderId } = order
    if (model === undefined) return failed('no model named')
    const memoryMiB = sizeOf(order)
    if (memoryMiB === undefined) return UNKNOWN_MODEL
    await waitUntilSettled(model)
    if (processSignal.aborted) return failed('died')
    if (models.has(model)) return ALREADY_DONE
    if (!memory.reserve(memoryMiB, orderId, clock.now())) return NO_MEMORY
    const item: LoadedModel = { model, version: order.version ?? FIRST_VERSION, state: 'loading', memoryMiB, orderId }
    const settled = loadReserved(item)
    models.set(model, { item, settled })
    await settled
    return models.get(model)?.item === item ? DONE : failed('load failed')
  }

  const unloadAdaptersOf = (model: string): void => {
    for (const { item } of [...adapters.values()].filter(entry => entry.item.model === model)) {
      adapters.delete(item.adapter)
      memory.free(item.memoryMiB)
    }
  }

  const unloadWhenDrained = async (model: LoadedModel): Promise<void> => {
    await drained(model.model)
    await sleep(clock, UNLOAD_MS, processSignal)
    if (processSignal.aborted) return
    unloadAdaptersOf(model.model)
    models.delete(model.model)
    memory.free(model.memoryMiB)
  }

  const unload: Handler = async ({ model = '' }) => {
    await waitUntilSettled(model)
    const entry = models.get(model)
    if (entry === undefined) return ALREADY_DONE
    entry.item.state = 'unloading'
    entry.settled = unloadWhenDrained(entry.item)
    await entry.settled
    return DONE
  }

  const loadReservedAdapter = async (adapter: LoadedAdapter): Promise<void> => {
    const completed = await weights.loadAdapter(processSignal)
    if (completed) adapter.state = 'loaded'
  }

  const loadAdapter: Handler = async order => {
    const { adapter, model, orderId } = order
    if (adapter === undefined || model === undefined) return failed('no adapter or no model named')
    if (models.get(model)?.item.state !== 'loaded') return failed('model is not loaded')
    const existing = adapters.get(adapter)
    if (existing !== undefined) {
      await existing.settled
      return ALREADY_DONE
    }
    const memoryMiB = order.memoryMiB ?? ADAPTER_MIB
    if (!memory.reserve(memoryMiB, orderId, clock.now())) return NO_MEMORY
    const item: LoadedAdapter = { adapter, model, state: 'loading', memoryMiB, orderId }
    const settled = loadReservedAdapter(item)
    adapters.set(adapter, { item, settled })
    await settled
    return adapters.get(adapter)?.item === item && item.state === 'loaded' ? DONE : failed('load failed')
  }

  const unloadAdapter: Handler = async ({ adapter }) => {
    await adapters.get(adapter ?? '')?.settled
    const entry = adapters.get(adapter ?? '')
    if (entry === undefined) return ALREADY_DONE
    adapters.delete(entry.item.adapter)
    memory.free(entry.item.memoryMiB)
    return DONE
  }

  const setVersion: Handler = async ({ model, version }) => {
    const entry = models.get(model ?? '')
    if (entry?.item.state !== 'loaded' || version === undefined) return failed('model is not loaded')
    if (entry.item.version === version) return ALREADY_DONE
    const completed = await weights.loadModel({ model: entry.item.model, engine: engine.id, memoryMiB: entry.item.memoryMiB }, processSignal)
    if (!completed || models.get(entry.item.model) !== entry) return failed('load failed')
    entry.item.version = version
    return DONE
  }

  const handlers: Readonly<Record<OrderAction, Handler>> = {
    'raise-fence': async () => DONE,
    load,
    unload,
    'load-adapter': loadAdapter,
    'unload-adapter': unloadAdapter,
    'set-version': setVersion,
    'set-role': async order => {
      if (order.role === undefined) return failed('no role named')
      if (order.role === role) return ALREADY_DONE
      role = order.role
      return DONE
    }
  }

  const perform = async (order: Order): Promise<OrderReply | undefined> => {
    await sleep(clock, faults.current.orderDelayMs, processSignal)
    if (processSignal.aborted) return undefined
    if (engine.checksFence && order.fence < fence) return { orderId: order.orderId, outcome: 'stale-fence' }
    if (engine.checksFence) fence = order.fence
    const outcome = await handlers[order.action](order)
    return processSignal.aborted ? undefined : { orderId: order.orderId, ...outcome }
  }

  const performAndRecord = async (record: OrderRecord): Promise<OrderReply | undefined> => {
    const reply = await perform(record.order)
    record.endedAtMs = clock.now()
    record.reply = reply
    return reply
  }

  return {
    execute: order => {
      const earlierReply = replies.get(order.orderId)
      const earlierRecord = records.get(order.orderId)
      if (earlierRecord !== undefined) earlierRecord.arrivals += 1
      if (earlierReply !== undefined) return earlierReply
      const record: OrderRecord = { order, receivedAtMs: clock.now(), arrivals: 1 }
      records.set(order.orderId, record)
      const reply = performAndRecord(record)
      replies.set(order.orderId, reply)
      return reply
    },
    fence: () => fence,
    role: () => role,
    models: () => [...models.values()].map(entry => ({ ...entry.item })),
    adapters: () => [...adapters.values()].map(entry => ({ ...entry.item })),
    records: () => [...records.values()]
  }
}
