/**
 * Creates one instance and connects its subsystems.
 */
import { BUILD_NAME } from './constants'
import { createInputMonitor } from './inputs'
import { setMaxListeners } from 'node:events'
import type { Socket } from 'node:net'
import { createKeyring } from './admission'
import { createAllowance } from './allowance'
import { createBackendDirectory, createEngineClient, createConnectionPools } from './backend'
import { createBackendStatements } from './backend/backendStatements'
import { createLeavingBackends } from './backend/leavingBackends'
import type { DecodeStatement } from './backend/backendStatements'
import { createCells } from './cells'
import { withTimeout } from './clock'
import type { Clock } from './clock'
import { createConfigCommitter, createConfigProvider } from './config'
import type { Manifest, ResolvedSettings } from './config'
import { createCrashAttribution, createCrashConfirmation, createIncarnationCheck, createRecentAddresses } from './crashes'
import { createEntryServer } from './entry'
import type { Logger } from './logger'
import { createMembership, createPeerNetwork, createTerminationDetector } from './members'
import type { MemberRecord } from './members'
import { contactSeeds } from './members/seeds'
import { TCP_TRANSPORT } from './members/transport'
import { createMetrics } from './metrics'
import { createBatchWriter, createIdempotencyClaims, createRetentionLease, createForwardingWriter } from './once'
import { createOperatorServer } from './operators'
import { auditWrite } from './operators/audit'
import { createOperatorCommands } from './operators/commands'
import { createDecisionLog } from './operators/decisionLog'
import { createDrainer } from './operators/drain'
import { createExplainer } from './operators/explain'
import { createOperatorQueries } from './operators/queries'
import { createForwardingServer, createPathMetrics, createServerRoutes, createSocketPrimitives } from './paths'
import type { DialPrimitives } from './paths'
import { createBudgetedStore } from './store'
import { createStatus, createStoreHealthMonitor } from './operators/status'
import type { InstanceList, PutOperation, Store, StoreCallReport } from './store'
import { probeAddress } from './probe'
import { createSloTracker } from './report'
import { createEngineCapacity, createRequestQueue } from './queue'
import { createReplicaRouter } from './routing'
import { createShutdown } from './shutdown'
import { createInstanceTls } from './tls'
import { createId } from './utils'

/**
 * Store calls per second of all instances together, well below the several hundred writes and two thousand reads that the
 * store handles.
 */
const MAX_FLEET_STORE_CALLS_PER_SECOND = 1000
/** Longest wait for a connection attempt, milliseconds: a running machine whose process has ended refuses one within a round trip. */
const ENGINE_PROBE_TIMEOUT_MS = 500
/** Time for writes of claims and their responses at the end of a shutdown, milliseconds: peers get their shares and the goodbye even if the store does not answer. */
const PENDING_WRITES_TIMEOUT_MS = 2000
/** Completions may run again and are sent to three engines by one instance, so that a request is refused before the third. */
const CRASHES_TO_BLAME = 2

export interface InstanceOptions {
  settings: ResolvedSettings
  store: Store
  list: InstanceList
  /** Decodes what a backend server's answer states about the server. */
  decodeStatement: DecodeStatement
  /** How connections to backend servers are made. @default TCP; through other instances over the transport of peers */
  dialPrimitivesOf?: (self: MemberRecord) => DialPrimitives<Socket>
  clock: Clock
  logger: Logger
}

export interface Instance {
  readonly member: MemberRecord
  start (): Promise<void>
  isReady (): boolean
  /** Shuts down in order, without cutting open requests. */
  shutdown (): Promise<void>
}

export function createInstance (options: InstanceOptions): Instance {
  const { settings, clock } = options
  const { id, region, failureDomain, peerAddress, entryAddress, operatorAddress } = settings.instance
  const decisions = createDecisionLog({ instance: id, clock })
  const logger = decisions.wrapLogger(options.logger.with({ instance: id }))
  const self: MemberRecord = {
    id,
    incarnation: createId(id),
    startedAtMs: clock.now(),
    region,
    failureDomain,
    peerAddress,
    entryAddress,
    operatorAddress,
    leaving: false,
    processorShare: 0
  }
  const stop = new AbortController()
  // The loops of all subsystems listen to this signal; by default Node warns of a leak at more than ten listeners.
  setMaxListeners(0, stop.signal)
  const metrics = createMetrics()
  const { callsPerSecond, burstCalls } = settings.platform
  const storeHealth = createStoreHealthMonitor(clock, logger)
  const onCall = (call: StoreCallReport): void => {
    storeHealth.recordCall(call)
    metrics.storeCalls.inc({ priority: call.priority, outcome: call.outcome })
  }
  const store = createBudgetedStore(options.store, { callsPerSecond: () => Math.min(callsPerSecond, MAX_FLEET_STORE_CALLS_PER_SECOND / fleetSize()), burstCalls, clock, onCall })
  const fleetSize = (): number => peers.members().length
  const tls = createInstanceTls({ settings, clock, logger })
  const inputs = createInputMonitor(logger)
  inputs.register(metrics.registry)
  const engines = createEngineClient({ inputs, clock, idOf: address => directory.all().find(listed => listed.address === address)?.id ?? address })
  const peers = createPeerNetwork({ inputs, self, transport: tls.peerTransport, clock, logger, onGoodbye: member => proofs.recordGoodbye(member), onTunnel: socket => forwardingServer.accept(socket) })
  const proofs = createTerminationDetector({ peers, clock, logger })
  const membership = createMembership({ inputs, store, network: peers, clock, logger })
  const cfg = createConfigProvider({ store, peers, site: settings.instance.site, clock, logger })
  cfg.onChanged(() => cfg.active().documents.forEach(({ document, version }) => metrics.configVersion.set({ document }, version)))
  const keyring = createKeyring({ store, peers, clock, logger })
  const directory = createBackendDirectory({ inputs, list: options.list, peers, clock, logger, onRead: proofs.observeInstanceList })
  const routes = createServerRoutes({
    primitives: options.dialPrimitivesOf?.(self) ?? createSocketPrimitives(tls.peerTransport ?? TCP_TRANSPORT, clock, self),
    peers,
    addresses: () => directory.all().map(({ address }) => address),
    metrics: createPathMetrics(metrics.registry),
    clock,
    logger,
    random: Math.random
  })
  const forwardingServer = createForwardingServer({
    dialForPeer: routes.dialer.dialForPeer,
    members: peers.members,
    isListed: address => directory.all().some(listed => listed.address === address),
    isLeaving: () => self.leaving,
    clock
  })
  const connectionPools = createConnectionPools(null, routes)
  const allowance = createAllowance({ cfg, peers, store, clock, logger, proofs })
  const retentionLease = createRetentionLease({ store, clock, retentionSeconds: settings.once.retentionSeconds })
  const writer = createForwardingWriter({ peers, localWriter: createBatchWriter({ store, lease: retentionLease, clock }) })
  const inProgressTimeoutMs = settings.limits.deadlineMs + settings.limits.serviceAnswerMs
  const idempotencyClaims = createIdempotencyClaims({ store, writer, owner: self.incarnation, clock, logger, inProgressTimeoutMs })
  const cells = createCells({ inputs, store, peers, membership, proofs, directory, engines, cfg, clock, logger })
  const leavingBackends = createLeavingBackends({ peers, clock })
  const statements = createBackendStatements({ peers, leavingBackends, decode: options.decodeStatement, clock, logger })
  const routing = createReplicaRouter({ cells, cfg, directory, isLeaving: leavingBackends.isLeaving, refusedForMs: statements.refusedForMs, clock })
  const queue = createRequestQueue({
    capacity: createEngineCapacity({
      enginesOf: model => cells.replicas.replicasOf(model).map(replica => replica.engine),
      loadOf: cells.loadOf,
      inFlight: routing.inFlight,
      instanceCount: () => peers.members().filter(member => !member.leaving).length,
      slotsPerEngine: settings.limits.requestsPerEngine
    }),
    weightOf: team => cfg.team(team)?.weight ?? 1,
    maxWaiting: settings.limits.maxWaiting,
    clock,
    logger
  })
  cells.replicas.onChanged(queue.dispatch)
  const isReady = (): boolean => cfg.active().version > 0 && membership.leaseId() !== undefined && !self.leaving
  const report = createSloTracker({ cfg, peers, registry: metrics.registry, clock })
  const isServerAddress = createRecentAddresses({ addresses: () => directory.all().map(({ address }) => address), onChanged: directory.onChanged, clock })
  const confirmCrash = createCrashConfirmation({
    peers,
    probe: async address => isServerAddress(address) ? await probeAddress(clock, address, ENGINE_PROBE_TIMEOUT_MS) : 'silent',
    random: Math.random
  })
  const hasRestarted = createIncarnationCheck(engines)
  const crashes = createCrashAttribution({
    peers,
    store,
    hasCrashed: async address => await hasRestarted(address) || await confirmCrash(address),
    crashesToBlame: CRASHES_TO_BLAME,
    registry: metrics.registry,
    clock,
    logger
  })
  const entry = createEntryServer({ report, crashes, certificates: tls.callerCertificates, settings, cfg, keyring, allowance, queue, routing, directory, idempotencyClaims, connectionPools, engineClient: engines, statements, leavingBackends, peers, clock, logger, metrics, isReady })
  const audit = (manifest: Manifest): PutOperation => auditWrite({
    atMs: manifest.acceptedAtMs,
    operator: manifest.operator,
    action: 'config-applied',
    subject: manifest.document,
    detail: `version ${manifest.fromVersion} -> ${manifest.version} ${manifest.note}`.trim(),
    instance: id
  })
  const configCommitter = createConfigCommitter({ store, peers, configProvider: cfg, audit, clock, logger })
  const handOver = async (): Promise<void> => {
    report.handOver()
    await cells.resign()
  }
  const leave = async (): Promise<void> => {
    await membership.announceLeaving()
    await handOver()
  }
  const drainer = createDrainer({ peers, logger, leave })
  const commands = createOperatorCommands({ terminationDetector: proofs, store, keyring, cfg, configCommitter, drainer, peers, clock })
  const queries = createOperatorQueries({ store, cfg, peers, clock })
  const { explain } = createExplainer({ peers, decisions })
  const status = createStatus({ peers, cfg, replicas: cells.replicas, store: storeHealth })
  const operators = createOperatorServer({ settings, certificates: tls.operatorCertificates, commands, queries, status, explain, report, clock, logger })

  return {
    member: self,
    isReady,
    start: async () => {
      await tls.load()
      tls.start(stop.signal)
      await peers.start()
      membership.start(stop.signal)
      cfg.start(stop.signal)
      contactSeeds({ network: peers, seeds: settings.instance.seeds, isNeeded: () => cfg.active().version === 0, clock }, stop.signal)
      keyring.start(stop.signal)
      directory.start(stop.signal)
      cells.start(stop.signal)
      crashes.start(stop.signal)
      allowance.start(stop.signal)
      await entry.start()
      await operators.start()
      logger.info('instance-started', { build: BUILD_NAME, entry: entryAddress, peer: peerAddress, operator: operatorAddress })
    },
    shutdown: createShutdown({
      clock,
      logger,
      ...settings.shutdown,
      steps: {
        leave: membership.announceLeaving,
        handOver,
        drain: async drainMs => { await Promise.all([entry.close(drainMs), forwardingServer.drain(drainMs)]) },
        finish: async () => {
          await Promise.all([withTimeout(clock, PENDING_WRITES_TIMEOUT_MS, idempotencyClaims.waitForPendingWrites()), allowance.handOver()])
          await operators.close()
          stop.abort()
          forwardingServer.close()
          // Peers get the goodbye although the store does not answer.
          await Promise.all([membership.deregister(), peers.close(), connectionPools.close(), engines.close()])
        }
      }
    })
  }
}
