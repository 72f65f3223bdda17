/** A request handler with engines that have no network, under a virtual clock. */
import { createDirectStore, createKvFaults, createKvState } from '@magnoliabay/standins'
import type { KvState } from '@magnoliabay/standins'
import { createVirtualClock } from '../../../../clock/virtual'
import type { VirtualClock } from '../../../../clock/virtual'
import { inBackground } from '../../../../background'
import { createLogger } from '../../../../logger'
import { createMemoryNetwork } from '../../../../members/memoryNetwork'
import type { MemoryNetwork } from '../../../../members/memoryNetwork'
import { createCrashAttribution } from '../../../../crashes'
import { createRetryBudget } from '../../../../outcomes'
import { platformProtocol } from '../../../../platform'
import { createLimitedServers, createServerBackoffs, createServerLimits } from '../../../../statements'
import { sleep } from '../../../../clock'
import { createWakeupCounter } from '../../../../wakeups'
import { NO_BRITTLE_SERVERS, configOf, memberRecord, modelSpec, routeOf, serverOf, teamOf } from '../../../__tests__/fixtures'
import type { EngineCalls } from '../../../engineCalls'
import { Err, Ok } from '../../../../result'
import { createAllowanceLimiter } from '../../../allowance/allowanceLimiter'
import { createServingConfigProvider } from '../../../servingConfigProvider'
import type { Drain } from '../../../drain'
import type { FleetView } from '../../../fleetView'
import { createServingMetrics } from '../../../metrics'
import { createPlacementClient } from '../../../placement/placementClient'
import { createRequestHandler } from '../../../requestHandler'
import { createServerHealth } from '../../../serverHealth'
import { createServerList } from '../../../serverList'
import type { Store } from '../../../../store'
import type { BackendServer, Route, ServingConfig } from '../../../types'
import { createVersionKeeping } from '../../../versions'
import { createFakeEngines } from './fakeEngines'
import type { FakeEngine, FakeEngines } from './fakeEngines'
import { createFakeCaller } from './fakeResponse'
import type { FakeCaller } from './fakeResponse'

export const MODEL = 'm1'

/** Routes under the figures of the deployments; `resumable` may run twice, `single` once. */
const ROUTES: readonly Route[] = [
  routeOf('/resumable/', { kind: 'stream', isResumable: true, maxAttempts: 2, latencyObjectiveMs: 503, maxEventGapMs: 300, timeoutMs: 12_072 }),
  routeOf('/single/', { kind: 'stream', maxAttempts: 1, latencyObjectiveMs: 403, maxEventGapMs: 300, timeoutMs: 10_075 }),
  routeOf('/no-gap/', { kind: 'stream', isResumable: true, maxAttempts: 2, latencyObjectiveMs: 503, timeoutMs: 12_072 }),
  routeOf('/read/', { latencyObjectiveMs: 124, timeoutMs: 612 })
]

export interface StreamRigOptions {
  /** Engines by name, in failure domain `a` unless the name begins with another letter. */
  engines: Readonly<Record<string, Partial<FakeEngine>>>
  /** @default false */
  hasMoves?: boolean
  /** Teams with keys; requests need a key then. @default none */
  teams?: readonly string[]
  /** Unused retries at the start. @default 10 */
  retries?: number
  /** @default always 0 */
  random?: () => number
  /** Another instance, whose clock, engines and network of peers this one uses. @default none */
  beside?: StreamRig
  /** Whether engines name their process in reports; `none` if reports are not answered. @default 'process' */
  reports?: 'process' | 'unnamed' | 'none'
  /** Id of the instance. @default 'me' */
  instance?: string
  /** @default 'a' */
  failureDomain?: string
  /** @default a clock of its own, or that of the instance beside it */
  clock?: VirtualClock
  /** Where blamed suspects are kept. @default nowhere */
  crashStore?: Store
  /** Engines that are not listed when the instance starts. @default none */
  unlisted?: ReadonlySet<string>
  /** Whether this is the first start of the whole system, by the settings. @default true */
  isFirstStart?: boolean
  /** Calls over the network to engines at these addresses, by name. @default none */
  network?: Pick<FakeEngines, 'connections' | 'runCalls'> & { addresses: Readonly<Record<string, string>> }
}

export interface StreamRig {
  clock: VirtualClock
  fakes: FakeEngines
  network: MemoryNetwork
  /** The platform's store, which outlives instances. */
  kvState: KvState
  /** Faults of the store as this instance meets it. */
  storeFaults: ReturnType<typeof createKvFaults>
  /** The instance is killed: it reaches the store no more. */
  stop (): void
  engine (name: string): FakeEngine
  /** Sends a request; the first sent gets the first id. */
  call (path: string, headers?: Record<string, string>): FakeCaller & { id: string }
  /** Ends the requests of an instance that shuts down. */
  drain: Drain
  /** The engine writes into its entry that it ends after this time. */
  giveNotice (name: string, remainingMs: number): void
  /** Engines that have been given notice end. */
  remove (name: string): void
  /** This instance hears that an engine has left; the engine does nothing. */
  unlist (name: string): void
  /** This instance hears of the process that runs at an engine now, which may have another software version. */
  list (name: string): void
  /** Whether changes of the list reach this instance. */
  setListCurrent (isCurrent: boolean): void
  logs (event: string): string[]
  metric (name: string): Promise<number>
  /** Unused retries. */
  retriesLeft (): number
}

function configWith (hasMoves: boolean, teams: readonly string[] | undefined): ServingConfig {
  const moves = hasMoves ? { moves: { bytesPerToken: 100_000, bandwidthMbps: 10_000, handleMs: 5000 } } : {}
  return configOf(1, {
    routes: ROUTES,
    services: new Map([['app', {
      name: 'app',
      connectionLimit: 100,
      coldStart: undefined,
      engine: { slots: 16, kvTokens: 88_381, weightMemoryMb: 200, adapterCapacity: 0, storeLoadsPerSecond: 41, models: new Map([[MODEL, modelSpec(MODEL)]]), ...moves }
    }]]),
    teams: teams?.map(name => teamOf(name, { rate: 0 }))
  })
}

const NOBODY_ELSEWHERE = { inFlightElsewhere: () => 0, inFlightElsewhereAtSummary: () => 0, instanceCount: () => 1, speedOf: () => 1 } as unknown as FleetView

export function createStreamRig (options: StreamRigOptions): StreamRig {
  const clock = options.beside?.clock ?? options.clock ?? createVirtualClock()
  const stop = new AbortController()
  const kvState = options.beside?.kvState ?? createKvState({ clock })
  const storeFaults = createKvFaults()
  const store = createDirectStore(kvState, { clock, faults: storeFaults })
  const lines: string[] = []
  const logger = createLogger({ write: line => { lines.push(line) } })
  const fakes = options.beside?.fakes ?? createFakeEngines(clock)
  const engines = new Map(Object.entries(options.engines).map(([name, changes]) => [name, options.beside?.engine(name) ?? fakes.add(name, changes)]))
  const network = options.beside?.network ?? createMemoryNetwork({ clock })
  const { instance = 'me', failureDomain = 'a' } = options
  const peers = network.join(memberRecord(instance, { failureDomain }))
  const cfg = createServingConfigProvider({ decode: () => configWith(options.hasMoves ?? false, options.teams), clock, logger })
  cfg.applyIfNewer('', 'store')
  const entries = new Map<string, BackendServer>([...engines].map(([name, engine]) =>
    [name, serverOf(name, { address: options.network?.addresses[name] ?? engine.address, slots: 16, bornMs: engine.bornMs, softwareVersion: engine.softwareVersion, failureDomain: name[0]!, models: [{ name: MODEL, version: 1, adapters: [] }] })]))
  const servers = createServerList({ decode: key => entries.get(key), idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => 0, clock, logger })
  servers.snapshot([...entries.keys()].filter(key => options.unlisted?.has(key) !== true).map(key => ({ key, value: '' })))
  let isListCurrent = true
  const fetchReport: EngineCalls['fetchReport'] = async ({ id }) => {
    const { reports = 'process' } = options
    const { isCrashed, bornMs } = engines.get(id)!
    if (isCrashed || reports === 'none') return Err({ kind: 'unanswered', message: 'no answer in time' })
    return Ok({ bornMs: reports === 'process' ? bornMs : undefined, isOrderPending: false, acceptedOrders: 0, waiting: 0, running: 0, models: [], loadingAdapters: [], copies: { memory: [], disk: [] } })
  }
  const serverLimits = createServerLimits({ clock, logger, onChanged: () => {} })
  const metrics = createServingMetrics(createWakeupCounter())
  const budget = createRetryBudget({ burst: options.retries ?? 10 })
  const health = createServerHealth(clock)
  const crashes = createCrashAttribution({
    peers,
    store: options.crashStore,
    isReplaced: (_service, version) => servers.all().length > 0 && servers.all().every(({ softwareVersion }) => softwareVersion !== version),
    clock,
    logger,
    hasCrashed: async address => options.network === undefined && !await fakes.connections.isAccepting(address)
  })
  crashes.start(new AbortController().signal)
  const streamVersions = createVersionKeeping({
    peers,
    servers,
    cfg,
    store: { ...store, era: kvState.era },
    recordStore: store,
    isFirstStart: options.isFirstStart ?? true,
    fetchReport,
    isListCurrent: () => isListCurrent,
    clock,
    logger,
    random: options.random ?? (() => 0)
  })
  streamVersions.start(stop.signal)
  const { serve, drain } = createRequestHandler({
    cfg,
    protocol: platformProtocol,
    servers,
    health,
    serverLimits,
    serverBackoffs: createServerBackoffs({ clock, logger }),
    ...NO_BRITTLE_SERVERS,
    limitedServers: createLimitedServers({ peers, limits: serverLimits, clock, logger, random: () => 0 }),
    fleetView: NOBODY_ELSEWHERE,
    placement: createPlacementClient({ peers, servers, leader: () => undefined, isServerResponding: process => !health.isSilent(process), isIsolated: () => false, clock, logger }),
    allowance: createAllowanceLimiter({ peers, findTeam: () => undefined, windowMs: 8000, isFirstStart: true, store: createDirectStore(createKvState({ clock }), { clock }), era: () => 0, tolerance: { ratio: 0, slack: 0 }, clock, logger }),
    connections: options.network?.connections ?? fakes.connections,
    streamVersions,
    runCalls: options.network?.runCalls ?? fakes.runCalls,
    coldStarts: { isCold: () => false, admit: async () => true },
    crashes,
    retryBudget: () => budget,
    recordDemand: () => {},
    onModelUseChanged: () => {},
    recordWakeup: () => {},
    isClosingFor: () => false,
    metrics,
    clock,
    logger,
    failureDomain,
    random: options.random ?? (() => 0),
    pause: ms => sleep(clock, ms)
  })
  const giveNotice = (name: string, remainingMs: number): void => {
    entries.set(name, { ...entries.get(name)!, state: 'draining', remainingMs })
    servers.put({ key: name, value: '' })
  }
  return {
    clock,
    fakes,
    network,
    kvState,
    storeFaults,
    stop: () => {
      stop.abort()
      inBackground('stop-store', storeFaults.set({ down: 'refused' }))
    },
    engine: name => engines.get(name)!,
    call: (path, headers = {}) => {
      const id = fakes.nextId()
      const caller = createFakeCaller({ path, attemptId: id, headers: { 'x-magnoliabay-model': MODEL, 'x-magnoliabay-token-usage': '500,10', ...headers }, clock })
      serve(caller.inbound)
      return { ...caller, id }
    },
    drain,
    giveNotice,
    remove: name => {
      engines.get(name)!.crash()
      servers.remove(name)
    },
    unlist: name => servers.remove(name),
    setListCurrent: isCurrent => { isListCurrent = isCurrent },
    list: name => {
      const { bornMs, softwareVersion } = engines.get(name)!
      entries.set(name, { ...entries.get(name)!, bornMs, softwareVersion })
      servers.put({ key: name, value: '' })
    },
    logs: event => lines.filter(line => line.includes(` event=${event} `)),
    metric: async name => {
      const found = await metrics.registry.getSingleMetric(name)!.get()
      return found.values.reduce((sum, { value }) => sum + value, 0)
    },
    retriesLeft: budget.remaining
  }
}
