/** Cells: groups of engines, each with one leader that decides its replicas. */
export { createCells } from './cells'
export type { Cells, LocalDemand } from './cells'
export type { ReplicaRegistry } from './replicaRegistry'
export type { DemandReply, ReplicaEntry, ReplicaTable } from './records'
