/** Tells whether this instance reaches the engines, so that its orders would arrive. */
import type { ServerPaths } from '../paths'
import type { EngineCalls } from './engineCalls'
import type { ServerList } from './serverList'
import type { ServingConfigProvider } from './servingConfigProvider'

/** Part of the engines that an instance which orders has to reach: another one is likely to reach more of them. */
const MIN_REACHED_RATIO = 0.5

export interface EngineReachOptions {
  servers: Pick<ServerList, 'all'>
  cfg: Pick<ServingConfigProvider, 'findService'>
  paths: Pick<ServerPaths, 'isBroken' | 'isPartitioned' | 'broken'>
}

/** Returns whether this instance reaches enough engines to order. */
export function createEngineReach ({ servers, cfg, paths }: EngineReachOptions): () => boolean {
  return () => {
    if (paths.isPartitioned()) return false
    if (paths.broken().length === 0) return true
    const engines = servers.all().filter(({ service }) => cfg.findService(service)?.engine !== undefined)
    const reached = engines.filter(({ address }) => !paths.isBroken(address))
    return reached.length >= engines.length * MIN_REACHED_RATIO
  }
}

/** Has the path to an engine checked that does not answer an order or a request for a report. */
export function withPathChecks (engines: EngineCalls, check: (address: string) => void): EngineCalls {
  return {
    ...engines,
    fetchReport: async server => {
      const report = await engines.fetchReport(server)
      if (report.err) check(server.address)
      return report
    },
    sendOrder: async (server, order) => {
      const outcome = await engines.sendOrder(server, order)
      if (outcome === 'unanswered') check(server.address)
      return outcome
    }
  }
}
