/**
 * Turns wants into loads: most urgent first, within the cell's share of the weight store, each model at most
 * as often as decided.
 */
import type { ModelConfig } from '../config/fleet'
import type { ListedInstance } from '../store'
import type { EngineAccount, Replica } from './engineAccount'
import type { CellLeaderContext } from './context'
import { isUsable } from './engineReconciler'
import type { GapHistory } from './keepAlivePolicy'
import { decidePlacement } from './placement'
import type { Placement } from './placement'
import type { LoadEnd, ReplicaOps } from './replicaOps'
import type { Slots } from './loadLimiter'
import type { Want, Wants } from './pendingDemand'

export interface SchedulerOptions {
  ctx: CellLeaderContext
  ops: ReplicaOps
  wants: Wants
  history: GapHistory
  /** Loads from the weight store at once. */
  storeSlots: Slots
  /** Called whenever a load from the weight store is under way or waited for. */
  noteStoreWanted: () => void
  /** Most replicas of the model in this cell. */
  quotaOf: (model: ModelConfig) => number
  /** Replicas wanted now, at least one while anybody waits. */
  targetOf: (model: string) => number
  /** Replicas that may be on engines not taken up yet. */
  rememberedOf: (model: string) => number
  engineOf: (id: string) => ListedInstance | undefined
}

export interface Scheduler {
  /** Decides whatever can be decided now. */
  run (): void
  /** Why the model is not being loaded, as of the last run. */
  blockedReason (model: string): string | undefined
}

const RETRY_MS: Readonly<Record<Exclude<LoadEnd, 'loaded' | 'stopped'>, number>> = { refused: 1000, 'not-recorded': 500 }
/** A model is not evicted again so soon after its load: whoever waited for it has hardly come to use it. */
const LEAST_STAY_MS = 3000
/** Time after its last use in which a model counts as in use, milliseconds. */
const IN_USE_MS = 1000

export function createScheduler (options: SchedulerOptions): Scheduler {
  const { ctx, ops, wants, history } = options
  const { clock, accounts } = ctx
  const blocked = new Map<string, string>()

  const replicasOf = (model: string): Replica[] => [...accounts.values()].flatMap(account => account.replicas.get(model) ?? [])
  const expectedMs = (want: Want): number => {
    const memoryMiB = ctx.cfg.model(want.model)?.memoryMiB ?? 0
    return ctx.times.expectedMs('remote', memoryMiB)
  }
  const isEvictable = (replica: Replica): boolean => {
    const nowMs = clock.monotonic()
    return nowMs - replica.loadedAtMs >= LEAST_STAY_MS && nowMs - replica.lastUsedMs >= IN_USE_MS &&
      !replica.hasOpenOrder && wants.get(replica.model) === undefined
  }
  /** What the next caller of an evicted model would wait, discounted by how long it has not been called. */
  const evictionCostMs = (replica: Replica): number => {
    const idleMs = clock.monotonic() - replica.lastUsedMs
    const gaps = history.gaps(replica.model)
    const longer = gaps.filter(gap => gap > idleMs)
    const soon = longer.length === 0 ? idleMs * 2 : longer.reduce((sum, gap) => sum + gap, 0) / longer.length - idleMs
    return ctx.times.expectedMs('disk', replica.memoryMiB) * HORIZON_MS / (HORIZON_MS + Math.max(0, soon))
  }
  const place = (want: Want, cfg: ModelConfig, isStoreOpen: boolean): Placement => {
    const holders = replicasOf(want.model)
    const domainOf = (engine: string): string | undefined => options.engineOf(engine)?.failureDomain
    const open = [...accounts.values()].filter(account => isPlaceable(account) && (isStoreOpen || account.tiers.has(want.model)))
    return decidePlacement({
      model: want.model,
      memoryMiB: cfg.memoryMiB,
      accounts: open,
      times: ctx.times,
      storeWaitMs: options.storeSlots.waitMs(),
      isEvictable,
      evictionCostMs,
      usedDomains: new Set(holders.map(replica => domainOf(replica.engine) ?? '')),
      domainOf
    })
  }
  const isServing = (engine: string): boolean => {
    const account = accounts.get(engine)
    return account !== undefined && isUsable(account)
  }
  const isPlaceable = (account: EngineAccount): boolean =>
    isUsable(account) && account.role === 'serve' && options.engineOf(account.engine)?.status === 'live'
  const start = async (want: Want, cfg: ModelConfig, placement: Extract<Placement, { kind: 'load' }>, holdsSlot: boolean): Promise<void> => {
    const end = await ops.load(accounts.get(placement.engine)!, {
      model: want.model, version: cfg.version, memoryMiB: cfg.memoryMiB, tier: placement.tier, victims: placement.victims, reason: placement.reason
    })
    if (holdsSlot) options.storeSlots.release()
    if (end === 'refused' || end === 'not-recorded') {
      const again = wants.get(want.model)
      if (again !== undefined) again.notBeforeMs = clock.monotonic() + RETRY_MS[end]
      blocked.set(want.model, end === 'refused' ? 'the engine refused the load' : 'the decision could not be recorded')
    }
    run()
  }
  const block = (model: string, reason: string): void => { blocked.set(model, reason) }
  const decide = (want: Want): void => {
    const cfg = ctx.cfg.model(want.model)
    if (cfg === undefined) return wants.remove(want.model)
    const holders = replicasOf(want.model)
    // One on an engine that can't be reached, or leaves, helps nobody who waits; it still counts as decided below.
    const coming = holders.filter(replica => replica.life.state() !== 'unloading' && isServing(replica.engine))
    const target = Math.min(options.quotaOf(cfg), options.targetOf(want.model))
    if (coming.length >= target) return
    // A replica that is being unloaded, or may still be there, counts until it is confirmed gone.
    if (holders.length + options.rememberedOf(want.model) >= options.quotaOf(cfg)) return block(want.model, 'as many replicas as decided are still there')
    const isStoreOpen = options.storeSlots.isFree()
    const placement = place(want, cfg, isStoreOpen)
    if (!isStoreOpen || (placement.kind === 'load' && placement.tier === 'remote')) options.noteStoreWanted()
    if (placement.kind === 'none') return block(want.model, isStoreOpen ? placement.reason : 'waits for its turn at the weight store')
    const needsSlot = placement.tier === 'remote'
    if (needsSlot) options.storeSlots.take()
    blocked.delete(want.model)
    start(want, cfg, placement, needsSlot)
  }
  const run = (): void => {
    if (ctx.isStopped()) return
    const standing = wants.ordered(clock.monotonic(), expectedMs)
    standing.forEach(decide)
  }
  return { run, blockedReason: model => blocked.get(model) }
}

/** Time over which a further use counts, milliseconds. */
const HORIZON_MS = 300_000
