/**
 * The newest replica table of each cell that this instance has received.
 */
import { createListeners } from '../members/dispatch'
import type { Disposer } from '../members/peers'
import type { ReplicaEntry, ReplicaTable } from './records'

export interface ReplicaRegistry {
  replicasOf (model: string): readonly ReplicaEntry[]
  all (): readonly ReplicaEntry[]
  tables (): readonly ReplicaTable[]
  /** Stores a table, unless one as new or newer of the cell is known. */
  applyTable (table: ReplicaTable): void
  onChanged (listener: () => void): Disposer
}

export function createReplicaRegistry (): ReplicaRegistry {
  const tables = new Map<string, ReplicaTable>()
  const changed = createListeners<[]>()
  const all = (): ReplicaEntry[] => [...tables.values()].flatMap(table => table.replicas)
  return {
    all,
    replicasOf: model => all().filter(replica => replica.model === model),
    tables: () => [...tables.values()],
    applyTable: table => {
      const known = tables.get(table.cell)
      if (known !== undefined && !isNewer(table, known)) return
      tables.set(table.cell, table)
      changed.emit()
    },
    onChanged: changed.add
  }
}

function isNewer (table: ReplicaTable, known: ReplicaTable): boolean {
  if (table.fence !== known.fence) return table.fence > known.fence
  return table.version > known.version
}
