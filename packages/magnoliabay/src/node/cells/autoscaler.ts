/** Reads the engines' lagging load reports, tells them to everybody, and says how many replicas the load needs. */
import { loadedReplicas } from './engineAccount'
import type { EngineAccount } from './engineAccount'
import type { CellLeaderContext } from './context'

export interface LoadCareOptions {
  ctx: CellLeaderContext
  onLoads: (loads: Readonly<Record<string, number>>) => void
}

export interface LoadCare {
  tend (): void
  /** Replicas that the present load of the model asks for, at least one. */
  targetOf (model: string): number
}

const READ_PERIOD_MS = 2000
/** Requests for each replica above which another one is wanted. */
const SCALE_UP_LOAD = 16
/** Reports in a row that must ask for more: one alone may be a burst that is over. */
const SCALE_UP_REPORTS = 2

export function createLoadCare (options: LoadCareOptions): LoadCare {
  const { ctx } = options
  const { clock, accounts } = ctx
  const overloaded = new Map<string, number>()
  const targets = new Map<string, number>()
  let nextReadMs = 0
  let told = ''

  const readOne = async (account: EngineAccount): Promise<void> => {
    const address = ctx.directory.engine(account.engine)?.address
    if (address === undefined) return
    const report = await ctx.engines.loadReport(address)
    if (report.err) return
    account.load = report.val.running + report.val.waiting
    if (report.val.leaving === account.isLeaving) return
    account.isLeaving = report.val.leaving
    ctx.publish()
  }
  const replicasOf = (model: string): EngineAccount[] =>
    [...accounts.values()].filter(account => account.replicas.get(model)?.life.state() === 'loaded')
  /** Load of an engine is shared by its models in equal parts, for want of anything better. */
  const loadOf = (model: string): number => replicasOf(model).reduce((sum, account) =>
    sum + account.load / Math.max(1, loadedReplicas(account).length), 0)
  const retarget = (model: string): void => {
    const count = replicasOf(model).length
    const wanted = Math.ceil(loadOf(model) / SCALE_UP_LOAD)
    const reports = wanted > count ? (overloaded.get(model) ?? 0) + 1 : 0
    overloaded.set(model, reports)
    if (reports >= SCALE_UP_REPORTS || wanted < count) targets.set(model, Math.max(1, wanted))
  }
  const read = async (): Promise<void> => {
    const kept = [...accounts.values()].filter(account => account.isReachable)
    await Promise.all(kept.map(readOne))
    if (ctx.isStopped()) return
    const models = new Set(kept.flatMap(loadedReplicas).map(replica => replica.model))
    models.forEach(retarget)
    const loads = Object.fromEntries(kept.filter(account => account.load > 0).map(account => [account.engine, account.load]))
    const next = JSON.stringify(loads)
    if (next === told) return
    told = next
    options.onLoads(loads)
  }
  return {
    targetOf: model => targets.get(model) ?? 1,
    tend: () => {
      if (clock.monotonic() < nextReadMs) return
      nextReadMs = clock.monotonic() + READ_PERIOD_MS
      read()
    }
  }
}
