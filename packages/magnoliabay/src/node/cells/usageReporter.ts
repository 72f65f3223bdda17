/** Counts the requests of this instance by model and adapter, and reports them to the cell leaders. */
import type { Peers } from '../members'
import { usageNotice } from './records'
import type { ReplicaTable, UsageReport } from './records'
import type { ReplicaRegistry } from './replicaRegistry'
import type { CellLeader } from './cellLeader'

export interface UsageReporterOptions {
  peers: Peers
  replicas: ReplicaRegistry
  leaderOf: (cell: string) => string | undefined
}

export interface UsageReporter {
  recordUse (model: string, adapter?: string): void
  /** Reports to the given leaders on this instance, and to the leaders on other members. */
  report (localLeaders: readonly CellLeader[]): void
}

export function createUsageReporter (options: UsageReporterOptions): UsageReporter {
  const { peers, replicas } = options
  let models: Record<string, number> = {}
  let adapters: Record<string, number> = {}
  const countsOf = (used: Readonly<Record<string, number>>, names: readonly string[]): Record<string, number> =>
    Object.fromEntries(names.filter(name => used[name] !== undefined).map(name => [name, used[name]!]))
  const reportOf = ({ cell, replicas: entries }: ReplicaTable): UsageReport => ({
    cell,
    models: countsOf(models, entries.map(replica => replica.model)),
    adapters: countsOf(adapters, entries.flatMap(replica => replica.adapters))
  })
  const send = (report: UsageReport, localLeaders: readonly CellLeader[]): void => {
    const leaderId = options.leaderOf(report.cell)
    const local = localLeaders.find(leader => leader.cell === report.cell)
    if (local !== undefined) local.recordUsage(report)
    else if (leaderId !== undefined) peers.notify(leaderId, usageNotice, report)
  }
  return {
    recordUse: (model, adapter) => {
      models[model] = (models[model] ?? 0) + 1
      if (adapter !== undefined) adapters[adapter] = (adapters[adapter] ?? 0) + 1
    },
    report: localLeaders => {
      const reports = replicas.tables().map(reportOf).filter(report => Object.keys(report.models).length > 0)
      reports.forEach(report => send(report, localLeaders))
      models = {}
      adapters = {}
    }
  }
}
