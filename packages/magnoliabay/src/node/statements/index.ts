/**
 * What backend servers state about themselves in their answers: rate limits, which hold for all instances together, and
 * times of rest, which hold for one. Servers are named by their process.
 */
export { createLimitedServers } from './limitedServers'
export type { LimitedServers } from './limitedServers'
export { createServerLimits } from './serverLimits'
export type { ServerLimits, StatedLimit } from './serverLimits'
export { createServerRests } from './serverRests'
export type { ServerRests } from './serverRests'
export type { ServerStatement } from './types'
