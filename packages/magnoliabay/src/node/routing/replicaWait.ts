/**
 * Requests that wait for a replica. Each has one deadline and one timer and settles exactly once; those that wait for
 * the same model send one demand together.
 */
import { inBackground } from '../background'
import type { Cells } from '../cells'
import { sleep } from '../clock'
import type { CancelTimer, Clock } from '../clock'

/** Interval at which the demand for a model is repeated, also in case one was lost. */
const DEMAND_INTERVAL_MS = 1000
const BATCH_DELAY_MS = 5

export interface WaitRequest<T> {
  model: string
  adapter?: string
  /** Monotonic milliseconds. */
  deadlineMs: number
  weight: number
  signal: AbortSignal
  /** Called whenever replicas may have changed; returns undefined to keep waiting. */
  tryAcquire: () => T | undefined
}

export interface ReplicaWaits {
  /** Resolves to what `tryAcquire` returned, or to undefined at the deadline or when `signal` aborts. */
  wait<T> (req: WaitRequest<T>): Promise<T | undefined>
  /** Why the model is not loaded yet, as last reported by its cell leader. */
  reasonFor (model: string): string | undefined
}

interface Waiter {
  model: string
  adapter?: string
  deadlineMs: number
  weight: number
  retry: () => void
}

/** Requests that wait for one model. */
interface ModelWait {
  waiters: Set<Waiter>
  /** Adapters that a demand of this round already named. */
  requestedAdapters: Set<string>
  isDemandScheduled: boolean
}

function retryAll (waiters: ReadonlySet<Waiter>): void {
  const all = [...waiters]
  all.forEach(waiter => waiter.retry())
}

export function createReplicaWaits (cells: Cells, clock: Clock): ReplicaWaits {
  const modelWaits = new Map<string, ModelWait>()
  const reasons = new Map<string, string>()

  const sendDemand = async (model: string, { waiters, requestedAdapters }: ModelWait): Promise<void> => {
    const all = [...waiters]
    if (all.length === 0) return
    const adapters = [...new Set(all.flatMap(waiter => waiter.adapter ?? []))]
    adapters.forEach(adapter => requestedAdapters.add(adapter))
    const deadlineMs = Math.min(...all.map(waiter => waiter.deadlineMs))
    const reply = await cells.requestReplica({
      model,
      adapters,
      waiting: all.length,
      patienceMs: Math.max(0, deadlineMs - clock.monotonic()),
      weight: Math.max(...all.map(waiter => waiter.weight))
    })
    reasons.set(model, reply.reason)
    // The reply may have delivered a table whose notice was lost.
    retryAll(waiters)
  }
  /** Repeats the demand for a model for as long as requests wait for it. */
  const repeatDemand = async (model: string, modelWait: ModelWait): Promise<void> => {
    while (modelWait.waiters.size > 0) {
      modelWait.requestedAdapters.clear()
      await sendDemand(model, modelWait)
      if (modelWait.waiters.size > 0) await sleep(clock, DEMAND_INTERVAL_MS)
    }
    if (modelWaits.get(model) === modelWait) modelWaits.delete(model)
  }
  /** Sends new demand before the next round, batched with other demand of the next {@link BATCH_DELAY_MS}. */
  const scheduleDemand = (model: string, modelWait: ModelWait): void => {
    if (modelWait.isDemandScheduled) return
    modelWait.isDemandScheduled = true
    clock.schedule(BATCH_DELAY_MS, () => {
      modelWait.isDemandScheduled = false
      inBackground('send-demand', sendDemand(model, modelWait))
    })
  }
  const add = (waiter: Waiter): void => {
    const modelWait = modelWaits.get(waiter.model)
    if (modelWait === undefined) {
      const newWait: ModelWait = { waiters: new Set([waiter]), requestedAdapters: new Set(), isDemandScheduled: false }
      modelWaits.set(waiter.model, newWait)
      inBackground('repeat-demand', repeatDemand(waiter.model, newWait))
      return
    }
    modelWait.waiters.add(waiter)
    const isNewAdapter = waiter.adapter !== undefined && !modelWait.requestedAdapters.has(waiter.adapter)
    if (isNewAdapter || modelWait.waiters.size === 1) scheduleDemand(waiter.model, modelWait)
  }
  cells.replicas.onChanged(() => modelWaits.forEach(modelWait => retryAll(modelWait.waiters)))

  return {
    reasonFor: model => reasons.get(model),
    wait: <T>(req: WaitRequest<T>) => new Promise<T | undefined>(resolve => {
      if (req.signal.aborted) return resolve(undefined)
      let cancelTimer: CancelTimer = () => {}
      const settle = (value: T | undefined): void => {
        modelWaits.get(req.model)?.waiters.delete(waiter)
        cancelTimer()
        req.signal.removeEventListener('abort', stopWaiting)
        resolve(value)
      }
      const stopWaiting = (): void => settle(undefined)
      const retry = (): void => {
        const value = req.tryAcquire()
        if (value !== undefined) settle(value)
      }
      const waiter: Waiter = { model: req.model, adapter: req.adapter, deadlineMs: req.deadlineMs, weight: req.weight, retry }
      cancelTimer = clock.schedule(req.deadlineMs - clock.monotonic(), stopWaiting)
      req.signal.addEventListener('abort', stopWaiting, { once: true })
      add(waiter)
    })
  }
}
