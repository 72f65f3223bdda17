/**
 * One instance of the system: every subsystem, joined.
 */
import { setMaxListeners } from 'node:events'
import { createKeyring } from './admission'
import { createAllowance } from './allowance'
import { createDirectory, createEngineClient, createPools } from './backend'
import { createCells } from './cells'
import type { Clock } from './clock'
import { createAcceptor, createConfigHolder } from './config'
import type { Manifest, ResolvedSettings } from './config'
import { createEntry } from './entry'
import type { Logger } from './logger'
import { createMembership, createPeerNetwork, createProofKeeper } from './members'
import type { MemberRecord } from './members'
import { greetSeeds } from './members/seeds'
import { createMetrics } from './metrics'
import { createGroupWriter, createOnce, createRetentionLease, createSharedWriter } from './once'
import { createOperators } from './operators'
import { auditWrite } from './operators/audit'
import { createOperatorCommands } from './operators/commands'
import { createDecisionLog } from './operators/decisionLog'
import { createDrain } from './operators/drain'
import { createExplain } from './operators/explain'
import { createOperatorQueries } from './operators/queries'
import { createBudgetedStore } from './store'
import { createStatus, createStoreWatch } from './operators/status'
import type { InstanceList, PutOperation, Store, StoreCallReport } from './store'
import { createReport } from './report'
import { createCapacity, createQueue } from './queue'
import { createRouting } from './routing'
import { createShutdown } from './shutdown'
import { createInstanceTls } from './tls'
import { createId } from './utils'

/** What all instances together may ask of the store, well below its several hundred writes and two thousand reads. */
const FLEET_CALLS_PER_SECOND = 1000

export interface InstanceOptions {
  settings: ResolvedSettings
  store: Store
  list: InstanceList
  clock: Clock
  logger: Logger
}

export interface Instance {
  readonly member: MemberRecord
  start (): Promise<void>
  isReady (): boolean
  /** Ends in order: nothing is cut. */
  shutdown (): Promise<void>
}

export function createInstance (options: InstanceOptions): Instance {
  const { settings, clock } = options
  const { id, region, failureDomain, peerAddress, entryAddress, operatorAddress } = settings.instance
  const decisions = createDecisionLog({ instance: id, clock })
  const logger = decisions.wrap(options.logger.with({ instance: id }))
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
  // Every subsystem's loop waits on it; Node takes more than ten waiters for a leak.
  setMaxListeners(0, stop.signal)
  const metrics = createMetrics()
  const { callsPerSecond, burstCalls } = settings.platform
  const storeWatch = createStoreWatch(clock, logger)
  const onCall = (call: StoreCallReport): void => {
    storeWatch.note(call)
    metrics.storeCalls.inc({ priority: call.priority, outcome: call.outcome })
  }
  const store = createBudgetedStore(options.store, { callsPerSecond: () => Math.min(callsPerSecond, FLEET_CALLS_PER_SECOND / fleetSize()), burstCalls, clock, onCall })
  const fleetSize = (): number => peers.members().length
  const tls = createInstanceTls({ settings, clock, logger })
  const pools = createPools(null)
  const engines = createEngineClient()
  const peers = createPeerNetwork({ self, transport: tls.transport, clock, logger, onGoodbye: member => proofs.noteGoodbye(member) })
  const proofs = createProofKeeper({ peers, clock, logger })
  const membership = createMembership({ store, network: peers, clock, logger })
  const cfg = createConfigHolder({ store, peers, site: settings.instance.site, clock, logger })
  cfg.onChanged(() => cfg.inForce().documents.forEach(({ document, version }) => metrics.configVersion.set({ document }, version)))
  const keyring = createKeyring({ store, peers, clock, logger })
  const directory = createDirectory({ list: options.list, peers, clock, logger, onRead: proofs.noteList })
  const allowance = createAllowance({ cfg, peers, store, clock, logger, proofs })
  const lease = createRetentionLease({ store, clock, retentionSeconds: settings.once.retentionSeconds })
  const writer = createSharedWriter({ peers, local: createGroupWriter({ store, lease, clock }) })
  const inProgressMs = settings.limits.deadlineMs + settings.limits.serviceAnswerMs
  const once = createOnce({ store, writer, holder: self.incarnation, clock, logger, inProgressMs })
  const cells = createCells({ store, peers, membership, proofs, directory, engines, cfg, clock, logger })
  const routing = createRouting({ cells, cfg, directory, clock })
  const queue = createQueue({
    capacity: createCapacity({
      enginesOf: model => cells.replicas.of(model).map(replica => replica.engine),
      loadOf: cells.loadOf,
      inFlight: routing.inFlight,
      instances: () => peers.members().filter(member => !member.leaving).length,
      slotsPerEngine: settings.limits.requestsPerEngine
    }),
    weightOf: team => cfg.team(team)?.weight ?? 1,
    maxWaiting: settings.limits.maxWaiting,
    clock,
    logger
  })
  cells.replicas.onChanged(queue.poke)
  const isReady = (): boolean => cfg.inForce().version > 0 && membership.leaseId() !== undefined && !self.leaving
  const report = createReport({ cfg, peers, registry: metrics.registry, clock })
  const entry = createEntry({ report, certificates: tls.callers, settings, cfg, keyring, allowance, queue, routing, directory, once, pools, engines, peers, clock, logger, metrics, isReady })
  const audit = (manifest: Manifest): PutOperation => auditWrite({
    atMs: manifest.acceptedAtMs,
    operator: manifest.operator,
    action: 'config-applied',
    subject: manifest.document,
    detail: `version ${manifest.fromVersion} -> ${manifest.version} ${manifest.note}`.trim(),
    instance: id
  })
  const acceptor = createAcceptor({ store, peers, holder: cfg, audit, clock, logger })
  const handOver = async (): Promise<void> => {
    report.handOver()
    await cells.handOver()
  }
  const leave = async (): Promise<void> => {
    await membership.announceLeaving()
    await handOver()
  }
  const drain = createDrain({ peers, logger, leave })
  const commands = createOperatorCommands({ proofs, store, keyring, cfg, acceptor, drain, peers, clock })
  const queries = createOperatorQueries({ store, cfg, peers, clock })
  const { explain } = createExplain({ peers, decisions })
  const status = createStatus({ peers, cfg, replicas: cells.replicas, store: storeWatch })
  const operators = createOperators({ settings, certificates: tls.operators, commands, queries, status, explain, report, clock, logger })

  return {
    member: self,
    isReady,
    start: async () => {
      await tls.load()
      tls.start(stop.signal)
      await peers.start()
      membership.start(stop.signal)
      cfg.start(stop.signal)
      greetSeeds({ network: peers, seeds: settings.instance.seeds, isNeeded: () => cfg.inForce().version === 0, clock }, stop.signal)
      keyring.start(stop.signal)
      directory.start(stop.signal)
      cells.start(stop.signal)
      allowance.start(stop.signal)
      await entry.start()
      await operators.start()
      logger.info('instance-started', { entry: entryAddress, peer: peerAddress, operator: operatorAddress })
    },
    shutdown: createShutdown({
      clock,
      logger,
      ...settings.shutdown,
      steps: {
        leave: membership.announceLeaving,
        handOver,
        drain: entry.close,
        finish: async () => {
          await once.settled()
          await allowance.handOver()
          await operators.close()
          stop.abort()
          await membership.deregister()
          await peers.close()
          await Promise.all([pools.close(), engines.close()])
        }
      }
    })
  }
}
