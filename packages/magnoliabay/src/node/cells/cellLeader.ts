/**
 * The steward of a cell: it alone decides replicas there, keeps the memory account and sends orders.
 */
import type { BackendDirectory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { ListedInstance, Store } from '../store'
import type { EngineAccount } from './engineAccount'
import { loadedReplicas } from './engineAccount'
import { createAdapterCare } from './adapterLoader'
import type { CellsConfig, CellLeaderContext } from './context'
import { createEngineCare, isUsable } from './engineReconciler'
import { createGapHistory } from './keepAlivePolicy'
import type { SavedHistory } from './keepAlivePolicy'
import { createIdleCare } from './idleEviction'
import { createIntents } from './intents'
import { createLoadCare } from './autoscaler'
import { createLoadTimes } from './loadTimes'
import { createOrderSender } from './orderSender'
import { quotaOfCell } from './quota'
import { cellOf, historyKey, tableNotice } from './records'
import type { Demand, DemandReply, Intent, LoadNotice, ReplicaEntry, ReplicaTable, UsageReport } from './records'
import { createRemembered } from './inheritedReplicas'
import { createReplicaOps } from './replicaOps'
import { createScheduler } from './scheduler'
import { createSlots } from './loadLimiter'
import { createShareHolder } from './weightStoreShare'
import type { StoreShare } from './weightStoreShare'
import { createWants } from './pendingDemand'

export interface StewardOptions {
  cell: string
  /** Modification revision of the steward key when it was claimed. */
  fence: number
  store: Store
  directory: BackendDirectory
  engines: EngineClient
  cfg: CellsConfig
  peers: Peers
  clock: Clock
  logger: Logger
  /** What was known to be loaded in the cell before this steward. */
  before: ReplicaTable | undefined
  /** Whether every earlier holder is proven gone or has given the cell up. */
  areAllAccountedFor: () => boolean
  /** Asks for the cell's part of the weight store; undefined when nobody answered. */
  askStoreShare: () => Promise<StoreShare | undefined>
  onTable: (table: ReplicaTable) => void
  /** The load of the cell's engines has changed. */
  onLoads: (notice: LoadNotice) => void
  onSuperseded: (reason: string) => void
}

export interface CellLeader {
  readonly cell: string
  readonly fence: number
  demand (req: Omit<Demand, 'cell'>): DemandReply
  /** False when the report names a model that is not loaded here: the sender has an old table. */
  noteUsed (report: UsageReport): boolean
  table (): ReplicaTable
  accounts (): readonly EngineAccount[]
  /** Intents whose orders may still be under way. */
  open (): readonly Intent[]
  /** Does what is due: looks at engines, loads, unloads. */
  tend (): void
  stop (): void
}

/** What the weight store gives to all cells together. */
export function totalOf (cfg: CellsConfig): () => StoreShare {
  return () => {
    const { fullSpeedLoads, loadsPerSecond } = cfg.active().fleet.weightStore
    return { slots: fullSpeedLoads, perSecond: loadsPerSecond }
  }
}

/** How often what was learned about gaps is saved. */
const SAVE_PERIOD_MS = 60_000

export function createCellLeader (options: StewardOptions): CellLeader {
  const { cell, fence, store, clock, peers, cfg, directory } = options
  const logger = options.logger.with({ cell, fence })
  const accounts = new Map<string, EngineAccount>()
  const givenUp = new Set<string>()
  const history = createGapHistory()
  const wants = createWants()
  let tableVersion = 0
  let stopped = false
  let nextSaveMs = clock.monotonic() + SAVE_PERIOD_MS

  /** Replicas on engines that are not taken up yet, as the steward before said: they go on serving meanwhile. */
  const rememberedReplicas = (): ReplicaEntry[] => (options.before?.replicas ?? []).filter(({ engine }) =>
    !accounts.has(engine) && !givenUp.has(engine) && directory.engine(engine)?.status === 'live')
  const replicasOf = (account: EngineAccount): ReplicaEntry[] => {
    const listed = directory.engine(account.engine)
    if (listed === undefined || listed.status === 'leaving' || !isUsable(account)) return []
    const adapters = [...account.adapters.values()].filter(adapter => adapter.isLoaded)
    return loadedReplicas(account).map(({ engine, model, version }) => ({
      engine,
      address: listed.address,
      failureDomain: listed.failureDomain,
      model,
      version,
      adapters: adapters.filter(adapter => adapter.model === model).map(adapter => adapter.adapter)
    }))
  }
  const table = (): ReplicaTable => ({ cell, fence, version: tableVersion, replicas: [...rememberedReplicas(), ...[...accounts.values()].flatMap(replicasOf)] })
  const publish = (): void => {
    if (stopped) return
    tableVersion += 1
    const current = table()
    options.onTable(current)
    peers.notifyAll(tableNotice, current)
  }
  const supersede = (reason: string): void => {
    if (stopped) return
    stopped = true
    logger.warn('steward-superseded', { reason })
    options.onSuperseded(reason)
  }
  const listed = (): ListedInstance[] => {
    const { cells } = cfg.active().fleet
    return directory.engines().filter(engine => cellOf(engine.id, cells) === cell)
  }

  const isStopped = (): boolean => stopped
  const intents = createIntents({ cell, fence, store, peers, logger })
  const sender = createOrderSender({ directory, engines: options.engines, clock, logger, isStopped, isKept: engine => accounts.has(engine) })
  const ctx: CellLeaderContext = {
    cell, fence, clock, logger, cfg, directory, engines: options.engines, intents, sender, times: createLoadTimes(), accounts, isStopped, supersede, publish
  }
  const ops = createReplicaOps(ctx)
  const { cells } = cfg.active().fleet
  const storeShare = createShareHolder({ clock, cells, total: totalOf(cfg), ask: options.askStoreShare })
  const storeSlots = createSlots({ clock, limit: () => storeShare.current().slots, perSecond: () => storeShare.current().perSecond })
  // Adapters load in milliseconds: no time to ask, and a fixed part is seldom full.
  const adapterSlots = createSlots({ clock, limit: () => Math.max(1, Math.floor(cfg.active().fleet.weightStore.adaptersInFlight / cells)) })
  const loadCare = createLoadCare({ ctx, onLoads: loads => options.onLoads({ cell, loads }) })
  const scheduler = createScheduler({
    ctx,
    ops,
    wants,
    history,
    storeSlots,
    noteStoreWanted: storeShare.noteWanting,
    quotaOf: model => quotaOfCell(model, cell, cfg.active().fleet.cells),
    targetOf: loadCare.targetOf,
    rememberedOf: model => remembered.countOf(model),
    engineOf: directory.engine
  })
  const idleCare = createIdleCare({ ctx, ops, history, wants, targetOf: loadCare.targetOf })
  const adapterCare = createAdapterCare({ ctx, ops, wants, slots: adapterSlots })
  /** What earlier stewards had recorded; undefined while not all of it is known, and nothing may be decided. */
  let isInheriting = false
  let inherited: readonly Intent[] | undefined
  const inherit = async (): Promise<void> => {
    if (isInheriting) return
    isInheriting = true
    const found = await intents.earlier()
    isInheriting = false
    if (found === undefined) return
    inherited = found
    remembered.addIntents(found)
    logger.info('intents-inherited', { count: found.length })
  }
  const engineCare = createEngineCare({
    ctx,
    ops,
    listed,
    earlier: intents.earlier,
    inheritedOf: engine => (inherited ?? []).filter(intent => intent.engine === engine),
    areAllAccountedFor: options.areAllAccountedFor,
    onGivenUp: engine => { givenUp.add(engine) }
  })

  const wallOffsetMs = (): number => clock.now() - clock.monotonic()
  const restore = async (): Promise<void> => {
    const saved = await store.get(historyKey(cell))
    if (saved.ok && saved.val !== undefined) history.restore(JSON.parse(saved.val.value) as Record<string, SavedHistory>, wallOffsetMs())
  }
  const save = async (): Promise<void> => {
    nextSaveMs = clock.monotonic() + SAVE_PERIOD_MS
    const value = JSON.stringify(history.save(wallOffsetMs()))
    await store.transact({ compares: [], writes: [{ kind: 'put', key: historyKey(cell), value }] })
  }
  const setVersions = (): void => [...accounts.values()].forEach(account => loadedReplicas(account)
    .filter(replica => !replica.hasOpenOrder && replica.version !== (cfg.model(replica.model)?.version ?? replica.version))
    .forEach(replica => { ops.setVersion(account, replica, cfg.model(replica.model)!.version) }))
  const statusOf = (model: string): DemandReply => {
    const held = [...accounts.values()].flatMap(account => account.replicas.get(model) ?? [])
    if (held.some(replica => replica.life.state() === 'loaded')) return { status: 'loaded', reason: 'already loaded', table: table() }
    if (held.some(replica => replica.life.state() !== 'unloading')) return { status: 'loading', reason: 'already decided', table: table() }
    return { status: 'queued', reason: scheduler.blockedReason(model) ?? 'waits for its turn', table: table() }
  }
  const remembered = createRemembered(options.before, clock)
  restore()

  return {
    cell,
    fence,
    table,
    accounts: () => [...accounts.values()],
    open: intents.open,
    demand: req => {
      if (cfg.model(req.model) === undefined) return { status: 'unknown-model', reason: 'not in the configuration' }
      wants.add(req, clock.monotonic())
      history.noteUse(req.model, clock.monotonic())
      if (inherited === undefined) return { status: 'queued', reason: 'the steward is taking its cell up' }
      scheduler.run()
      adapterCare.run()
      return statusOf(req.model)
    },
    noteUsed: report => {
      const nowMs = clock.monotonic()
      Object.keys(report.models).forEach(model => history.noteUse(model, nowMs))
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
    tend: () => {
      if (stopped) return
      if (inherited === undefined) {
        inherit()
        return
      }
      engineCare.tend()
      remembered.update(engine => accounts.has(engine), engine => directory.engine(engine) !== undefined)
      loadCare.tend()
      idleCare.tend()
      setVersions()
      scheduler.run()
      adapterCare.run()
      intents.flush()
      if (clock.monotonic() >= nextSaveMs) save()
    },
    stop: () => { stopped = true }
  }
}
