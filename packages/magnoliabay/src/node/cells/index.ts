/** Cells of engines and their stewards. */
export { createCells } from './cells'
export type { Cells, LocalDemand } from './cells'
export type { ReplicaRegistry } from './replicaRegistry'
export type { DemandReply, ReplicaEntry, ReplicaTable } from './records'
