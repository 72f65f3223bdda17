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
import { createStoredOrigins } from './storedOrigins'
import type { StoredOrigins } from './storedOrigins'
import { createStreamOrigins } from './streamOrigins'
import { createStreamVersions } from './streamVersions'
import type { StreamVersions } from './streamVersions'
import { createVersionHistory } from './versionHistory'
import type { VersionHistoryOptions } from './versionHistory'

export type { StreamVersions } from './streamVersions'
export type { StreamOrigin } from './streamOrigins'

export interface StreamVersionsParts extends Pick<VersionHistoryOptions, 'recordStore' | 'isFirstStart' | 'random'> {
  /** Where versions and the origins of streams outlive all instances. */
  store: VersionHistoryOptions['store'] & SegmentStore
  peers: Peers
  servers: ServerList
  cfg: Pick<ServingConfigProvider, 'current' | 'findService'>
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

export interface VersionKeeping extends StreamVersions {
  /** Reads and writes the history of versions until `signal` aborts. */
  start (signal: AbortSignal): void
}

function createStored ({ store, peers, inputs, registry, clock, logger }: StreamVersionsParts): StoredOrigins {
  const metrics = registry === undefined ? undefined : createStoredOriginMetrics(registry)
  return createStoredOrigins({ store, peers, inputs, metrics, clock, logger })
}

export function createVersionKeeping (parts: StreamVersionsParts): VersionKeeping {
  const { peers, servers, cfg, fetchReport, isListCurrent, clock, logger } = parts
  const storedOrigins = createStored(parts)
  const versions = createSoftwareVersions({ servers, clock, logger })
  const history = createVersionHistory({ ...parts, versions })
  const streamVersions = createStreamVersions({
    versions,
    history,
    origins: createStreamOrigins({ peers, versions, history, stored: storedOrigins, clock, logger }),
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
