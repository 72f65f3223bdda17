/**
 * The cells as seen by this instance: claims the leadership of cells, runs their leaders, and sends demand to the
 * leaders on other members.
 */
import { checkInput } from '../inputs'
import type { InputMonitor } from '../inputs'
import { inBackground } from '../background'
import type { BackendDirectory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import type { MemberRecord, Membership, Peers, TerminationDetector } from '../members'
import type { Store } from '../store'
import { createReachabilityProbe } from '../members'
import { parseJson, rankByRendezvous } from '../utils'
import { createLoadSubscribers } from './loadSubscribers'
import { NO_LEADERSHIP, createClaimer, decideClaim } from './claim'
import type { Leadership } from './claim'
import type { CellsConfig } from './context'
import { createHeldIntents } from './intents'
import { cellsOfModel, quotaOfCell } from './quota'
import { CELLS_PREFIX, cellLeaderSchema, cellNames, cellOf, demandCall, loadNotice, releaseCall, tableNotice, tablesCall, usageNotice } from './records'
import type { Demand, DemandReply, FormerLeader, ReleaseReply, ReleaseRequest } from './records'
import { createReplicaRegistry } from './replicaRegistry'
import type { ReplicaRegistry } from './replicaRegistry'
import { createCellLeader, weightStoreCapacity } from './cellLeader'
import type { CellLeader } from './cellLeader'
import { createStoreShareAllocator, storeShareCall } from './weightStoreShare'
import type { StoreShare } from './weightStoreShare'
import { createUsageReporter } from './usageReporter'

const MAINTENANCE_INTERVAL_MS = 500
const USAGE_REPORT_INTERVAL_MS = 1000
/** Each further rank for a cell waits this much longer before it claims the cell. */
const CLAIM_DELAY_PER_RANK_MS = 2000
/** Number of members, in rank order for a cell, that probe its leader even while they are connected to it. */
const PROBING_RANKS = 2

export interface CellsOptions {
  /** Logs and counts records that cannot be read. @default those of leaders are logged only */
  inputs?: Pick<InputMonitor, 'countRefused' | 'recordRefused'>
  store: Store
  peers: Peers
  membership: Pick<Membership, 'leaseId' | 'isRegistered'>
  proofs: TerminationDetector
  directory: BackendDirectory
  engines: EngineClient
  cfg: CellsConfig
  clock: Clock
  logger: Logger
}

/** Requests that wait at this instance for one model. */
export type LocalDemand = Omit<Demand, 'cell'>

export interface Cells {
  readonly replicas: ReplicaRegistry
  /** Asks the cell leaders for a replica of a model. Repeated calls lead to one load. */
  requestReplica (req: LocalDemand): Promise<DemandReply>
  /** Records a use of a model and adapter. Cell leaders decide about idle replicas by it. */
  recordUse (model: string, adapter?: string): void
  leaderOf (cell: string): string | undefined
  /** The cell leaders that run on this instance. */
  localLeaders (): readonly CellLeader[]
  /** Requests that run or wait on an engine, as its cell leader last published. */
  loadOf (engine: string): number
  start (signal: AbortSignal): void
  /** Stops the local leaders and releases their cells. */
  resign (): Promise<void>
}

export function createCells (options: CellsOptions): Cells {
  const { store, peers, membership, proofs, cfg, clock, logger, directory } = options
  const replicas = createReplicaRegistry()
  const leaderships = new Map<string, Leadership>()
  const claimableSinceMs = new Map<string, number>()
  const localLeaders = new Map<string, CellLeader>()
  /** Former leaderships whose process has confirmed that it sends no more orders. */
  const releasedLeaderships = new Set<string>()
  /**
   * Highest fencing token under which this process has released each cell. A claim of its own that the watch
   * delivers only after the release is ignored.
   */
  const releasedFences = new Map<string, number>()
  const loads = new Map<string, Readonly<Record<string, number>>>()
  const claimer = createClaimer(store, peers.self, options.inputs)
  const heldIntents = createHeldIntents(peers)
  const loadSubscribers = createLoadSubscribers(peers, clock)
  /** Cells with a claim under way. A probe through other members takes longer than one maintenance interval. */
  const claimsInProgress = new Set<string>()
  const reachabilityProbe = createReachabilityProbe(peers)
  const usageReporter = createUsageReporter({ peers, replicas, leaderOf: cell => leaderships.get(cell)?.record?.holder?.id })
  let hasSnapshot = false
  let isResigning = false

  const cellCount = (): number => cfg.active().fleet.cells
  /** Rank of this instance among the members that may claim the cell. Excludes the leader that would be replaced. */
  const ownRank = (cell: string, leader: string | undefined): number => {
    const candidates = peers.members().filter(member => !member.leaving && member.id !== leader).map(member => member.id)
    return rankByRendezvous(cell, candidates, id => id).indexOf(peers.self.id)
  }
  const leadershipKey = (cell: string, fence: number): string => `${cell} ${fence}`
  const isInactive = (cell: string, former: FormerLeader): boolean =>
    releasedLeaderships.has(leadershipKey(cell, former.fence)) || former.incarnation === peers.self.incarnation || proofs.proofFor(former) !== undefined
  const storeShareAllocator = createStoreShareAllocator(clock, weightStoreCapacity(cfg))
  const requestStoreShare = async (cell: string): Promise<StoreShare | undefined> => {
    const allocator = leaderships.get(cellNames(1)[0]!)?.record?.holder
    if (allocator === undefined) return undefined
    const reply = await peers.call(allocator.id, storeShareCall, cell)
    return reply.ok ? reply.val : undefined
  }
  const startLeader = (cell: string, leadership: Leadership): void => {
    const { record, modRevision: fence } = leadership
    if (record === undefined || localLeaders.has(cell) || isResigning || fence <= (releasedFences.get(cell) ?? 0)) return
    logger.info('steward-claimed', { cell, fence, unproven: record.unproven.map(process => process.incarnation) })
    localLeaders.set(cell, createCellLeader({
      ...options,
      cell,
      fence,
      previousTable: replicas.tables().find(table => table.cell === cell),
      requestStoreShare: () => requestStoreShare(cell),
      areFormerLeadersInactive: () => record.unproven.every(former => isInactive(cell, former)),
      onTablePublished: replicas.applyTable,
      onLoadsChanged: notice => {
        loads.set(cell, notice.loads)
        loadSubscribers.publish(notice)
      },
      onSuperseded: () => { localLeaders.delete(cell) }
    }))
  }
  const requestRelease = async (cell: string, former: FormerLeader): Promise<boolean> => {
    if (!peers.isConnected(former.member)) return false
    const reply = await peers.call(former.member, releaseCall, { cell, incarnation: former.incarnation, fence: former.fence })
    if (reply.err || !reply.val.released) return false
    releasedLeaderships.add(leadershipKey(cell, former.fence))
    return true
  }
  /**
   * Not every member has a link to every other, so a member can't see by itself that a distant leader has failed. The
   * first members in rank order ask others to probe it.
   */
  const isLeaderUnreachable = async (cell: string, leadership: Leadership): Promise<boolean> => {
    const leader = leadership.record?.holder
    if (leader === undefined || leader.id === peers.self.id) return false
    if (peers.isConnected(leader.id) && ownRank(cell, leader.id) >= PROBING_RANKS) return false
    return await reachabilityProbe.isUnreachable(leader.id)
  }
  const tryClaim = async (cell: string): Promise<void> => {
    const leadership = leaderships.get(cell) ?? NO_LEADERSHIP
    const isUnreachable = await isLeaderUnreachable(cell, leadership)
    const decision = decideClaim({
      leadership,
      self: peers.self,
      proofs,
      isRegistered: process => membership.isRegistered(process.incarnation),
      hasFencedEngines: directory.engines().some(engine => engine.checksFence === true && cellOf(engine.id, cellCount()) === cell),
      isLeaderUnreachable: isUnreachable
    })
    if (decision.kind === 'held') {
      claimableSinceMs.delete(cell)
      return
    }
    const sinceMs = claimableSinceMs.get(cell) ?? clock.monotonic()
    claimableSinceMs.set(cell, sinceMs)
    if (clock.monotonic() - sinceMs < ownRank(cell, leadership.record?.holder?.id) * CLAIM_DELAY_PER_RANK_MS) return
    if (decision.kind === 'ask' && !await requestRelease(cell, formerLeaderOf(decision.leader, leadership.modRevision))) return
    const unproven = decision.kind === 'ask' ? leadership.record?.unproven ?? [] : decision.unproven
    const claimed = await claimer.claim(cell, leadership, unproven)
    if (claimed !== undefined) setLeadership(cell, claimed)
  }
  /** Asks former leaders for a release: one that was only paused confirms that it sends no more orders. */
  const requestUnprovenReleases = (cell: string): void => (leaderships.get(cell)?.record?.unproven ?? [])
    .filter(former => !isInactive(cell, former))
    .forEach(former => { inBackground('request-release', requestRelease(cell, former)) })
  const maintain = (): void => {
    if (isResigning || cfg.active().version === 0) return
    if (hasSnapshot && membership.leaseId() !== undefined && !peers.self.leaving) {
      const others = cellNames(cellCount()).filter(cell => !localLeaders.has(cell) && !claimsInProgress.has(cell))
      others.forEach(cell => {
        claimsInProgress.add(cell)
        inBackground('try-claim', tryClaim(cell).finally(() => claimsInProgress.delete(cell)))
      })
    }
    localLeaders.forEach(leader => {
      requestUnprovenReleases(leader.cell)
      leader.maintain()
    })
  }
  const setLeadership = (cell: string, leadership: Leadership): void => {
    const known = leaderships.get(cell)
    if (known !== undefined && known.modRevision > leadership.modRevision) return
    leaderships.set(cell, leadership)
    heldIntents.recordFence(cell, leadership.modRevision)
    const { record } = leadership
    if (record?.holder !== undefined) proofs.observeProcess(record.holder)
    const leader = localLeaders.get(cell)
    if (leader !== undefined && leader.fence !== leadership.modRevision) {
      logger.warn('steward-lost', { cell, to: record?.holder?.id })
      leader.stop()
      localLeaders.delete(cell)
    }
    if (record !== undefined && claimer.isOwn(record)) startLeader(cell, leadership)
  }
  const applyEntry = (entry: { key: string, value: string, modRevision: number }): void => {
    const [cell, kind] = entry.key.slice(CELLS_PREFIX.length).split('/')
    if (cell === undefined || kind !== 'steward') return
    const record = checkInput(cellLeaderSchema, parseJson(entry.value))
    if (record.err) {
      options.inputs?.countRefused('store-value')
      return logger.error('steward-record-refused', { cell, reason: record.val.message })
    }
    setLeadership(cell, { record: record.val, modRevision: entry.modRevision })
  }
  const sendDemand = async (req: LocalDemand): Promise<DemandReply> => {
    const model = cfg.model(req.model)
    if (model === undefined) return { status: 'unknown-model', reason: 'not in the configuration' }
    const cells = cellsOfModel(req.model, cellCount()).filter(cell => quotaOfCell(model, cell, cellCount()) > 0)
    let lastReply: DemandReply = { status: 'not-steward', reason: 'no cell has a steward yet' }
    for (const cell of cells) {
      const leader = leaderships.get(cell)?.record?.holder
      if (leader === undefined) continue
      const reply = await peers.call(leader.id, demandCall, { cell, ...req })
      lastReply = reply.ok ? reply.val : { status: 'not-steward', reason: reply.val.message }
      if (lastReply.table !== undefined) replicas.applyTable(lastReply.table)
      if (lastReply.status !== 'not-steward' && lastReply.status !== 'no-room') return lastReply
    }
    return lastReply
  }
  const handleRelease = ({ cell, incarnation, fence }: ReleaseRequest): ReleaseReply => {
    // The request names an earlier process of this member.
    if (incarnation !== peers.self.incarnation) return { released: false, open: [] }
    const leader = localLeaders.get(cell)
    const isCurrent = leader !== undefined && leader.fence === fence
    // The lease is valid again and the store still names this process: the sender has an outdated view.
    if (isCurrent && membership.leaseId() !== undefined && isOwnLeadership(cell)) return { released: false, open: [] }
    releasedFences.set(cell, Math.max(fence, releasedFences.get(cell) ?? 0))
    if (!isCurrent) return { released: true, open: [] }
    const open = leader.openIntents()
    leader.stop()
    localLeaders.delete(cell)
    return { released: true, open }
  }
  const isOwnLeadership = (cell: string): boolean => leaderships.get(cell)?.record?.holder?.incarnation === peers.self.incarnation

  peers.serve(demandCall, req => localLeaders.get(req.cell)?.requestReplica(req) ?? { status: 'not-steward', reason: 'not steward here' })
  peers.serve(releaseCall, handleRelease)
  peers.serve(tablesCall, () => replicas.tables())
  peers.listen(tableNotice, replicas.applyTable)
  peers.listen(loadNotice, notice => { loads.set(notice.cell, notice.loads) })
  peers.serve(storeShareCall, storeShareAllocator.allocate)
  /** A table notice may be lost, and with it an unload. A member that reports by an outdated table gets the current one. */
  peers.listen(usageNotice, (report, from) => {
    const leader = localLeaders.get(report.cell)
    if (leader !== undefined) loadSubscribers.subscribe(report.cell, from.id)
    if (leader !== undefined && !leader.recordUsage(report)) peers.notify(from.id, tableNotice, leader.table())
  })
  const fetchTables = async (memberId: string): Promise<void> => {
    const tables = await peers.call(memberId, tablesCall, null)
    if (tables.ok) tables.val.forEach(replicas.applyTable)
  }
  peers.onConnected(member => { inBackground('fetch-tables', fetchTables(member.id)) })

  return {
    replicas,
    requestReplica: sendDemand,
    recordUse: usageReporter.recordUse,
    leaderOf: cell => leaderships.get(cell)?.record?.holder?.id,
    localLeaders: () => [...localLeaders.values()],
    loadOf: engine => [...loads.values()].find(cell => cell[engine] !== undefined)?.[engine] ?? 0,
    start: signal => {
      store.watch(CELLS_PREFIX, {
        onSnapshot: snapshot => {
          hasSnapshot = true
          snapshot.entries.forEach(applyEntry)
        },
        onEvent: event => { if (event.kind === 'put') applyEntry(event) }
      }, signal)
      signal.addEventListener('abort', () => localLeaders.forEach(leader => leader.stop()), { once: true })
      inBackground('cells-loop', repeat(clock, MAINTENANCE_INTERVAL_MS, signal, maintain))
      inBackground('cells-loop', repeat(clock, USAGE_REPORT_INTERVAL_MS, signal, () => usageReporter.report([...localLeaders.values()])))
    },
    resign: async () => {
      isResigning = true
      const leaders = [...localLeaders.values()]
      leaders.forEach(leader => leader.stop())
      localLeaders.clear()
      await Promise.all(leaders.map(leader => claimer.release(leader.cell, leader.fence, leaderships.get(leader.cell)?.record?.unproven ?? [])))
    }
  }
}

function formerLeaderOf (leader: MemberRecord, fence: number): FormerLeader {
  return { member: leader.id, incarnation: leader.incarnation, fence }
}
