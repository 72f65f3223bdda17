/** Drops the health data, stated limits and idle connections of backend servers that have left the list. */
import type { ServerLimits } from '../statements'
import type { EngineCalls } from './engineCalls'
import type { Connections } from './exchange'
import type { ServerHealth } from './serverHealth'
import type { ServerList } from './serverList'
import { serverProcessId } from './types'

export interface DepartedServersOptions {
  servers: Pick<ServerList, 'all' | 'onChanged'>
  health: Pick<ServerHealth, 'inFlight' | 'forget'>
  serverLimits: Pick<ServerLimits, 'forget'>
  connections: Pick<Connections, 'forget'>
  engines: Pick<EngineCalls, 'closeConnections'>
}

export function cleanUpDepartedServers ({ servers, health, serverLimits, connections, engines }: DepartedServersOptions): void {
  /** Addresses by server process. */
  let addressByProcess = new Map<string, string>()
  servers.onChanged(() => {
    const current = new Map(servers.all().map(server => [serverProcessId(server), server.address]))
    const departed = [...addressByProcess].filter(([process]) => !current.has(process))
    departed.forEach(([process, address]) => {
      if (health.inFlight(process) === 0) health.forget(process)
      serverLimits.forget(process)
      connections.forget(address)
      engines.closeConnections(address)
    })
    addressByProcess = current
  })
}
