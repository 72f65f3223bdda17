/**
 * What backend servers state about themselves in their answers: rate limits and brittleness, which hold for all instances
 * together, and backoff times, which hold for one. Servers are named by their process.
 */
export { createBrittleServers } from './brittleServers'
export type { BrittleServers } from './brittleServers'
export { createBrittleServices, statedBrittlenessSchema } from './brittleServices'
export type { BrittleServices, StatedBrittleness } from './brittleServices'
export { createLimitedServers } from './limitedServers'
export type { LimitedServers } from './limitedServers'
export { createServerLimits, statedLimitSchema } from './serverLimits'
export type { ServerLimits, StatedLimit } from './serverLimits'
export { createServerBackoffs } from './serverBackoffs'
export type { ServerBackoffs } from './serverBackoffs'
export type { ServerStatement } from './types'
