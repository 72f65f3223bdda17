/** Cells of engines and their stewards. */
export { createCells } from './cells'
export type { Cells } from './cells'
export type { Replicas } from './replicas'
export type { ReplicaEntry, ReplicaTable } from './records'
