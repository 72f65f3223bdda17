/** Tells, without reserving anything, whether servers other than that of its attempt are left to a request. */
import type { RequestRun } from './requestRun'
import type { ServingContext } from './servingContext'
import { serverProcessId } from './types'
import type { BackendServer } from './types'

export type OtherServersContext = Pick<ServingContext, 'brittleServers' | 'brittleServices' | 'coldStarts' | 'health' | 'placement' | 'serverBackoffs' | 'serverLimits' | 'servers' | 'streamVersions'>

export interface OtherServers {
  /** Whether an attempt that is ended now would be followed by another, as far as this instance knows. */
  canTake (run: RequestRun): boolean
  /** Whether there is a server which the request has not tried, also one that is not known to respond or to have its model. */
  hasUntried (run: RequestRun): boolean
}

export function createOtherServers (ctx: OtherServersContext): OtherServers {
  const { brittleServers, brittleServices, health, placement, servers } = ctx

  const candidatesOf = ({ admitted: { service }, caller: { model, adapter } }: RequestRun): readonly BackendServer[] =>
    service.engine === undefined || model === undefined ? servers.usable(service.name) : placement.serversWithModel(service.name, model, adapter)
  const isTried = (run: RequestRun, process: string): boolean => {
    if (run.server !== undefined && process === serverProcessId(run.server)) return true
    // A stream goes on at servers of its version that it has tried, once all have been.
    return run.origin === undefined && run.tried.has(process)
  }
  const hasBrittlePlace = ({ service }: BackendServer, process: string): boolean =>
    brittleServices.maxRejectionsOf(service) === undefined || !brittleServers.isRefused(process)
  /** Whether the server takes requests, as far as it has stated and its answers show. */
  const isOpen = (server: BackendServer): boolean => {
    const process = serverProcessId(server)
    return health.isResponding(process) &&
      !health.rejections.isRejecting(process) &&
      !ctx.coldStarts.isCold(server) &&
      ctx.serverBackoffs.remainingMs(process) === 0 &&
      // Whether one that states a limit has a place is known only once another instance has granted it.
      ctx.serverLimits.limitOf(process) === undefined &&
      hasBrittlePlace(server, process)
  }
  return {
    canTake: run => candidatesOf(run)
      .filter(server => !isTried(run, serverProcessId(server)) && ctx.streamVersions.mayServe(run, server))
      .some(isOpen),
    hasUntried: run => servers.usable(run.admitted.service.name)
      .some(server => !run.tried.has(serverProcessId(server)) && ctx.streamVersions.mayServe(run, server))
  }
}
