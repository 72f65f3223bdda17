/** Drops what an instance keeps for backend servers that are gone: what it saw of them, and idle connections. */
import type { EngineCalls } from './engineCalls'
import type { Connections } from './exchange'
import type { ServerHealth } from './serverHealth'
import type { Servers } from './servers'
import { processOf } from './types'

export interface GoneServersOptions {
  servers: Pick<Servers, 'all' | 'onChanged'>
  health: Pick<ServerHealth, 'inFlight' | 'forget'>
  connections: Pick<Connections, 'forget'>
  engines: Pick<EngineCalls, 'forget'>
}

export function forgetGoneServers ({ servers, health, connections, engines }: GoneServersOptions): void {
  /** Addresses by process. */
  let known = new Map<string, string>()
  servers.onChanged(() => {
    const now = new Map(servers.all().map(server => [processOf(server), server.address]))
    const gone = [...known].filter(([process]) => !now.has(process))
    gone.forEach(([process, address]) => {
      if (health.inFlight(process) === 0) health.forget(process)
      connections.forget(address)
      engines.forget(address)
    })
    known = now
  })
}
