/** Gathers what this instance uses, and reports it to the stewards that decide about it. */
import type { Peers } from '../members'
import { usageNotice } from './records'
import type { UsageReport } from './records'
import type { Replicas } from './replicas'
import type { Steward } from './steward'

export interface UsageOptions {
  peers: Peers
  replicas: Replicas
  stewardOf: (cell: string) => string | undefined
}

export interface Usage {
  note (model: string, adapter?: string): void
  /** Reports to the given stewards here, and to those elsewhere. */
  report (here: Iterable<Steward>): void
}

export function createUsage (options: UsageOptions): Usage {
  const { peers, replicas } = options
  let models: Record<string, number> = {}
  let adapters: Record<string, number> = {}
  const holdersOf = (report: UsageReport): Set<string> => {
    const tables = replicas.tables().filter(table => table.replicas.some(replica => report.models[replica.model] !== undefined))
    return new Set(tables.map(table => options.stewardOf(table.cell)).filter(holder => holder !== undefined))
  }
  return {
    note: (model, adapter) => {
      models[model] = (models[model] ?? 0) + 1
      if (adapter !== undefined) adapters[adapter] = (adapters[adapter] ?? 0) + 1
    },
    report: here => {
      const report: UsageReport = { models, adapters }
      if (Object.keys(models).length === 0) return
      models = {}
      adapters = {}
      for (const steward of here) steward.noteUsed(report)
      const holders = [...holdersOf(report)].filter(holder => holder !== peers.self.id)
      holders.forEach(holder => peers.notify(holder, usageNotice, report))
    }
  }
}
