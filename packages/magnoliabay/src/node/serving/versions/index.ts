/**
 * Keeps each stream at the software version of the server that sent its first event: over the attempts within a response, the
 * tries of its caller at any instance, moves of its run, and waits for its model.
 */
import type { Clock } from '../../clock'
import { sleep } from '../../clock'
import type { Logger } from '../../logger'
import type { Peers } from '../../members'
import type { EngineCalls } from '../engineCalls'
import type { ServerList } from '../serverList'
import type { ServingConfigProvider } from '../servingConfigProvider'
import { createProcessIdentity } from './processIdentity'
import { createSoftwareVersions } from './softwareVersions'
import { createStreamOrigins } from './streamOrigins'
import { createStreamVersions } from './streamVersions'
import type { StreamVersions } from './streamVersions'
import type { StoredOrigins } from './storedOrigins'
import { createVersionHistory } from './versionHistory'
import type { VersionHistoryOptions } from './versionHistory'

export type { StreamVersions } from './streamVersions'
export type { StreamOrigin } from './streamOrigins'

export interface StreamVersionsParts extends Pick<VersionHistoryOptions, 'store' | 'recordStore' | 'isFirstStart' | 'inputs' | 'random'> {
  peers: Peers
  servers: ServerList
  cfg: Pick<ServingConfigProvider, 'current' | 'findService'>
  fetchReport: EngineCalls['fetchReport']
  /** Where streams began, as the platform's store has it. */
  storedOrigins: StoredOrigins
  /** Whether changes of the list of servers reach this instance. */
  isListCurrent: () => boolean
  clock: Clock
  logger: Logger
}

export interface VersionKeeping extends StreamVersions {
  /** Reads and writes the history of versions until `signal` aborts. */
  start (signal: AbortSignal): void
}

export function createVersionKeeping (parts: StreamVersionsParts): VersionKeeping {
  const { peers, servers, cfg, fetchReport, storedOrigins, isListCurrent, clock, logger } = parts
  const versions = createSoftwareVersions({ servers, clock, logger })
  const history = createVersionHistory({ ...parts, versions })
  const streamVersions = createStreamVersions({
    versions,
    history,
    origins: createStreamOrigins({ peers, versions, history, clock, logger }),
    storedOrigins,
    identity: createProcessIdentity({ fetchReport, isListCurrent, isEntryHeld: ({ id }) => servers.isHeld(id), clock }),
    servers,
    isListCurrent,
    hasPeers: () => peers.members().length > 1,
    findService: cfg.findService,
    pause: ms => sleep(clock, ms),
    logger
  })
  return { ...streamVersions, start: history.start }
}
