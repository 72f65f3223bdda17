/** Loads the adapters that are waited for, wherever their model is loaded, within the cell's share of loads in flight. */
import type { AdapterConfig } from '../config/fleet'
import { freeMiB } from './engineAccount'
import type { AdapterCharge, EngineAccount } from './engineAccount'
import type { CellLeaderContext } from './context'
import type { ReplicaOps } from './replicaOps'
import type { Slots } from './loadLimiter'
import type { Wants } from './pendingDemand'

export interface AdapterCareOptions {
  ctx: CellLeaderContext
  ops: ReplicaOps
  wants: Wants
  slots: Slots
}

export interface AdapterCare {
  run (): void
}

export function createAdapterCare (options: AdapterCareOptions): AdapterCare {
  const { ctx, ops, wants, slots } = options
  const { clock, accounts } = ctx

  const hostOf = (adapter: AdapterConfig): EngineAccount | undefined => [...accounts.values()]
    .filter(account => account.replicas.get(adapter.model)?.life.state() === 'loaded')
    .sort((left, right) => freeMiB(right) - freeMiB(left))[0]
  const isThere = (adapter: string): boolean => [...accounts.values()].some(account => account.adapters.has(adapter))
  const leastUsed = (account: EngineAccount): AdapterCharge | undefined => [...account.adapters.values()]
    .filter(adapter => adapter.isLoaded)
    .sort((left, right) => left.lastUsedMs - right.lastUsedMs)[0]
  const start = async (account: EngineAccount, adapter: AdapterConfig): Promise<void> => {
    slots.take()
    await ops.loadAdapter(account, adapter.name, adapter.model, adapter.memoryMiB)
    slots.release()
    run()
  }
  const decide = (adapter: AdapterConfig): void => {
    const account = hostOf(adapter)
    if (account === undefined || isThere(adapter.name) || !slots.isFree()) return
    if (freeMiB(account) >= adapter.memoryMiB) {
      start(account, adapter)
      return
    }
    // Room comes with the confirmed unload; the want stands and is looked at again then.
    const victim = leastUsed(account)
    if (victim !== undefined) ops.unloadAdapter(account, victim.adapter).then(run)
  }
  const run = (): void => {
    if (ctx.isStopped()) return
    const wanted = wants.ordered(clock.monotonic(), () => 0).flatMap(want => [...want.adapters])
    wanted.map(ctx.cfg.adapter).filter(adapter => adapter !== undefined).forEach(decide)
  }
  return { run }
}
