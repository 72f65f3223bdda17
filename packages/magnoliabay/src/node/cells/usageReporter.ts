/** Gathers what this instance uses, and reports it to the stewards that decide about it. */
import type { Peers } from '../members'
import { usageNotice } from './records'
import type { ReplicaTable, UsageReport } from './records'
import type { ReplicaRegistry } from './replicaRegistry'
import type { CellLeader } from './cellLeader'

export interface UsageOptions {
  peers: Peers
  replicas: ReplicaRegistry
  stewardOf: (cell: string) => string | undefined
}

export interface Usage {
  note (model: string, adapter?: string): void
  /** Reports to the given stewards here, and to those elsewhere. */
  report (here: readonly CellLeader[]): void
}

export function createUsage (options: UsageOptions): Usage {
  const { peers, replicas } = options
  let models: Record<string, number> = {}
  let adapters: Record<string, number> = {}
  const pick = (used: Readonly<Record<string, number>>, names: readonly string[]): Record<string, number> =>
    Object.fromEntries(names.filter(name => used[name] !== undefined).map(name => [name, used[name]!]))
  const reportOf = ({ cell, replicas: held }: ReplicaTable): UsageReport => ({
    cell,
    models: pick(models, held.map(replica => replica.model)),
    adapters: pick(adapters, held.flatMap(replica => replica.adapters))
  })
  const send = (report: UsageReport, here: readonly CellLeader[]): void => {
    const holder = options.stewardOf(report.cell)
    const local = here.find(steward => steward.cell === report.cell)
    if (local !== undefined) local.noteUsed(report)
    else if (holder !== undefined) peers.notify(holder, usageNotice, report)
  }
  return {
    note: (model, adapter) => {
      models[model] = (models[model] ?? 0) + 1
      if (adapter !== undefined) adapters[adapter] = (adapters[adapter] ?? 0) + 1
    },
    report: here => {
      const reports = replicas.tables().map(reportOf).filter(report => Object.keys(report.models).length > 0)
      reports.forEach(report => send(report, here))
      models = {}
      adapters = {}
    }
  }
}
