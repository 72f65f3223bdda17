/** The adapter to the users' platform. It contains only names, formats and calls, and makes no decisions. */
import { CONFIG_KEY, EVACUATIONS_PREFIX, OPERATOR_PREFIX, decodeConfig } from './configDocument'
import { decodeResponseHead, decodeCallerRequest, toBackendHeaders, toCallerHeaders } from './requestHeaders'
import { SERVERS_PREFIX, decodeServer } from './serverEntry'
import type { ServingProtocol } from '../serving/servingProtocol'

export { createDiscovery } from './discovery'
export { createEngineCalls } from './engineCalls'
export { decodeServerStatement } from './serverStatement'
export { createMetadataStore } from './metadataStore'
export { SETTINGS_PATH_VARIABLE, readPlatformSettings } from './settings'

export const platformProtocol: ServingProtocol = {
  decodeCallerRequest,
  toBackendHeaders,
  decodeResponseHead,
  toCallerHeaders,
  decodeConfig,
  decodeServer,
  serverIdOf: key => key.slice(SERVERS_PREFIX.length),
  keys: { operator: OPERATOR_PREFIX, config: CONFIG_KEY, evacuations: EVACUATIONS_PREFIX, servers: SERVERS_PREFIX }
}
