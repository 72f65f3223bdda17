/**
 * Paths from this instance to backend servers. An instance may lose its path to some or all servers while other instances
 * still reach them; its connections to these servers then go through one of the others.
 */
export { connectDirectly } from './connectDirectly'
export { createForwardingServer } from './forwardingServer'
export type { ForwardingServer } from './forwardingServer'
export type { PathMonitor } from './pathMonitor'
export { createPathMetrics } from './pathMetrics'
export type { PathMetrics } from './pathMetrics'
export type { DialPrimitives, ServerDialer } from './serverDialer'
export type { PathChange, ServerPaths } from './serverPaths'
export { createDirectRoutes, createServerRoutes, createSocketPrimitives } from './serverRoutes'
export type { ServerRoutes } from './serverRoutes'
export { DialError } from './types'
export type { DialFailure, DialledConnection } from './types'
