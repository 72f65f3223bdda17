/** Settings of an instance, and the configuration that holds for the fleet. */
export { parseSettings, resolveSettings } from './settings'
export type { ResolvedSettings, Settings } from './settings'
export { createConfigHolder, FLEET_KEY } from './holder'
export type { ConfigHolder, ConfigInForce } from './holder'
export { fleetSchema } from './fleet'
export type { FleetConfig, TeamConfig, ModelConfig, AdapterConfig, ServiceConfig } from './fleet'
export { formatProblem, parseConfig } from './schema'
export type { ConfigError, ConfigProblem } from './schema'
