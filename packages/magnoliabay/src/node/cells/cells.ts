/**
 * Cells on this instance: claims stewardship where it may, and passes demand to stewards.
 */
import type { BackendDirectory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import type { MemberRecord, Membership, Peers, TerminationDetector } from '../members'
import type { Store } from '../store'
import { createReachabilityProbe } from '../members'
import { parseJson, rankByRendezvous } from '../utils'
import { createAudience } from './loadSubscribers'
import { NOBODY, createClaimer, decideClaim } from './claim'
import type { Holding } from './claim'
import type { CellsConfig } from './context'
import { createHeldIntents } from './intents'
import { cellsOfModel, quotaOfCell } from './quota'
import { CELLS_PREFIX, cellNames, cellOf, demandCall, loadNotice, releaseCall, tableNotice, tablesCall, usageNotice } from './records'
import type { Demand, DemandReply, FormerLeader, ReleaseReply, ReleaseRequest, CellLeaderRecord } from './records'
import { createReplicaRegistry } from './replicaRegistry'
import type { ReplicaRegistry } from './replicaRegistry'
import { createCellLeader, totalOf } from './cellLeader'
import type { CellLeader } from './cellLeader'
import { createShareKeeper, storeShareCall } from './weightStoreShare'
import type { StoreShare } from './weightStoreShare'
import { createUsage } from './usageReporter'

const MAINTENANCE_PERIOD_MS = 500
const USAGE_PERIOD_MS = 1000
/** The member ranked next for a cell waits this much longer before it claims it. */
const RANK_DELAY_MS = 2000
/** Members, as ranked for the cell, that ask again and again whether its steward answers. */
const ASKING_RANKS = 2

export interface CellsOptions {
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

/** What waits at this instance for one model. */
export type LocalDemand = Omit<Demand, 'cell'>

export interface Cells {
  readonly replicas: ReplicaRegistry
  /** Tells the stewards what requests wait for. Any number of calls leads to one load. */
  requestReplica (req: LocalDemand): Promise<DemandReply>
  /** Notes that a model, and an adapter of it, was used, for the stewards' idle decisions. */
  recordUse (model: string, adapter?: string): void
  leaderOf (cell: string): string | undefined
  /** The stewards that run here. */
  localLeaders (): readonly CellLeader[]
  /** Load of an engine as its steward last told, requests. */
  loadOf (engine: string): number
  start (signal: AbortSignal): void
  /** Gives up what this instance is steward of. */
  resign (): Promise<void>
}

export function createCells (options: CellsOptions): Cells {
  const { store, peers, membership, proofs, cfg, clock, logger, directory } = options
  const replicas = createReplicaRegistry()
  const holdings = new Map<string, Holding>()
  const claimableSinceMs = new Map<string, number>()
  const mine = new Map<string, CellLeader>()
  /** Holdings of others that will send nothing any more, by their own word. */
  const released = new Set<string>()
  /** Up to which fencing number this process has given a cell away: a claim that it learns of late is not taken up. */
  const givenAway = new Map<string, number>()
  const loads = new Map<string, Readonly<Record<string, number>>>()
  const claimer = createClaimer(store, peers.self)
  const heldIntents = createHeldIntents(peers)
  const audience = createAudience(peers, clock)
  /** Cells that a claim is being weighed for: asking others takes longer than a period. */
  const claiming = new Set<string>()
  const reach = createReachabilityProbe(peers)
  const usage = createUsage({ peers, replicas, stewardOf: cell => holdings.get(cell)?.record?.holder?.id })
  let hasSnapshot = false
  let givingUp = false

  const cellCount = (): number => cfg.active().fleet.cells
  /** Among those that may claim the cell; the holder that is to be replaced is none of them. */
  const rankOfSelf = (cell: string, holder: string | undefined): number => {
    const candidates = peers.members().filter(member => !member.leaving && member.id !== holder).map(member => member.id)
    return rankByRendezvous(cell, candidates, id => id).indexOf(peers.self.id)
  }
  const releaseName = (cell: string, fence: number): string => `${cell} ${fence}`
  const isAccountedFor = (cell: string, holder: FormerLeader): boolean =>
    released.has(releaseName(cell, holder.fence)) || holder.incarnation === peers.self.incarnation || proofs.proofFor(holder) !== undefined
  const shareKeeper = createShareKeeper(clock, totalOf(cfg))
  const askStoreShare = async (cell: string): Promise<StoreShare | undefined> => {
    const keeper = holdings.get(cellNames(1)[0]!)?.record?.holder
    if (keeper === undefined) return undefined
    const reply = await peers.call(keeper.id, storeShareCall, cell)
    return reply.ok ? reply.val : undefined
  }
  const takeOffice = (cell: string, holding: Holding): void => {
    const { record, modRevision: fence } = holding
    if (record === undefined || mine.has(cell) || givingUp || fence <= (givenAway.get(cell) ?? 0)) return
    logger.info('steward-claimed', { cell, fence, unproven: record.unproven.map(process => process.incarnation) })
    mine.set(cell, createCellLeader({
      ...options,
      cell,
      fence,
      before: replicas.tables().find(table => table.cell === cell),
      askStoreShare: () => askStoreShare(cell),
      areAllAccountedFor: () => record.unproven.every(former => isAccountedFor(cell, former)),
      onTable: replicas.applyTable,
      onLoads: notice => {
        loads.set(cell, notice.loads)
        audience.tell(notice)
      },
      onSuperseded: () => { mine.delete(cell) }
    }))
  }
  const askRelease = async (cell: string, holder: FormerLeader): Promise<boolean> => {
    if (!peers.isConnected(holder.member)) return false
    const reply = await peers.call(holder.member, releaseCall, { cell, incarnation: holder.incarnation, fence: holder.fence })
    if (reply.err || !reply.val.released) return false
    released.add(releaseName(cell, holder.fence))
    return true
  }
  /**
   * Where not everybody holds a link to everybody, a member can't see that a holder far away has gone; so those
   * who would claim the cell first ask.
   */
  const suspects = async (cell: string, holding: Holding): Promise<boolean> => {
    const holder = holding.record?.holder
    if (holder === undefined || holder.id === peers.self.id) return false
    if (peers.isConnected(holder.id) && rankOfSelf(cell, holder.id) >= ASKING_RANKS) return false
    return await reach.isUnreachable(holder.id)
  }
  const tryClaim = async (cell: string): Promise<void> => {
    const holding = holdings.get(cell) ?? NOBODY
    const isOutOfReach = await suspects(cell, holding)
    const right = decideClaim({
      holding,
      self: peers.self,
      proofs,
      isRegistered: process => membership.isRegistered(process.incarnation),
      hasFencedEngines: directory.engines().some(engine => engine.checksFence === true && cellOf(engine.id, cellCount()) === cell),
      isOutOfReach
    })
    if (right.kind === 'held') {
      claimableSinceMs.delete(cell)
      return
    }
    const sinceMs = claimableSinceMs.get(cell) ?? clock.monotonic()
    claimableSinceMs.set(cell, sinceMs)
    if (clock.monotonic() - sinceMs < rankOfSelf(cell, holding.record?.holder?.id) * RANK_DELAY_MS) return
    if (right.kind === 'ask' && !await askRelease(cell, formerOf(right.holder, holding.modRevision))) return
    const unproven = right.kind === 'ask' ? holding.record?.unproven ?? [] : right.unproven
    const claimed = await claimer.claim(cell, holding, unproven)
    if (claimed !== undefined) setHolding(cell, claimed)
  }
  /** Former holders that were only paused say themselves that they act no more. */
  const askUnproven = (cell: string): void => (holdings.get(cell)?.record?.unproven ?? [])
    .filter(former => !isAccountedFor(cell, former))
    .forEach(former => { askRelease(cell, former) })
  const tend = (): void => {
    if (givingUp || cfg.active().version === 0) return
    if (hasSnapshot && membership.leaseId() !== undefined && !peers.self.leaving) {
      const others = cellNames(cellCount()).filter(cell => !mine.has(cell) && !claiming.has(cell))
      others.forEach(cell => {
        claiming.add(cell)
        tryClaim(cell).finally(() => claiming.delete(cell))
      })
    }
    mine.forEach(steward => {
      askUnproven(steward.cell)
      steward.tend()
    })
  }
  const setHolding = (cell: string, holding: Holding): void => {
    const known = holdings.get(cell)
    if (known !== undefined && known.modRevision > holding.modRevision) return
    holdings.set(cell, holding)
    heldIntents.noteFence(cell, holding.modRevision)
    const { record } = holding
    if (record?.holder !== undefined) proofs.observeProcess(record.holder)
    const steward = mine.get(cell)
    if (steward !== undefined && steward.fence !== holding.modRevision) {
      logger.warn('steward-lost', { cell, to: record?.holder?.id })
      steward.stop()
      mine.delete(cell)
    }
    if (record !== undefined && claimer.isOwn(record)) takeOffice(cell, holding)
  }
  const noteEntry = (entry: { key: string, value: string, modRevision: number }): void => {
    const [cell, kind] = entry.key.slice(CELLS_PREFIX.length).split('/')
    if (cell === undefined || kind !== 'steward') return
    const record = parseJson(entry.value) as CellLeaderRecord | undefined
    if (record === undefined) return logger.error('steward-record-refused', { cell })
    setHolding(cell, { record, modRevision: entry.modRevision })
  }
  const demand = async (req: LocalDemand): Promise<DemandReply> => {
    const model = cfg.model(req.model)
    if (model === undefined) return { status: 'unknown-model', reason: 'not in the configuration' }
    const cells = cellsOfModel(req.model, cellCount()).filter(cell => quotaOfCell(model, cell, cellCount()) > 0)
    let last: DemandReply = { status: 'not-steward', reason: 'no cell has a steward yet' }
    for (const cell of cells) {
      const holder = holdings.get(cell)?.record?.holder
      if (holder === undefined) continue
      const reply = await peers.call(holder.id, demandCall, { cell, ...req })
      last = reply.ok ? reply.val : { status: 'not-steward', reason: reply.val.message }
      if (last.table !== undefined) replicas.applyTable(last.table)
      if (last.status !== 'not-steward' && last.status !== 'no-room') return last
    }
    return last
  }
  const release = ({ cell, incarnation, fence }: ReleaseRequest): ReleaseReply => {
    // A process that has been restarted since is not the one that is asked.
    if (incarnation !== peers.self.incarnation) return { released: false, open: [] }
    const steward = mine.get(cell)
    const holds = steward !== undefined && steward.fence === fence
    // Its lease stands again, so it goes on: whoever asked has an old view.
    if (holds && membership.leaseId() !== undefined && isStillHeldHere(cell)) return { released: false, open: [] }
    givenAway.set(cell, Math.max(fence, givenAway.get(cell) ?? 0))
    if (!holds) return { released: true, open: [] }
    const open = steward.open()
    steward.stop()
    mine.delete(cell)
    return { released: true, open }
  }
  const isStillHeldHere = (cell: string): boolean => holdings.get(cell)?.record?.holder?.incarnation === peers.self.incarnation

  peers.serve(demandCall, req => mine.get(req.cell)?.demand(req) ?? { status: 'not-steward', reason: 'not steward here' })
  peers.serve(releaseCall, release)
  peers.serve(tablesCall, () => replicas.tables())
  peers.listen(tableNotice, replicas.applyTable)
  peers.listen(loadNotice, notice => { loads.set(notice.cell, notice.loads) })
  peers.serve(storeShareCall, shareKeeper.shareOf)
  /** A notice of a table may be lost, and an unload with it: whoever goes by an old table is told the new one. */
  peers.listen(usageNotice, (report, from) => {
    const steward = mine.get(report.cell)
    if (steward !== undefined) audience.noteUser(report.cell, from.id)
    if (steward !== undefined && !steward.noteUsed(report)) peers.notify(from.id, tableNotice, steward.table())
  })
  peers.onConnected(async member => {
    const tables = await peers.call(member.id, tablesCall, null)
    if (tables.ok) tables.val.forEach(replicas.applyTable)
  })

  return {
    replicas,
    requestReplica: demand,
    recordUse: usage.note,
    leaderOf: cell => holdings.get(cell)?.record?.holder?.id,
    localLeaders: () => [...mine.values()],
    loadOf: engine => [...loads.values()].find(cell => cell[engine] !== undefined)?.[engine] ?? 0,
    start: signal => {
      store.watch(CELLS_PREFIX, {
        onSnapshot: snapshot => {
          hasSnapshot = true
          snapshot.entries.forEach(noteEntry)
        },
        onEvent: event => { if (event.kind === 'put') noteEntry(event) }
      }, signal)
      signal.addEventListener('abort', () => mine.forEach(steward => steward.stop()), { once: true })
      repeat(clock, MAINTENANCE_PERIOD_MS, signal, tend)
      repeat(clock, USAGE_PERIOD_MS, signal, () => usage.report([...mine.values()]))
    },
    resign: async () => {
      givingUp = true
      const stewards = [...mine.values()]
      stewards.forEach(steward => steward.stop())
      mine.clear()
      await Promise.all(stewards.map(steward => claimer.giveUp(steward.cell, steward.fence, holdings.get(steward.cell)?.record?.unproven ?? [])))
    }
  }
}

function formerOf (holder: MemberRecord, fence: number): FormerLeader {
  return { member: holder.id, incarnation: holder.incarnation, fence }
}
