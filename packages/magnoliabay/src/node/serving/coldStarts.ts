/**
 * Limits the rate of requests to cold backend servers. A server that has just started has the least load, so every
 * instance would send to it at once, and it crashes above a few requests a second. The limit applies to all instances
 * together, so one of them, the server's home instance, counts for all, and each request to a cold server asks it first.
 * While members change, two home instances may count at once, and a new one does not know what the previous one
 * granted, so each grants half of the limit. An instance that cannot ask sends nothing to a cold server.
 */
import * as v from 'valibot'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerCall, homeInstanceOf } from '../members'
import type { Peers } from '../members'
import { serverProcessId } from './types'
import type { BackendServer, ColdStart } from './types'

const admitCall = definePeerCall<{ process: string, most: number }, { isAdmitted: boolean }>('serving.admit-cold', { req: v.object({ process: v.string(), most: v.number() }), res: v.object({ isAdmitted: v.boolean() }) })

const WINDOW_MS = 1000
/** Part of the limit that one home instance grants: two may count for one server at once. */
const HOME_RATIO = 1 / 2
/** The home instance replies within a round trip. Waiting longer would cost more than sending the request elsewhere. */
const ADMIT_TIMEOUT_MS = 200
/** Above this number of server processes their records are dropped: those that are no longer cold would accumulate. */
const MAX_TRACKED_PROCESSES = 1000

/** Requests a second that are allowed at a cold server, over all instances: `ratio` of its rate plus `slack`. */
export interface ColdRateTolerance {
  ratio: number
  slack: number
}

export interface ColdStarts {
  isCold (server: BackendServer): boolean
  /** Returns whether a request may go to a cold server now. */
  admit (server: BackendServer): Promise<boolean>
}

export interface ColdStartsOptions {
  peers: Peers
  /** How servers of the service start, by its configuration. */
  coldStartOf: (service: string) => ColdStart | undefined
  /** Time for which the server process remains cold by its own report, milliseconds. */
  coldMs: (process: string) => number
  /** Time since the evacuation of the failure domain ended, after which its servers are cold again, milliseconds. */
  evacuationEndedAgoMs: (failureDomain: string) => number
  tolerance: ColdRateTolerance
  clock: Clock
  logger: Logger
}

export function createColdStarts (options: ColdStartsOptions): ColdStarts {
  const { peers, clock, logger } = options
  /** Times of the requests that this instance granted as home instance, by server process. */
  const grantTimesByProcess = new Map<string, number[]>()

  const tryGrant = (process: string, limit: number): boolean => {
    if (grantTimesByProcess.size > MAX_TRACKED_PROCESSES) grantTimesByProcess.clear()
    const recent = (grantTimesByProcess.get(process) ?? []).filter(atMs => clock.monotonic() - atMs < WINDOW_MS)
    const isAdmitted = recent.length < limit
    grantTimesByProcess.set(process, isAdmitted ? [...recent, clock.monotonic()] : recent)
    return isAdmitted
  }
  peers.serve(admitCall, ({ process, most }) => ({ isAdmitted: tryGrant(process, most) }))

  return {
    isCold: server => {
      const coldStart = options.coldStartOf(server.service)
      if (coldStart === undefined) return false
      return options.coldMs(serverProcessId(server)) > 0 || options.evacuationEndedAgoMs(server.failureDomain) < coldStart.durationMs
    },
    admit: async server => {
      const process = serverProcessId(server)
      const perSecond = options.coldStartOf(server.service)?.requestsPerSecond ?? 0
      const maxGranted = Math.floor((perSecond * options.tolerance.ratio + options.tolerance.slack) * HOME_RATIO)
      const home = homeInstanceOf(peers, process)
      if (home === peers.self.id) return tryGrant(process, maxGranted)
      const reply = await peers.call(home, admitCall, { process, most: maxGranted }, { timeoutMs: ADMIT_TIMEOUT_MS })
      if (reply.err) logger.info('cold-server-not-asked', { server: server.id, home, reason: reply.val.kind })
      return reply.ok && reply.val.isAdmitted
    }
  }
}
