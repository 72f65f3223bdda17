/** Loads adapters that requests wait for on engines that have their model, within the cell's limit of loads in flight. */
import { inBackground } from '../background'
import type { AdapterConfig } from '../config/fleet'
import { freeMiB } from './engineAccount'
import type { AdapterCharge, EngineAccount } from './engineAccount'
import type { CellLeaderContext } from './context'
import type { ReplicaOps } from './replicaOps'
import type { LoadLimiter } from './loadLimiter'
import type { PendingDemand } from './pendingDemand'

export interface AdapterLoaderOptions {
  ctx: CellLeaderContext
  ops: ReplicaOps
  pendingDemand: PendingDemand
  loadLimiter: LoadLimiter
}

export interface AdapterLoader {
  reconcile (): void
}

export function createAdapterLoader (options: AdapterLoaderOptions): AdapterLoader {
  const { ctx, ops, pendingDemand, loadLimiter } = options
  const { clock, accounts } = ctx

  const pickEngine = (adapter: AdapterConfig): EngineAccount | undefined => [...accounts.values()]
    .filter(account => account.replicas.get(adapter.model)?.lifecycle.state() === 'loaded')
    .sort((left, right) => freeMiB(right) - freeMiB(left))[0]
  const isOnAnyEngine = (adapter: string): boolean => [...accounts.values()].some(account => account.adapters.has(adapter))
  const leastRecentlyUsed = (account: EngineAccount): AdapterCharge | undefined => [...account.adapters.values()]
    .filter(adapter => adapter.isLoaded)
    .sort((left, right) => left.lastUsedMs - right.lastUsedMs)[0]
  const load = async (account: EngineAccount, adapter: AdapterConfig): Promise<void> => {
    loadLimiter.acquire()
    await ops.loadAdapter(account, adapter.name, adapter.model, adapter.memoryMiB)
    loadLimiter.release()
    reconcile()
  }
  const loadOrEvict = (adapter: AdapterConfig): void => {
    const account = pickEngine(adapter)
    if (account === undefined || isOnAnyEngine(adapter.name) || !loadLimiter.hasCapacity()) return
    if (freeMiB(account) >= adapter.memoryMiB) {
      inBackground('load', load(account, adapter))
      return
    }
    // The unload frees memory once it is confirmed; the demand is still pending and is tried again then.
    const victim = leastRecentlyUsed(account)
    if (victim !== undefined) inBackground('unload-adapter', ops.unloadAdapter(account, victim.adapter).then(reconcile))
  }
  const reconcile = (): void => {
    if (ctx.isStopped()) return
    const awaited = pendingDemand.byUrgency(clock.monotonic(), () => 0).flatMap(demand => [...demand.adapters])
    awaited.map(ctx.cfg.adapter).filter(adapter => adapter !== undefined).forEach(loadOrEvict)
  }
  return { reconcile }
}
