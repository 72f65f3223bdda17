/**
 * The leader of a cell. Only it decides the cell's replicas, keeps its memory accounts and sends orders to its engines.
 */
import { inBackground } from '../background'
import type { BackendDirectory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { ListedInstance, Store } from '../store'
import type { EngineAccount } from './engineAccount'
import { loadedReplicas } from './engineAccount'
import { createAdapterLoader } from './adapterLoader'
import type { CellsConfig, CellLeaderContext } from './context'
import { createEngineReconciler, isUsable } from './engineReconciler'
import { createGapHistory, savedHistoriesSchema } from './keepAlivePolicy'
import { checkInput } from '../inputs'
import { parseJson } from '../utils'
import { createIdleEviction } from './idleEviction'
import { createIntents } from './intents'
import { createAutoscaler } from './autoscaler'
import { createLoadTimes } from './loadTimes'
import { createOrderSender } from './orderSender'
import { quotaOfCell } from './quota'
import { cellOf, historyKey, tableNotice } from './records'
import type { Demand, DemandReply, Intent, LoadNotice, ReplicaEntry, ReplicaTable, UsageReport } from './records'
import { createInheritedReplicas } from './inheritedReplicas'
import { createReplicaOps } from './replicaOps'
import { createScheduler } from './scheduler'
import { createLoadLimiter } from './loadLimiter'
import { createStoreShareClient } from './weightStoreShare'
import type { StoreShare } from './weightStoreShare'
import { createPendingDemand } from './pendingDemand'

export interface CellLeaderOptions {
  cell: string
  /** Modification revision of the leader key when it was claimed. */
  fence: number
  store: Store
  directory: BackendDirectory
  engines: EngineClient
  cfg: CellsConfig
  peers: Peers
  clock: Clock
  logger: Logger
  /** Last known replica table of the former leader. */
  previousTable: ReplicaTable | undefined
  /** Whether every former leader has provably terminated or has released the cell. */
  areFormerLeadersInactive: () => boolean
  /** Requests the cell's share of the weight store. Undefined when there was no answer. */
  requestStoreShare: () => Promise<StoreShare | undefined>
  onTablePublished: (table: ReplicaTable) => void
  /** Called when the load of the cell's engines has changed. */
  onLoadsChanged: (notice: LoadNotice) => void
  onSuperseded: (reason: string) => void
}

export interface CellLeader {
  readonly cell: string
  readonly fence: number
  requestReplica (req: Omit<Demand, 'cell'>): DemandReply
  /** Returns false when the report names a model that is not loaded: the sender has an outdated table. */
  recordUsage (report: UsageReport): boolean
  table (): ReplicaTable
  accounts (): readonly EngineAccount[]
  /** Intents whose orders may still be in flight. */
  openIntents (): readonly Intent[]
  /** Runs one pass of the control loop: reconciles engines, loads and unloads. */
  maintain (): void
  stop (): void
}

/** Returns a reader of the weight store's capacity for all cells together. */
export function weightStoreCapacity (cfg: CellsConfig): () => StoreShare {
  return () => {
    const { fullSpeedLoads, loadsPerSecond } = cfg.active().fleet.weightStore
    return { slots: fullSpeedLoads, perSecond: loadsPerSecond }
  }
}

/** How often the history of gaps between uses is saved. */
const HISTORY_SAVE_INTERVAL_MS = 60_000

export function createCellLeader (options: CellLeaderOptions): CellLeader {
  const { cell, fence, store, clock, peers, cfg, directory } = options
  const logger = options.logger.with({ cell, fence })
  const accounts = new Map<string, EngineAccount>()
  const droppedEngines = new Set<string>()
  const history = createGapHistory()
  const pendingDemand = createPendingDemand()
  let tableVersion = 0
  let stopped = false
  let nextSaveMs = clock.monotonic() + HISTORY_SAVE_INTERVAL_MS

  /** Replicas of the former leader on engines that are not taken over yet. They continue to serve. */
  const inheritedEntries = (): ReplicaEntry[] => (options.previousTable?.replicas ?? []).filter(({ engine }) =>
    !accounts.has(engine) && !droppedEngines.has(engine) && directory.engine(engine)?.status === 'live')
  const replicasOf = (account: EngineAccount): ReplicaEntry[] => {
    const listedEngine = directory.engine(account.engine)
    if (listedEngine === undefined || listedEngine.status === 'leaving' || !isUsable(account)) return []
    const adapters = [...account.adapters.values()].filter(adapter => adapter.isLoaded)
    return loadedReplicas(account).map(({ engine, model, version }) => ({
      engine,
      address: listedEngine.address,
      failureDomain: listedEngine.failureDomain,
      model,
      version,
      adapters: adapters.filter(adapter => adapter.model === model).map(adapter => adapter.adapter)
    }))
  }
  const table = (): ReplicaTable => ({ cell, fence, version: tableVersion, replicas: [...inheritedEntries(), ...[...accounts.values()].flatMap(replicasOf)] })
  const publish = (): void => {
    if (stopped) return
    tableVersion += 1
    const current = table()
    options.onTablePublished(current)
    peers.notifyAll(tableNotice, current)
  }
  const supersede = (reason: string): void => {
    if (stopped) return
    stopped = true
    logger.warn('steward-superseded', { reason })
    options.onSuperseded(reason)
  }
  const listedEngines = (): ListedInstance[] => {
    const { cells } = cfg.active().fleet
    return directory.engines().filter(engine => cellOf(engine.id, cells) === cell)
  }

  const isStopped = (): boolean => stopped
  const intents = createIntents({ cell, fence, store, peers, logger })
  const orderSender = createOrderSender({ directory, engines: options.engines, clock, logger, isStopped, hasAccount: engine => accounts.has(engine) })
  const ctx: CellLeaderContext = {
    cell, fence, clock, logger, cfg, directory, engines: options.engines, intents, orderSender, loadTimes: createLoadTimes(), accounts, isStopped, supersede, publish
  }
  const ops = createReplicaOps(ctx)
  const { cells } = cfg.active().fleet
  const storeShareClient = createStoreShareClient({ clock, cells, capacity: weightStoreCapacity(cfg), request: options.requestStoreShare })
  const storeLoadLimiter = createLoadLimiter({ clock, maxConcurrent: () => storeShareClient.current().slots, startsPerSecond: () => storeShareClient.current().perSecond })
  // Adapters load in milliseconds, less than a request for a share takes, and a fixed share is seldom exhausted.
  const adapterLoadLimiter = createLoadLimiter({ clock, maxConcurrent: () => Math.max(1, Math.floor(cfg.active().fleet.weightStore.adaptersInFlight / cells)) })
  const autoscaler = createAutoscaler({ ctx, onLoadsChanged: loads => options.onLoadsChanged({ cell, loads }) })
  const scheduler = createScheduler({
    ctx,
    ops,
    pendingDemand,
    history,
    storeLoadLimiter,
    recordStoreDemand: storeShareClient.recordDemand,
    quotaOf: model => quotaOfCell(model, cell, cfg.active().fleet.cells),
    targetReplicas: autoscaler.targetReplicas,
    inheritedCount: model => inheritedReplicas.countOf(model),
    engineOf: directory.engine
  })
  const idleEviction = createIdleEviction({ ctx, ops, history, pendingDemand, targetReplicas: autoscaler.targetReplicas })
  const adapterLoader = createAdapterLoader({ ctx, ops, pendingDemand, loadLimiter: adapterLoadLimiter })
  let isReadingIntents = false
  /** Intents of former leaders. Undefined until all are known; nothing may be decided before. */
  let inheritedIntents: readonly Intent[] | undefined
  const readInheritedIntents = async (): Promise<void> => {
    if (isReadingIntents) return
    isReadingIntents = true
    const found = await intents.readInherited()
    isReadingIntents = false
    if (found === undefined) return
    inheritedIntents = found
    inheritedReplicas.addIntents(found)
    logger.info('intents-inherited', { count: found.length })
  }
  const engineReconciler = createEngineReconciler({
    ctx,
    ops,
    listedEngines,
    readInheritedIntents: intents.readInherited,
    inheritedIntentsOf: engine => (inheritedIntents ?? []).filter(intent => intent.engine === engine),
    areFormerLeadersInactive: options.areFormerLeadersInactive,
    onEngineDropped: engine => { droppedEngines.add(engine) }
  })

  const wallOffsetMs = (): number => clock.now() - clock.monotonic()
  const restoreHistory = async (): Promise<void> => {
    const saved = await store.get(historyKey(cell))
    const read = saved.ok && saved.val !== undefined ? checkInput(savedHistoriesSchema, parseJson(saved.val.value)) : undefined
    if (read?.ok === true) history.restore(read.val, wallOffsetMs())
    else if (read !== undefined) logger.warn('history-refused', { cell, reason: read.val.message })
  }
  const saveHistory = async (): Promise<void> => {
    nextSaveMs = clock.monotonic() + HISTORY_SAVE_INTERVAL_MS
    const value = JSON.stringify(history.save(wallOffsetMs()))
    await store.transact({ compares: [], writes: [{ kind: 'put', key: historyKey(cell), value }] })
  }
  const applyConfiguredVersions = (): void => [...accounts.values()].forEach(account => loadedReplicas(account)
    .filter(replica => !replica.hasOpenOrder && replica.version !== (cfg.model(replica.model)?.version ?? replica.version))
    .forEach(replica => { inBackground('set-version', ops.setVersion(account, replica, cfg.model(replica.model)!.version)) }))
  const statusOf = (model: string): DemandReply => {
    const replicas = [...accounts.values()].flatMap(account => account.replicas.get(model) ?? [])
    if (replicas.some(replica => replica.lifecycle.state() === 'loaded')) return { status: 'loaded', reason: 'already loaded', table: table() }
    if (replicas.some(replica => replica.lifecycle.state() !== 'unloading')) return { status: 'loading', reason: 'already decided', table: table() }
    return { status: 'queued', reason: scheduler.blockedReason(model) ?? 'waits for its turn', table: table() }
  }
  const inheritedReplicas = createInheritedReplicas(options.previousTable, clock)
  inBackground('restore-history', restoreHistory())

  return {
    cell,
    fence,
    table,
    accounts: () => [...accounts.values()],
    openIntents: intents.openIntents,
    requestReplica: req => {
      if (cfg.model(req.model) === undefined) return { status: 'unknown-model', reason: 'not in the configuration' }
      pendingDemand.add(req, clock.monotonic())
      history.recordUse(req.model, clock.monotonic())
      if (inheritedIntents === undefined) return { status: 'queued', reason: 'the steward is taking its cell up' }
      scheduler.run()
      adapterLoader.reconcile()
      return statusOf(req.model)
    },
    recordUsage: report => {
      const nowMs = clock.monotonic()
      Object.keys(report.models).forEach(model => history.recordUse(model, nowMs))
      accounts.forEach(account => {
        loadedReplicas(account).filter(replica => report.models[replica.model] !== undefined).forEach(replica => {
          replica.lastUsedMs = nowMs
          replica.wasUsed = true
        })
        account.adapters.forEach(adapter => { if (report.adapters[adapter.adapter] !== undefined) adapter.lastUsedMs = nowMs })
      })
      const loaded = new Set(table().replicas.map(replica => replica.model))
      return Object.keys(report.models).every(model => loaded.has(model))
    },
    maintain: () => {
      if (stopped) return
      if (inheritedIntents === undefined) {
        inBackground('read-inherited-intents', readInheritedIntents())
        return
      }
      engineReconciler.reconcile()
      inheritedReplicas.update(engine => accounts.has(engine), engine => directory.engine(engine) !== undefined)
      autoscaler.maintain()
      idleEviction.maintain()
      applyConfiguredVersions()
      scheduler.run()
      adapterLoader.reconcile()
      inBackground('flush-deletes', intents.flushDeletes())
      if (clock.monotonic() >= nextSaveMs) inBackground('save-history', saveHistory())
    },
    stop: () => { stopped = true }
  }
}
