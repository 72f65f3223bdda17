/** Where requests wait for their turn, fair across teams. */
export { createCapacity } from './capacity'
export type { CapacityOptions } from './capacity'
export { ENGINE_PRIORITIES, CLASS_HEADER, workClassOf } from './classes'
export type { WorkClass } from './classes'
export { createQueue } from './queue'
export type { Capacity, Queue, QueueOptions, TeamWaiting, Turn, TurnRequest } from './queue'
