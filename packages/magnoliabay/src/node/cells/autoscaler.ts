/**
 * Reads the load reports of the engines periodically, publishes the loads, and computes how many replicas each model
 * needs. The reports lag behind the current load.
 */
import { inBackground } from '../background'
import { loadedReplicas } from './engineAccount'
import type { EngineAccount } from './engineAccount'
import type { CellLeaderContext } from './context'

export interface AutoscalerOptions {
  ctx: CellLeaderContext
  onLoadsChanged: (loads: Readonly<Record<string, number>>) => void
}

export interface Autoscaler {
  maintain (): void
  /** Number of replicas that the current load of the model needs, at least one. */
  targetReplicas (model: string): number
}

const LOAD_READ_INTERVAL_MS = 2000
/** Requests per replica above which a further replica is needed. */
const SCALE_UP_REQUESTS_PER_REPLICA = 16
/** Consecutive readings that must exceed the bound before a replica is added: a single one may be a burst that has ended. */
const SCALE_UP_READINGS = 2

export function createAutoscaler (options: AutoscalerOptions): Autoscaler {
  const { ctx } = options
  const { clock, accounts } = ctx
  const overloadedReadings = new Map<string, number>()
  const targets = new Map<string, number>()
  let nextReadAtMs = 0
  let lastPublished = ''

  const readLoad = async (account: EngineAccount): Promise<void> => {
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
    [...accounts.values()].filter(account => account.replicas.get(model)?.lifecycle.state() === 'loaded')
  /** Divides the load of an engine equally among its models: engines report no load by model. */
  const loadOf = (model: string): number => replicasOf(model).reduce((sum, account) =>
    sum + account.load / Math.max(1, loadedReplicas(account).length), 0)
  const updateTarget = (model: string): void => {
    const count = replicasOf(model).length
    const needed = Math.ceil(loadOf(model) / SCALE_UP_REQUESTS_PER_REPLICA)
    const readings = needed > count ? (overloadedReadings.get(model) ?? 0) + 1 : 0
    overloadedReadings.set(model, readings)
    if (readings >= SCALE_UP_READINGS || needed < count) targets.set(model, Math.max(1, needed))
  }
  const readLoads = async (): Promise<void> => {
    const reachable = [...accounts.values()].filter(account => account.isReachable)
    await Promise.all(reachable.map(readLoad))
    if (ctx.isStopped()) return
    const models = new Set(reachable.flatMap(loadedReplicas).map(replica => replica.model))
    models.forEach(updateTarget)
    const loads = Object.fromEntries(reachable.filter(account => account.load > 0).map(account => [account.engine, account.load]))
    const next = JSON.stringify(loads)
    if (next === lastPublished) return
    lastPublished = next
    options.onLoadsChanged(loads)
  }
  return {
    targetReplicas: model => targets.get(model) ?? 1,
    maintain: () => {
      if (clock.monotonic() < nextReadAtMs) return
      nextReadAtMs = clock.monotonic() + LOAD_READ_INTERVAL_MS
      inBackground('read-loads', readLoads())
    }
  }
}
