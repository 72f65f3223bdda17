/** Unloads idle replicas and adapters, and preloads models whose next use is expected soon. */
import { inBackground } from '../background'
import type { ModelConfig } from '../config/fleet'
import { freeMiB, loadedReplicas } from './engineAccount'
import type { EngineAccount, Replica } from './engineAccount'
import type { CellLeaderContext } from './context'
import { decideKeepAliveMs, predictNextUse } from './keepAlivePolicy'
import type { GapHistory } from './keepAlivePolicy'
import type { ReplicaOps } from './replicaOps'
import type { PendingDemand } from './pendingDemand'

export interface IdleEvictionOptions {
  ctx: CellLeaderContext
  ops: ReplicaOps
  history: GapHistory
  pendingDemand: PendingDemand
  targetReplicas: (model: string) => number
}

export interface IdleEviction {
  maintain (): void
}

/** An adapter unused for this long is unloaded. Loading it again takes milliseconds. */
const ADAPTER_IDLE_TIMEOUT_MS = 120_000
/** A replica beyond those that the load needs is kept for this long after its load. */
const SURPLUS_RETENTION_MS = 60_000
/** A model is preloaded this much earlier than its expected load time requires. */
const PRELOAD_MARGIN_MS = 1000
const PRELOAD_PATIENCE_MS = 60_000

export function createIdleEviction (options: IdleEvictionOptions): IdleEviction {
  const { ctx, ops, history, pendingDemand } = options
  const { clock, accounts } = ctx

  const keepAliveMs = (replica: Replica): number => {
    const coldStartMs = ctx.loadTimes.expectedMs('remote', replica.memoryMiB)
    return decideKeepAliveMs(history.gaps(replica.model), { coldStartWorthMs: ctx.cfg.active().fleet.coldStartWorth * coldStartMs })
  }
  const isUseExpected = (replica: Replica): boolean => {
    const nextUse = predictionOf(replica.model)
    return nextUse !== undefined && isUseImminent(nextUse.atMs, nextUse.marginMs, replica.memoryMiB)
  }
  const predictionOf = (model: string): ReturnType<typeof predictNextUse> => {
    const lastUseMs = history.lastUseMs(model)
    return lastUseMs === undefined ? undefined : predictNextUse(lastUseMs, history.gaps(model))
  }
  const isUseImminent = (atMs: number, marginMs: number, memoryMiB: number): boolean => {
    const leadMs = ctx.loadTimes.expectedMs('remote', memoryMiB) + marginMs + PRELOAD_MARGIN_MS
    return clock.monotonic() >= atMs - leadMs && clock.monotonic() <= atMs + marginMs + PRELOAD_MARGIN_MS
  }
  const isIdle = (replica: Replica): boolean => {
    const idleMs = clock.monotonic() - replica.lastUsedMs
    return idleMs > keepAliveMs(replica) && pendingDemand.get(replica.model) === undefined && !isUseExpected(replica)
  }
  const loaded = (): Array<{ account: EngineAccount, replica: Replica }> =>
    [...accounts.values()].flatMap(account => loadedReplicas(account).map(replica => ({ account, replica })))
  const findSurplus = (all: ReturnType<typeof loaded>): ReturnType<typeof loaded> => {
    const counts = new Map<string, number>()
    return all.filter(({ replica }) => {
      const count = (counts.get(replica.model) ?? 0) + 1
      counts.set(replica.model, count)
      return count > Math.max(1, options.targetReplicas(replica.model)) && clock.monotonic() - replica.loadedAtMs > SURPLUS_RETENTION_MS
    })
  }
  const unloadIdle = (): void => {
    const all = loaded().filter(({ account, replica }) => !replica.hasOpenOrder && account.isReachable)
    const idle = all.filter(({ replica }) => isIdle(replica))
    idle.forEach(({ account, replica }) => {
      const idleSeconds = Math.round((clock.monotonic() - replica.lastUsedMs) / 1000)
      inBackground('unload', ops.unload(account, replica, `unused for ${idleSeconds} s`))
    })
    const surplus = findSurplus(all.filter(({ replica }) => replica.lifecycle.state() === 'loaded'))
    surplus.forEach(({ account, replica }) => { inBackground('unload', ops.unload(account, replica, 'more replicas than its load needs')) })
  }
  const unloadAdapters = (): void => [...accounts.values()].forEach(account => {
    const idle = [...account.adapters.values()].filter(adapter => adapter.isLoaded && clock.monotonic() - adapter.lastUsedMs > ADAPTER_IDLE_TIMEOUT_MS)
    idle.forEach(adapter => { inBackground('unload-adapter', ops.unloadAdapter(account, adapter.adapter)) })
  })
  /** Adds demand for a model that is expected to be used soon, if it fits into free memory: evicts nothing for a prediction. */
  const preload = (model: ModelConfig): void => {
    const prediction = predictionOf(model.name)
    if (prediction === undefined || !isUseImminent(prediction.atMs, prediction.marginMs, model.memoryMiB)) return
    const isOnAnyEngine = [...accounts.values()].some(account => account.replicas.has(model.name))
    const hasFreeMemory = [...accounts.values()].some(account => freeMiB(account) >= model.memoryMiB)
    if (!isOnAnyEngine && hasFreeMemory) pendingDemand.add({ model: model.name, adapters: [], waiting: 0, patienceMs: PRELOAD_PATIENCE_MS, weight: 1, isPredicted: true }, clock.monotonic())
  }

  return {
    maintain: () => {
      unloadIdle()
      unloadAdapters()
      const known = history.models().map(ctx.cfg.model).filter(model => model !== undefined)
      known.forEach(preload)
    }
  }
}
