/**
 * Keeps each stream at the software version of the server that sent its first event: over the attempts within a response, the
 * tries of its caller at any instance, moves of its run, and waits for its model.
 */
import type { Registry } from 'prom-client'
import type { Clock } from '../../clock'
import { sleep } from '../../clock'
import type { InputMonitor } from '../../inputs'
import type { Logger } from '../../logger'
import type { Peers } from '../../members'
import type { EngineCalls } from '../engineCalls'
import type { ServerList } from '../serverList'
import type { ServingConfigProvider } from '../servingConfigProvider'
import { createStoredOriginMetrics } from './originSegments/metrics'
import type { SegmentStore } from './originSegments/writer'
import { createProcessIdentity } from './processIdentity'
import { createSoftwareVersions } from './softwareVersions'
import { NO_STORED_ORIGINS, createStoredOrigins } from './storedOrigins'
import type { StoredOrigins } from './storedOrigins'
import { createStreamOrigins } from './streamOrigins'
import { createStreamVersions } from './streamVersions'
import type { StreamVersions } from './streamVersions'

export type { StreamVersions } from './streamVersions'
export type { StreamOrigin } from './streamOrigins'

export interface StreamVersionsParts {
  /** Where records of streams outlive all instances. @default they are kept in memory only */
  store?: SegmentStore
  peers: Peers
  servers: ServerList
  cfg: Pick<ServingConfigProvider, 'findService'>
  fetchReport: EngineCalls['fetchReport']
  /** Whether changes of the list of servers reach this instance. */
  isListCurrent: () => boolean
  /** Logs and counts values in the store that cannot be read. @default they are only skipped */
  inputs?: Pick<InputMonitor, 'recordRefused'>
  /** @default nothing is counted */
  registry?: Registry
  clock: Clock
  logger: Logger
}

function createStored ({ store, peers, inputs, registry, clock, logger }: StreamVersionsParts): StoredOrigins {
  if (store === undefined) return NO_STORED_ORIGINS
  const metrics = registry === undefined ? undefined : createStoredOriginMetrics(registry)
  return createStoredOrigins({ store, peers, inputs, metrics, clock, logger })
}

export function createVersionKeeping (parts: StreamVersionsParts): StreamVersions {
  const { peers, servers, cfg, fetchReport, isListCurrent, clock, logger } = parts
  const stored = createStored(parts)
  const versions = createSoftwareVersions({ servers, clock, logger })
  return createStreamVersions({
    versions,
    origins: createStreamOrigins({ peers, versions, stored, clock, logger }),
    identity: createProcessIdentity({ fetchReport, isListCurrent, isEntryHeld: ({ id }) => servers.isHeld(id), clock }),
    servers,
    isListCurrent,
    hasPeers: () => peers.members().length > 1,
    findService: cfg.findService,
    pause: ms => sleep(clock, ms),
    logger
  })
}
