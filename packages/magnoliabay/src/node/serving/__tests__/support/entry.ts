/** The entry server of one instance before raw servers, without a store, members or placement. */
import { createDirectStore, createKvState } from '@magnoliabay/standins'
import { createWakeupCounter } from '../../../wakeups'
import { createSystemClock } from '../../../clock'
import type { Clock } from '../../../clock'
import { createSilentLogger } from '../../../logger'
import type { Logger } from '../../../logger'
import { createMemoryNetwork } from '../../../members/memoryNetwork'
import { createCrashAttribution } from '../../../crashes'
import { createRetryBudget } from '../../../outcomes'
import type { RetryBudget } from '../../../outcomes'
import { platformProtocol } from '../../../platform'
import { createAllowanceLimiter } from '../../allowance/allowanceLimiter'
import type { AnswerBuffers } from '../../answerBuffers'
import { createServingConfigProvider } from '../../servingConfigProvider'
import { createConnections } from '../../exchange'
import type { Connections } from '../../exchange'
import { createLimitedServers, createServerLimits, createServerBackoffs } from '../../../statements'
import { createFleetView } from '../../fleetView'
import { createEntryServer } from '../../entryServer'
import type { EntryServer } from '../../entryServer'
import { createServingMetrics } from '../../metrics'
import { createPlacementClient } from '../../placement/placementClient'
import { createRequestHandler } from '../../requestHandler'
import { createServerHealth } from '../../serverHealth'
import type { ServerHealth } from '../../serverHealth'
import { createServerList } from '../../serverList'
import type { RequestKind, ServingConfig } from '../../types'
import { ANY_VERSION, NO_BRITTLE_SERVERS, NO_EVACUATION, configOf, leadingOf, memberRecord, reportOf, routeOf, serverOf } from '../fixtures'
import type { RawServer } from '../rawServer'

export const KEY = 'key-of-depot'

export interface TestEntry {
  address: string
  entryServer: EntryServer
  close (): Promise<void>
}

export const ROUTES = [
  routeOf('/read/'),
  routeOf('/write/', { kind: 'non-idempotent', maxAttempts: 2 }),
  routeOf('/stream/', { kind: 'stream', maxAttempts: 2 }),
  routeOf('/resumable/', { kind: 'stream', maxAttempts: 2, isResumable: true }),
  routeOf('/brief/', { kind: 'non-idempotent', timeoutMs: 150 })
]

export interface EntryOptions {
  closingFor?: readonly RequestKind[]
  /** @default () => false */
  isLeaving?: () => boolean
  isCold?: (server: string) => boolean
  admitsToCold?: (server: string) => boolean | Promise<boolean>
  /** @default the system's clock */
  clock?: Clock
  /** Of what happens to requests. @default nothing is logged */
  logger?: Logger
  /** @default health by the clock */
  health?: ServerHealth
  /** @default over sockets */
  connections?: Connections
  /** Shared by all requests. @default each has its own */
  retryBudget?: RetryBudget
  /** @default responses have no budget */
  answerBuffers?: AnswerBuffers
}

export async function startEntry (servers: readonly RawServer[], cfg: ServingConfig = configOf(1, { routes: ROUTES }), options: EntryOptions = {}): Promise<TestEntry> {
  const { clock = createSystemClock(), logger = createSilentLogger(), health = createServerHealth(clock), answerBuffers } = options
  const peers = createMemoryNetwork({ clock }).join(memberRecord('me'))
  const activeConfig = createServingConfigProvider({ decode: () => cfg, clock, logger: createSilentLogger() })
  activeConfig.applyIfNewer('', 'store')
  const serverList = createServerList({ decode: key => serverOf(key, { address: servers[Number(key)]!.address }), idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => 0, clock, logger: createSilentLogger() })
  serverList.snapshot(servers.map((_, index) => ({ key: String(index), value: '' })))
  const fleetView = createFleetView({
    peers,
    clock,
    isLinked: () => true,
    leader: () => undefined,
    own: () => reportOf(),
    spendingWithDownstream: () => [],
    leading: () => leadingOf('me'),
    latestClaim: () => 0,
    beforeSummary: () => {},
    summary: () => ({ configVersion: 1, storeAgeMs: 0, storeSteadyMs: Infinity, spent: [], limits: [], evacuation: NO_EVACUATION, listDigest: '', membersDigest: '' }),
    onReport: () => {},
    onSummary: () => {}
  })
  // Sockets take real time, also beside a clock that a test advances.
  const connections = options.connections ?? createConnections(createSystemClock())
  const serverLimits = createServerLimits({ clock, logger, onChanged: () => {} })
  const { serve, drain } = createRequestHandler({
    cfg: activeConfig,
    protocol: platformProtocol,
    servers: serverList,
    health,
    answerBuffers,
    serverLimits,
    serverBackoffs: createServerBackoffs({ clock, logger }),
    ...NO_BRITTLE_SERVERS,
    ...ANY_VERSION,
    limitedServers: createLimitedServers({ peers, limits: serverLimits, clock, logger, random: () => 0 }),
    fleetView,
    placement: createPlacementClient({ peers, servers: serverList, leader: () => undefined, isServerResponding: () => true, isIsolated: () => false, clock, logger }),
    allowance: createAllowanceLimiter({ peers, findTeam: name => cfg.teams?.find(team => team.name === name), windowMs: 8000, isFirstStart: true, store: createDirectStore(createKvState({ clock }), { clock }), era: () => 0, tolerance: { ratio: 0, slack: 0 }, clock, logger }),
    connections,
    coldStarts: { isCold: server => options.isCold?.(server.id) ?? false, admit: async server => await options.admitsToCold?.(server.id) ?? false },
    crashes: createCrashAttribution({ peers, clock, logger, hasCrashed: async address => !await connections.isAccepting(address), crashesToBlame: 2 }),
    retryBudget: () => options.retryBudget ?? createRetryBudget(),
    recordDemand: () => {},
    onModelUseChanged: () => {},
    recordWakeup: () => {},
    isClosingFor: kind => options.closingFor?.includes(kind) ?? false,
    metrics: createServingMetrics(createWakeupCounter()),
    clock,
    logger,
    failureDomain: 'a',
    random: () => 0,
    pause: async () => {}
  })
  const entryServer = createEntryServer({ address: '127.0.0.1:0', serve, isLeaving: options.isLeaving ?? (() => false), handBackAll: drain.handBackAll, clock, logger })
  await entryServer.start()
  return {
    address: entryServer.address(),
    entryServer,
    close: async () => {
      await entryServer.close(0)
      connections.close()
      await Promise.all(servers.map(server => server.close()))
    }
  }
}
