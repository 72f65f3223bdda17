/** Creates one instance from all its parts, for a platform with a store, engines and plain services. */
import { BUILD_NAME } from '../constants'
import { listenOn } from '../http/listen'
import { inBackground } from '../background'
import { createServer } from 'node:http'
import { setMaxListeners } from 'node:events'
import type { Socket } from 'node:net'
import polka from 'polka'
import type { WakeupCounter } from '../wakeups'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import { createDecayingRate } from '../decayingRate'
import type { DecayingRate } from '../decayingRate'
import { createInputMonitor } from '../inputs'
import type { InputMonitor } from '../inputs'
import type { Logger } from '../logger'
import { createMembership, createPeerNetwork } from '../members'
import type { MemberRecord } from '../members'
import { contactSeeds } from '../members/seeds'
import { TCP_TRANSPORT } from '../members/transport'
import { createCrashAttribution, createCrashConfirmation, createRecentAddresses } from '../crashes'
import { createFleetRetryBudget } from '../outcomes'
import type { RetryBudget } from '../outcomes'
import { createForwardingServer, createPathMetrics, createServerRoutes, createSocketPrimitives } from '../paths'
import type { DialPrimitives } from '../paths'
import { probeAddress } from '../probe'
import { createShutdown } from '../shutdown'
import { createBrittleServers, createBrittleServices, createLimitedServers, createServerLimits, createServerBackoffs } from '../statements'
import type { Store, PrefixWatch } from '../store'
import { closeServer, createId } from '../utils'
import { createPeerFallbackStore } from './allowance/peerFallbackStore'
import { createAllowanceLimiter } from './allowance/allowanceLimiter'
import type { AllowanceTolerance } from './allowance/allowanceLimiter'
import { createAnswerBuffers } from './answerBuffers'
import { createSpeedExchange } from './choice/speedExchange'
import { createColdStarts } from './coldStarts'
import type { ColdRateTolerance } from './coldStarts'
import { createServingConfigProvider } from './servingConfigProvider'
import type { EngineCalls } from './engineCalls'
import { createConnections } from './exchange'
import { createEngineReach, withPathChecks } from './engineReach'
import { createEvacuations } from './evacuations'
import { createFleetView } from './fleetView'
import type { InstanceReport } from './fleetMessages'
import { createEntryServer } from './entryServer'
import { cleanUpDepartedServers } from './departedServers'
import { createServingMetrics } from './metrics'
import { LEADER_KEY, createLeaderElection } from './placement/leaderElection'
import { createPeerLeaseRenewal } from './placement/peerLeaseRenewal'
import { createPlacementController } from './placement/placementController'
import { isScheduleFeasible } from './placement/schedule/feasibility'
import { createPlacementClient } from './placement/placementClient'
import { createScheduleMetrics } from './placement/schedule/scheduleMetrics'
import { createRequestHandler } from './requestHandler'
import { createServerHealth, recordReachedServers } from './serverHealth'
import { createServerList } from './serverList'
import { drainTimes, shutdownTimes } from './shutdownTimes'
import { createPrefixWatches, watchStore } from './storeWatches'
import type { StoreWatchOptions } from './storeWatches'
import { createStoreProxy } from './storeProxy'
import { createStoreReadPolicy } from './storeReadPolicy'
import { createDissemination } from './dissemination'
import { serverProcessId } from './types'
import type { ServingProtocol } from './servingProtocol'
import { createVersionKeeping } from './versions'
import { versionOf } from './versions/softwareVersions'

export interface ServingSettings {
  instance: { id: string, failureDomain: string, region: string }
  /** Processor time that the process may use per second, seconds. */
  processorShare: number
  listen: { entry: string, peers: string, metrics: string }
  seeds: readonly string[]
  gracePeriodMs: number
  orderLeaseMs: number
  retryBudget: { ratio: number, slack: number }
  allowanceWindowMs: number
  allowanceTolerance: AllowanceTolerance
  /** @default false */
  dividesAllowance?: boolean
  /** Whether the leader schedules engine time where that is feasible. @default false */
  schedulesEngineTime?: boolean
  /** Whether engines are chosen by predicted time where instances or speeds call for it. @default false */
  choosesByTime?: boolean
  coldRateTolerance: ColdRateTolerance
  isFirstStart: boolean
  storeLoadWindowMs: number
  /** Budget for responses that callers have not read. @default each response is limited by itself */
  answerBufferBytes?: number
  store: { minLeaseMs: number }
}

export interface ServingStore extends Store {
  lastContactMs (): number
  reachableSinceMs (): number
  /** Rises whenever the store has been restored from an older copy. */
  era (): number
  /** Starts the watches. */
  start (signal: AbortSignal, watches: readonly PrefixWatch[]): void
  close (): Promise<void>
}

export interface ServingInstanceOptions {
  settings: ServingSettings
  protocol: ServingProtocol
  store: ServingStore
  engines: EngineCalls
  /** How connections to backend servers are made. @default TCP */
  dialPrimitivesOf?: (self: MemberRecord) => DialPrimitives<Socket>
  /** Counts wakeups of the process by cause. */
  activity: WakeupCounter
  /** Checks what arrives from outside. @default one that only counts */
  inputs?: InputMonitor
  clock: Clock
  logger: Logger
  /** Returns a number from 0 to below 1. */
  random: () => number
}

export interface ServingInstance {
  isReady (): boolean
  /** Entry addresses that callers should use. */
  entryAddressesFor (failureDomain: string | undefined): readonly string[]
  start (): Promise<void>
  shutdown (): Promise<void>
}

/** Averaging time of the request rate of a model, milliseconds: as long as a rarely used model is likely to stay loaded. */
const DEMAND_AVERAGE_MS = 8000
/** Rate above which the requests for a model are reported, requests per second. */
const MIN_REPORTED_RATE = 0.02
/** Time without contact to the store after which an instance may count as isolated, and its list of servers as outdated, milliseconds: longer than a watch takes to respond. */
const ISOLATED_STORE_AGE_MS = 5500
/** An instance with links to fewer than this part of the others is in the minority of a network partition. */
const ISOLATED_LINK_RATIO = 0.4
/** Instances that are not relays try for the lease this much later, milliseconds: relays should determine the leader, which then informs the others. */
const NON_RELAY_CANDIDACY_DELAY_MS = 800
/** Number of random members that are asked to reach the store for this one, after those known to have access. */
const RANDOM_STORE_PEERS = 2
/** Longest wait for a connection attempt, milliseconds: a running machine whose process has ended refuses one within a round trip. */
const PROCESS_PROBE_TIMEOUT_MS = 500

export function createServingInstance (options: ServingInstanceOptions): ServingInstance {
  const { settings, protocol, store, activity, clock, random } = options
  const { id, region, failureDomain } = settings.instance
  const choosesByTime = settings.choosesByTime === true
  const logger = options.logger.with({ instance: id })
  const self: MemberRecord = {
    id,
    incarnation: createId(id),
    startedAtMs: clock.now(),
    region,
    failureDomain,
    peerAddress: settings.listen.peers,
    entryAddress: settings.listen.entry,
    operatorAddress: '',
    leaving: false,
    processorShare: settings.processorShare
  }
  const stop = new AbortController()
  setMaxListeners(0, stop.signal)
  const metrics = createServingMetrics(activity)
  const inputs = options.inputs ?? createInputMonitor(logger)
  inputs.register(metrics.registry)
  const peers = createPeerNetwork({ inputs, self, clock, logger, onFrame: kind => activity.note(`peer ${kind}`), onTunnel: socket => forwardingServer.accept(socket) })
  const membership = createMembership({ inputs, store, network: peers, clock, logger })
  const cfg = createServingConfigProvider({ inputs, decode: protocol.decodeConfig, clock, logger })
  const evacuations = createEvacuations({ storeReachableSinceMs: store.reachableSinceMs, clock, logger })
  const servers = createServerList({ inputs, decode: protocol.decodeServer, idOf: protocol.serverIdOf, isEvacuated: evacuations.isEvacuated, storeReachableSinceMs: store.reachableSinceMs, clock, logger })
  const health = createServerHealth(clock)
  const serverLimits = createServerLimits({ clock, logger, onChanged: count => metrics.limitedServers.set(count) })
  const limitedServers = createLimitedServers({ peers, limits: serverLimits, clock, logger, random })
  const serverBackoffs = createServerBackoffs({ clock, logger })
  const brittleServices = createBrittleServices({ clock, logger })
  const brittleServers = createBrittleServers({ peers, reportedInFlight: server => fleetView.inFlightElsewhere(server) + health.inFlight(server), clock, logger, random })
  const pathMetrics = createPathMetrics(metrics.registry)
  const routes = createServerRoutes({
    primitives: options.dialPrimitivesOf?.(self) ?? createSocketPrimitives(TCP_TRANSPORT, clock, self),
    peers,
    addresses: () => servers.all().map(({ address }) => address),
    preferredForwarders: () => fleetView.forwarders(),
    metrics: pathMetrics,
    clock,
    logger,
    random
  })
  const forwardingServer = createForwardingServer({
    dialForPeer: routes.dialer.dialForPeer,
    members: peers.members,
    isListed: address => servers.all().some(server => server.address === address),
    isLeaving: () => self.leaving,
    onOpenChanged: open => pathMetrics.openTunnels.set(open),
    clock
  })
  const connections = createConnections(clock, routes)
  const engines = withPathChecks(options.engines, routes.dialer.check)
  const reachesEngines = createEngineReach({ servers, cfg, paths: routes.paths })
  const demand = new Map<string, DecayingRate>()
  const budgets = new Map<string, RetryBudget>()

  let leavingSinceMs = Infinity
  const { lastAcceptedMs, lastAnswerMs } = drainTimes(settings.gracePeriodMs)
  const isReady = (): boolean => cfg.version() > 0 && servers.isKnown() && !self.leaving
  const otherMembers = (): readonly MemberRecord[] => peers.members().filter(member => member.id !== id && !member.leaving)
  const isLinked = (member: string): boolean => member === id || peers.linkStateOf(member) === 'linked'
  /** Whether this instance is cut off from the store and from most members it keeps links to, and so receives no decisions of the fleet. */
  const isIsolated = (): boolean => {
    const linkStates = otherMembers().map(member => peers.linkStateOf(member.id)).filter(state => state !== 'none')
    const linked = linkStates.filter(state => state === 'linked').length
    return storeAgeMs() > ISOLATED_STORE_AGE_MS && linked < linkStates.length * ISOLATED_LINK_RATIO
  }
  const storeAgeMs = (): number => clock.monotonic() - store.lastContactMs()
  const isConfigured = (model: string): boolean =>
    [...cfg.current()?.services.values() ?? []].some(service => service.engine?.models.has(model.split('/')[0]!) ?? false)
  const recordDemand = (model: string): void => {
    if (!demand.has(model) && !isConfigured(model)) return
    const rate = demand.get(model) ?? createDecayingRate(DEMAND_AVERAGE_MS)
    demand.set(model, rate)
    rate.add(1, clock.monotonic())
  }
  const retryBudget = (service: string): RetryBudget => {
    const budget = budgets.get(service) ?? createFleetRetryBudget(settings.retryBudget, () => peers.members().length)
    budgets.set(service, budget)
    return budget
  }
  const ownReport = (): InstanceReport => {
    const now = clock.monotonic()
    const waiting = placement.waitingByModel()
    const models = new Set([...demand.keys(), ...waiting.keys()])
    return {
      configVersion: cfg.version(),
      storeAgeMs: Math.round(storeAgeMs()),
      inFlight: health.inFlightByModel(),
      demand: [...models]
        .map(model => ({ model, rate: demand.get(model)?.read(now) ?? 0, waiting: waiting.get(model) ?? 0 }))
        .filter(entry => entry.rate > MIN_REPORTED_RATE || entry.waiting > 0),
      leavingServers: servers.leaving(),
      silentServers: servers.all().map(serverProcessId).filter(health.isSilent).map(server => ({ server, tellers: 1 })),
      limits: serverLimits.stated(),
      brittle: brittleServices.stated(),
      spent: allowance.ownSpending(),
      isReady: isReady(),
      ...(routes.paths.isPartitioned() ? { reachesServers: false } : {}),
      below: [],
      isUrgent: false
    }
  }
  const leader = (): string | undefined => leadership.isLeaseHolder() ? id : leadership.leaseHolder()
  const fleetView = createFleetView({
    peers,
    clock,
    isLinked,
    random,
    leader,
    own: ownReport,
    speedExchange: choosesByTime ? createSpeedExchange({ speeds: health.speeds, clock, logger, onSpread: ratio => metrics.speedSpread.set(ratio) }) : undefined,
    spendingWithDownstream: () => allowance.spendingWithDownstream(),
    leading: () => leadership.ownClaim(),
    latestClaim: () => leadership.latestClaimRevision(),
    beforeSummary: () => dissemination.sendChanges(),
    summary: () => ({
      configVersion: cfg.version(),
      storeAgeMs: Math.round(storeProxy.contact().ageMs),
      storeSteadyMs: storeProxy.contact().steadyMs,
      spent: allowance.fleetSpending(),
      limits: serverLimits.stated(),
      brittle: brittleServices.stated(),
      evacuation: evacuations.state(),
      listDigest: servers.digest(),
      membersDigest: membership.digest()
    }),
    onReport: (member, report) => {
      report.leavingServers.forEach(process => servers.recordLeaving(process, 'peer'))
      serverLimits.recordFromPeer(report.limits)
      brittleServices.recordFromPeer(report.brittle)
      allowance.recordPeerSpending(member.incarnation, report.spent)
    },
    onSummary: (member, summary) => {
      dissemination.applySummary(member.id, summary)
      serverLimits.recordFromPeer(summary.limits)
      brittleServices.recordFromPeer(summary.brittle)
      allowance.recordFleetSpending(summary.spent)
    }
  })
  const storeProxy = createStoreProxy({
    peers,
    isLeading: () => leadership.isLeaseHolder(),
    ownContact: () => ({ ageMs: storeAgeMs(), steadyMs: clock.monotonic() - store.reachableSinceMs() }),
    candidates: fleetView.peersWithStoreAccess,
    onProxyAnswered: member => dissemination.syncFromProxy(member),
    clock,
    logger
  })
  const dissemination = createDissemination({ peers, cfg, servers, evacuations, members: membership, storeAgeMs, leading: () => leadership.ownClaim() ?? leadership.knownClaim(), followers: () => [...fleetView.reporters(), ...storeProxy.clients()], isProxy: member => storeProxy.current() === member, isLeadingRelays: () => leadership.isLeaseHolder() && fleetView.isRelayed(), isFollowing: fleetView.isFollowing, isLinked, onLeaderLearned: leading => leadership.recordClaimFromPeer(leading), clock, logger, random })
  /** Only neighbours and relays probe a member's process: they are few, have links to the leader, and see a link end. */
  const hasProcessEnded = async (member: string): Promise<boolean> => {
    const record = peers.members().find(each => each.id === member)
    const shouldProbe = peers.linkStateOf(member) === 'unlinked' || (fleetView.isRelay() && !isLinked(member))
    return record !== undefined && shouldProbe && await probeAddress(clock, record.peerAddress, PROCESS_PROBE_TIMEOUT_MS) === 'refused'
  }
  const leadership = createLeaderElection({
    inputs,
    store,
    self: id,
    machine: `${id} at ${settings.listen.peers}`,
    orderLeaseMs: settings.orderLeaseMs,
    minLeaseMs: settings.store.minLeaseMs,
    processorShare: settings.processorShare,
    renewLeaseViaPeer: createPeerLeaseRenewal({ peers, store, peerWithLatestStoreContact: fleetView.peerWithLatestStoreContact }),
    hasProcessEnded,
    isFollowing: fleetView.isFollowing,
    era: store.era,
    isFirstStart: settings.isFirstStart,
    reachesEngines,
    isLeaving: () => self.leaving,
    candidacyDelayMs: () => fleetView.isRelayed() && !fleetView.isRelay() ? NON_RELAY_CANDIDACY_DELAY_MS : 0,
    clock,
    logger,
    random
  })
  const placementController = createPlacementController({ self: id, leadership, servers, cfg, table: fleetView, engines, limitOf: serverLimits.limitOf, backoffMs: serverBackoffs.remainingMs, storeReachableSinceMs: store.reachableSinceMs, peers, clock, logger, loadWindowMs: settings.storeLoadWindowMs, reservations: createScheduleMetrics(metrics.registry), isFeasible: settings.schedulesEngineTime === true ? isScheduleFeasible : () => false })
  const placement = createPlacementClient({
    peers,
    servers,
    leader,
    isServerResponding: process => !health.isSilent(process),
    isIsolated,
    clock,
    logger
  })
  const recordStore = createPeerFallbackStore({ peers, store, isStoreUnreachable: () => store.reachableSinceMs() === Infinity, peersWithStoreAccess: () => [...fleetView.peersWithStoreAccess(), ...pickRandomMembers(RANDOM_STORE_PEERS)] })
  const pickRandomMembers = (count: number): string[] => {
    const others = otherMembers().map(member => member.id)
    return Array.from({ length: Math.min(count, others.length) }, () => others[Math.floor(random() * others.length)]!)
  }
  const allowance = createAllowanceLimiter({
    peers,
    findTeam: name => cfg.current()?.teams?.find(team => team.name === name),
    windowMs: settings.allowanceWindowMs,
    isFirstStart: settings.isFirstStart,
    store: recordStore,
    era: store.era,
    tolerance: settings.allowanceTolerance,
    division: settings.dividesAllowance ? { random } : undefined,
    clock,
    logger
  })
  const isServerAddress = createRecentAddresses({ addresses: () => servers.all().map(({ address }) => address), onChanged: servers.onChanged, clock })
  const crashes = createCrashAttribution({
    peers,
    store,
    hasCrashed: createCrashConfirmation({
      peers,
      probe: async address => isServerAddress(address) ? await connections.probe(address) : 'silent',
      random
    }),
    isReplaced: (service, version) => {
      const listed = servers.all().filter(server => server.service === service).map(versionOf)
      return listed.length > 0 && !listed.includes(version)
    },
    registry: metrics.registry,
    clock,
    logger
  })
  const coldStarts = createColdStarts({
    peers,
    coldStartOf: service => cfg.findService(service)?.coldStart,
    coldMs: servers.coldMs,
    evacuationEndedAgoMs: evacuations.endedAgoMs,
    tolerance: settings.coldRateTolerance,
    clock,
    logger
  })
  const streamVersions = createVersionKeeping({
    peers,
    servers,
    cfg,
    store,
    recordStore,
    isFirstStart: settings.isFirstStart,
    inputs,
    registry: metrics.registry,
    fetchReport: engines.fetchReport,
    isListCurrent: () => storeAgeMs() < ISOLATED_STORE_AGE_MS || fleetView.isFollowing(),
    clock,
    logger,
    random
  })
  const requests = createRequestHandler({
    inputs,
    streamVersions,
    choosesByTime,
    crashes,
    cfg,
    protocol,
    servers,
    health,
    serverLimits,
    limitedServers,
    serverBackoffs,
    brittleServices,
    brittleServers,
    fleetView,
    placement,
    allowance,
    connections,
    runCalls: options.engines.runs,
    coldStarts,
    answerBuffers: settings.answerBufferBytes === undefined ? undefined : createAnswerBuffers({ budgetBytes: settings.answerBufferBytes, clock, logger, registry: metrics.registry }),
    retryBudget,
    recordDemand,
    onModelUseChanged: fleetView.reportSoon,
    recordWakeup: activity.note,
    isClosingFor: kind => clock.monotonic() - leavingSinceMs > lastAcceptedMs[kind],
    metrics,
    clock,
    logger,
    failureDomain,
    random,
    pause: ms => sleep(clock, ms)
  })
  const entryServer = createEntryServer({ address: settings.listen.entry, serve: requests.serve, isLeaving: () => self.leaving, handBackAll: requests.drain.handBackAll, clock, logger })
  const metricsServer = createServer(polka().get('/metrics', async (_req, res) => {
    res.writeHead(200, { 'content-type': metrics.registry.contentType })
    res.end(await metrics.registry.metrics())
  }).handler as never)

  options.engines.onStatement((server, statement) => {
    const process = serverProcessId(server)
    serverLimits.record(process, statement, false)
    brittleServices.record(server.service, statement, false)
    if (statement.isLeaving) servers.recordLeaving(process, 'answer')
    if (statement.backoffMs > 0) serverBackoffs.record(process, statement.backoffMs)
  })
  routes.paths.onChanged(change => {
    recordReachedServers(servers, health, change)
    if (change.address === undefined) fleetView.reportSoon()
    if (!reachesEngines()) inBackground('step-down', leadership.stepDown('most engines are out of reach'))
  })
  evacuations.onChanged(servers.notifyChanged)
  cfg.onChanged(() => {
    metrics.configVersion.set(cfg.version())
    entryServer.setLimits(cfg.current()!.limits)
  })
  cleanUpDepartedServers({ servers, health, serverLimits, connections, engines: options.engines })
  const isProxy = (): boolean => storeProxy.clients().length > 0
  const storeReadPolicy = createStoreReadPolicy({ isLeading: leadership.isLeaseHolder, isProxy, isFollowing: fleetView.isFollowing, memberCount: () => peers.members().length, clock, logger, random })
  const watchOptions: StoreWatchOptions = { store, protocol, cfg, evacuations, servers, memberCount: () => peers.members().length, readsStore: storeReadPolicy.readsStore, isProxy, hasPendingOrders: placementController.hasPendingOrders }
  /** Whether callers go elsewhere, since this instance reaches no server and enough others do. */
  const isAvoided = (): boolean => routes.paths.isPartitioned() && !fleetView.isAvailable(id)
  const needsSeeds = (): boolean => cfg.version() === 0 || !servers.isKnown() || peers.members().length < 2

  return {
    isReady,
    entryAddressesFor: () => {
      // Members that this instance cannot reach are most likely healthy; callers sent to this instance would only be refused.
      if (isIsolated()) return otherMembers().filter(member => !peers.isConnected(member.id)).map(member => member.entryAddress)
      const others = otherMembers().filter(member => peers.isConnected(member.id) && fleetView.isAvailable(member.id))
      return [...(isReady() && !isAvoided() ? [self] : []), ...others].map(member => member.entryAddress)
    },
    start: async () => {
      await peers.start()
      watchStore(watchOptions, stop.signal)
      crashes.start(stop.signal)
      streamVersions.start(stop.signal)
      membership.start(stop.signal)
      leadership.start(stop.signal)
      placementController.start(stop.signal)
      store.start(stop.signal, createPrefixWatches(watchOptions))
      fleetView.start(stop.signal)
      dissemination.start(stop.signal)
      storeProxy.start(stop.signal)
      contactSeeds({ network: peers, seeds: settings.seeds, isNeeded: needsSeeds, clock }, stop.signal)
      await entryServer.start()
      await listenOn(metricsServer, settings.listen.metrics, clock, logger)
      logger.info('instance-started', { build: BUILD_NAME, incarnation: self.incarnation, entry: settings.listen.entry, peers: settings.listen.peers, leaderKey: LEADER_KEY })
    },
    shutdown: createShutdown({
      clock,
      logger,
      ...shutdownTimes(settings.gracePeriodMs),
      steps: {
        leave: async () => {
          leavingSinceMs = clock.monotonic()
          requests.drain.start({ lastAcceptedMs, lastAnswerMs })
          await membership.announceLeaving()
        },
        handOver: () => leadership.resign(),
        drain: async drainMs => { await Promise.all([entryServer.close(drainMs), forwardingServer.drain(drainMs)]) },
        finish: async () => {
          stop.abort()
          forwardingServer.close()
          connections.close()
          // Peers learn of the end although the store does not answer.
          await Promise.all([membership.deregister(), peers.close(), closeServer(metricsServer)])
          await store.close()
        }
      }
    })
  }
}
