/** Clients for backend servers: engines and plain services. */
export { createBackendDirectory } from './directory'
export type { BackendDirectory } from './directory'
export { createEngineClient, createConnectionPools } from './engineClient'
export type { EngineClient, ConnectionPools } from './engineClient'
