/**
 * Requests to backend servers that are cold. Failure: a server that has just started is the emptiest of all, every
 * instance sends to it at once, and it crashes above a few requests a second. The bound is on all instances together,
 * so one of them, the server's home, counts for all: each request that is to go to a cold server asks there first. Two
 * homes may count at once as members change, and one that has just begun does not know what the one before it granted:
 * each grants half of the bound. Whoever cannot ask sends nothing to a cold server.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerCall } from '../members'
import type { Peers } from '../members'
import { homeInstanceOf } from './homeInstance'
import { serverProcessId } from './types'
import type { BackendServer, ColdStart } from './types'

const admitCall = definePeerCall<{ process: string, most: number }, { isAdmitted: boolean }>('serving.admit-cold')

const WINDOW_MS = 1000
/** Two homes may count for one server. */
const HOME_RATIO = 1 / 2
/** The home answers within a round trip; a request waits for a cold server no longer than it would take elsewhere. */
const ADMIT_TIMEOUT_MS = 200
/** What is known of servers that are cold no more is dropped when there are so many. */
const MAX_TRACKED_PROCESSES = 1000

/** What the users allow at a cold server in a second, over all instances: part of its rate, and requests beside that. */
export interface ColdRateTolerance {
  ratio: number
  slack: number
}

export interface ColdStarts {
  isCold (server: BackendServer): boolean
  /** Whether a request may go to a cold server now. */
  admit (server: BackendServer): Promise<boolean>
}

export interface ColdStartsOptions {
  peers: Peers
  /** What the service says of its servers' start. */
  coldStartOf: (service: string) => ColdStart | undefined
  /** How much longer the server says that it is cold, milliseconds. */
  coldMs: (process: string) => number
  /** Since the evacuation of its failure domain ended, after which servers come back cold, milliseconds. */
  evacuationEndedAgoMs: (failureDomain: string) => number
  tolerance: ColdRateTolerance
  clock: Clock
  logger: Logger
}

export function createColdStarts (options: ColdStartsOptions): ColdStarts {
  const { peers, clock, logger } = options
  /** Moments of what this instance granted as home, by server process. */
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
      const most = Math.floor((perSecond * options.tolerance.ratio + options.tolerance.slack) * HOME_RATIO)
      const home = homeInstanceOf(peers, process)
      if (home === peers.self.id) return tryGrant(process, most)
      const reply = await peers.call(home, admitCall, { process, most }, { timeoutMs: ADMIT_TIMEOUT_MS })
      if (reply.err) logger.info('cold-server-not-asked', { server: server.id, home, reason: reply.val.kind })
      return reply.ok && reply.val.isAdmitted
    }
  }
}
