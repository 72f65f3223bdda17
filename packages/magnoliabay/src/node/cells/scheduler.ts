/**
 * Starts loads for pending demand: most urgent first, within the cell's share of the weight store, and within the
 * cell's quota of replicas of each model.
 */
import { inBackground } from '../background'
import type { ModelConfig } from '../config/fleet'
import type { ListedInstance } from '../store'
import type { EngineAccount, Replica } from './engineAccount'
import type { CellLeaderContext } from './context'
import { isUsable } from './engineReconciler'
import type { GapHistory } from './keepAlivePolicy'
import { decidePlacement } from './placement'
import type { Placement } from './placement'
import type { LoadResult, ReplicaOps } from './replicaOps'
import type { LoadLimiter } from './loadLimiter'
import type { ModelDemand, PendingDemand } from './pendingDemand'

export interface SchedulerOptions {
  ctx: CellLeaderContext
  ops: ReplicaOps
  pendingDemand: PendingDemand
  history: GapHistory
  /** Limits loads from the weight store. */
  storeLoadLimiter: LoadLimiter
  /** Called when a load from the weight store starts or has to wait. */
  recordStoreDemand: () => void
  /** Maximum number of replicas of the model in this cell. */
  quotaOf: (model: ModelConfig) => number
  /** Number of replicas that the current load of the model needs, at least one. */
  targetReplicas: (model: string) => number
  /** Number of replicas that may be on engines not taken over yet. */
  inheritedCount: (model: string) => number
  engineOf: (id: string) => ListedInstance | undefined
}

export interface Scheduler {
  /** Starts every load that is possible now. */
  run (): void
  /** Reason why the model could not be loaded in the last run. */
  blockedReason (model: string): string | undefined
}

const RETRY_DELAY_MS: Readonly<Record<Exclude<LoadResult, 'loaded' | 'stopped'>, number>> = { refused: 1000, 'not-recorded': 500 }
/** A model is not evicted sooner after its load, since the requests that waited for it may not have reached it yet. */
const MIN_LOADED_MS = 3000
/** A model counts as in use for this long after its last use. */
const IN_USE_WINDOW_MS = 1000

export function createScheduler (options: SchedulerOptions): Scheduler {
  const { ctx, ops, pendingDemand, history } = options
  const { clock, accounts } = ctx
  const blocked = new Map<string, string>()

  const replicasOf = (model: string): Replica[] => [...accounts.values()].flatMap(account => account.replicas.get(model) ?? [])
  const expectedMs = (demand: ModelDemand): number => {
    const memoryMiB = ctx.cfg.model(demand.model)?.memoryMiB ?? 0
    return ctx.loadTimes.expectedMs('remote', memoryMiB)
  }
  const isEvictable = (replica: Replica): boolean => {
    const nowMs = clock.monotonic()
    return nowMs - replica.loadedAtMs >= MIN_LOADED_MS && nowMs - replica.lastUsedMs >= IN_USE_WINDOW_MS &&
      !replica.hasOpenOrder && pendingDemand.get(replica.model) === undefined
  }
  /** Load time that the next request for an evicted model would wait, discounted by the expected time until then. */
  const evictionCostMs = (replica: Replica): number => {
    const idleMs = clock.monotonic() - replica.lastUsedMs
    const gaps = history.gaps(replica.model)
    const longerGaps = gaps.filter(gap => gap > idleMs)
    const untilNextUseMs = longerGaps.length === 0 ? idleMs * 2 : longerGaps.reduce((sum, gap) => sum + gap, 0) / longerGaps.length - idleMs
    return ctx.loadTimes.expectedMs('disk', replica.memoryMiB) * REUSE_HORIZON_MS / (REUSE_HORIZON_MS + Math.max(0, untilNextUseMs))
  }
  const place = (demand: ModelDemand, cfg: ModelConfig, isStoreAvailable: boolean): Placement => {
    const replicas = replicasOf(demand.model)
    const domainOf = (engine: string): string | undefined => options.engineOf(engine)?.failureDomain
    const candidates = [...accounts.values()].filter(account => isPlaceable(account) && (isStoreAvailable || account.tiers.has(demand.model)))
    return decidePlacement({
      model: demand.model,
      memoryMiB: cfg.memoryMiB,
      accounts: candidates,
      loadTimes: ctx.loadTimes,
      storeWaitMs: options.storeLoadLimiter.waitMs(),
      isEvictable,
      evictionCostMs,
      usedDomains: new Set(replicas.map(replica => domainOf(replica.engine) ?? '')),
      domainOf
    })
  }
  const isEngineUsable = (engine: string): boolean => {
    const account = accounts.get(engine)
    return account !== undefined && isUsable(account)
  }
  const isPlaceable = (account: EngineAccount): boolean =>
    isUsable(account) && account.role === 'serve' && options.engineOf(account.engine)?.status === 'live'
  const load = async (demand: ModelDemand, cfg: ModelConfig, placement: Extract<Placement, { kind: 'load' }>, holdsSlot: boolean): Promise<void> => {
    const result = await ops.load(accounts.get(placement.engine)!, {
      model: demand.model, version: cfg.version, memoryMiB: cfg.memoryMiB, tier: placement.tier, victims: placement.victims, reason: placement.reason
    })
    if (holdsSlot) options.storeLoadLimiter.release()
    if (result === 'refused' || result === 'not-recorded') {
      const current = pendingDemand.get(demand.model)
      if (current !== undefined) current.notBeforeMs = clock.monotonic() + RETRY_DELAY_MS[result]
      blocked.set(demand.model, result === 'refused' ? 'the engine refused the load' : 'the decision could not be recorded')
    }
    run()
  }
  const setBlockedReason = (model: string, reason: string): void => { blocked.set(model, reason) }
  const loadIfPossible = (demand: ModelDemand): void => {
    const cfg = ctx.cfg.model(demand.model)
    if (cfg === undefined) return pendingDemand.remove(demand.model)
    const replicas = replicasOf(demand.model)
    // A replica on an unreachable or leaving engine can't serve waiting requests, but counts against the quota below.
    const usable = replicas.filter(replica => replica.lifecycle.state() !== 'unloading' && isEngineUsable(replica.engine))
    const target = Math.min(options.quotaOf(cfg), options.targetReplicas(demand.model))
    if (usable.length >= target) return
    // A replica that is unloading, or that may still be loaded, counts until it is confirmed gone.
    if (replicas.length + options.inheritedCount(demand.model) >= options.quotaOf(cfg)) return setBlockedReason(demand.model, 'as many replicas as decided are still there')
    const isStoreAvailable = options.storeLoadLimiter.hasCapacity()
    const placement = place(demand, cfg, isStoreAvailable)
    if (!isStoreAvailable || (placement.kind === 'load' && placement.tier === 'remote')) options.recordStoreDemand()
    if (placement.kind === 'none') return setBlockedReason(demand.model, isStoreAvailable ? placement.reason : 'waits for its turn at the weight store')
    const needsSlot = placement.tier === 'remote'
    if (needsSlot) options.storeLoadLimiter.acquire()
    blocked.delete(demand.model)
    inBackground('load', load(demand, cfg, placement, needsSlot))
  }
  const run = (): void => {
    if (ctx.isStopped()) return
    const byUrgency = pendingDemand.byUrgency(clock.monotonic(), expectedMs)
    byUrgency.forEach(loadIfPossible)
  }
  return { run, blockedReason: model => blocked.get(model) }
}

/** Time until the next use at which the cost of an eviction counts half. */
const REUSE_HORIZON_MS = 300_000
