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

export type { StreamVersions } from './streamVersions'
export type { StreamOrigin } from './streamOrigins'

export interface StreamVersionsParts {
  peers: Peers
  servers: ServerList
  cfg: Pick<ServingConfigProvider, 'findService'>
  fetchReport: EngineCalls['fetchReport']
  /** Whether changes of the list of servers reach this instance. */
  isListCurrent: () => boolean
  clock: Clock
  logger: Logger
}

export function createVersionKeeping ({ peers, servers, cfg, fetchReport, isListCurrent, clock, logger }: StreamVersionsParts): StreamVersions {
  const versions = createSoftwareVersions({ servers, clock, logger })
  return createStreamVersions({
    versions,
    origins: createStreamOrigins({ peers, versions, clock, logger }),
    identity: createProcessIdentity({ fetchReport, isListCurrent, isEntryHeld: ({ id }) => servers.isHeld(id), clock }),
    servers,
    isListCurrent,
    hasPeers: () => peers.members().length > 1,
    findService: cfg.findService,
    pause: ms => sleep(clock, ms),
    logger
  })
}
