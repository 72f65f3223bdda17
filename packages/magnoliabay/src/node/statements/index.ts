/**
 * What backend servers state about themselves in their answers: rate limits, which hold for all instances together, and
 * backoff times, which hold for one. Servers are named by their process.
 */
export { createLimitedServers } from './limitedServers'
export type { LimitedServers } from './limitedServers'
export { createServerLimits } from './serverLimits'
export type { ServerLimits, StatedLimit } from './serverLimits'
export { createServerBackoffs } from './serverBackoffs'
export type { ServerBackoffs } from './serverBackoffs'
export type { ServerStatement } from './types'
