/** The backend servers: engines and plain services. */
export { createDirectory } from './directory'
export type { Directory } from './directory'
export { createEngineClient, createPools } from './engineClient'
export type { EngineClient, Pools } from './engineClient'
