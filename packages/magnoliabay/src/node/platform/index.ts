/** The adapter to the users' platform: names, formats and calls, and nothing that decides. */
import { CONFIG_KEY, EVACUATIONS_PREFIX, OPERATOR_PREFIX, decodeConfig } from './configDocument'
import { decodeAnswer, decodeCaller, forwardedHeaders, returnedHeaders } from './requestHeaders'
import { SERVERS_PREFIX, decodeServer } from './serverEntry'
import type { ServingWire } from '../serving/wire'

export { createDiscovery } from './discovery'
export { createEngineCalls } from './engineCalls'
export { createKvStore } from './kvStore'
export { SETTINGS_VARIABLE, readPlatformSettings } from './settings'

export const platformWire: ServingWire = {
  decodeCaller,
  forwardedHeaders,
  decodeAnswer,
  returnedHeaders,
  decodeConfig,
  decodeServer,
  serverIdOf: key => key.slice(SERVERS_PREFIX.length),
  keys: { operator: OPERATOR_PREFIX, config: CONFIG_KEY, evacuations: EVACUATIONS_PREFIX, servers: SERVERS_PREFIX }
}
