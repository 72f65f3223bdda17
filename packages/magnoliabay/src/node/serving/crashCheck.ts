/** Finds out, after the connection of an attempt broke, whether its server has crashed, and records what the crash may be due to. */
import type { CutRequest } from '../crashes'
import type { RequestRun } from './requestRun'
import type { ServingContext } from './servingContext'
import { serverProcessId } from './types'
import type { BackendServer } from './types'
import { versionOf } from './versions/softwareVersions'

/** A server that was back before it was asked is listed as another process within this time, milliseconds. */
const REPLACED_CHECK_MS = 5000

export type CutTimes = Pick<CutRequest, 'sentMs' | 'brokeMs' | 'trial'>

/** Returns a function that resolves once the check is done, as far as it can be at once. */
export function createCrashCheck (ctx: Pick<ServingContext, 'clock' | 'connections' | 'crashes' | 'servers' | 'streamVersions'>): (run: RequestRun, server: BackendServer, times: CutTimes) => Promise<void> {
  const { clock, connections, crashes, servers, streamVersions } = ctx
  const isListed = (server: BackendServer): boolean => servers.get(server.id)?.bornMs === server.bornMs
  const isLeaving = (server: BackendServer): boolean => server.state === 'draining' || servers.leaving().includes(serverProcessId(server))

  return async (run, server, times) => {
    const { hasBegun } = run
    const wasListed = isListed(server)
    const recordCrash = (): void => run.guard.recordCrash({ process: serverProcessId(server), softwareVersion: versionOf(server), ...times })
    const isAccepting = await connections.isAccepting(server.address)
    if (isAccepting) streamVersions.recordAccepting(server)
    // A request whose answer had begun is not the cause of a crash, and neither is what it holds.
    if (hasBegun) return
    if (!isAccepting && await crashes.hasCrashed(server.address)) return recordCrash()
    // The server may have been back by then, or nobody could tell; a server that leaves as announced has not crashed.
    if (!wasListed) return
    clock.schedule(REPLACED_CHECK_MS, () => { if (!isListed(server) && !isLeaving(server)) recordCrash() })
  }
}
