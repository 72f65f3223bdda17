/** Queue in which requests wait for an engine, fair across teams. */
export { createEngineCapacity } from './capacity'
export type { CapacityOptions } from './capacity'
export { ENGINE_PRIORITY_BY_CLASS, WORK_CLASS_HEADER, parseWorkClass } from './workClass'
export type { WorkClass } from './workClass'
export { createRequestQueue } from './queue'
export type { EngineCapacity, RequestQueue, QueueOptions, TeamBacklog, QueuePermit, QueueRequest } from './queue'
