/**
 * Cells on this instance: claims stewardship where nobody holds it, and passes demand to stewards.
 */
import type { Directory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { ConfigHolder } from '../config'
import type { Logger } from '../logger'
import type { Membership, Peers } from '../members'
import type { Store } from '../platform'
import { rankByRendezvous } from '../utils'
import { CELLS_PREFIX, cellNames, demandCall, stewardKey, tableNotice, tablesCall, usageNotice } from './records'
import type { DemandReply, StewardRecord } from './records'
import { createReplicas } from './replicas'
import type { Replicas } from './replicas'
import { createSteward } from './steward'
import type { Steward } from './steward'

const TEND_PERIOD_MS = 500
const USAGE_PERIOD_MS = 5000

export interface CellsOptions {
  store: Store
  peers: Peers
  membership: Membership
  directory: Directory
  engines: EngineClient
  cfg: ConfigHolder
  clock: Clock
  logger: Logger
}

export interface Cells {
  readonly replicas: Replicas
  /** Tells the stewards that requests wait for `model`. Any number of calls leads to one load. */
  demand (model: string, waiting: number): Promise<DemandReply>
  /** Notes that `model` was used, for the stewards' idle decisions. */
  noteUsed (model: string): void
  stewardOf (cell: string): string | undefined
  start (signal: AbortSignal): void
  /** Gives up what this instance is steward of. */
  handOver (): Promise<void>
}

export function createCells (options: CellsOptions): Cells {
  const { store, peers, membership, cfg, clock, logger } = options
  const replicas = createReplicas()
  const holders = new Map<string, StewardRecord>()
  const mine = new Map<string, Steward>()
  const usedSinceReport = new Set<string>()
  let givingUp = false

  const names = (): string[] => cellNames(cfg.inForce().fleet.cells)
  const isPreferred = (cell: string): boolean => {
    const candidates = peers.members().filter(member => !member.leaving).map(member => member.id)
    return rankByRendezvous(cell, candidates, id => id)[0] === peers.self.id
  }
  const claim = async (cell: string): Promise<void> => {
    const leaseId = membership.leaseId()
    if (leaseId === undefined) return
    const record: StewardRecord = { member: peers.self.id, incarnation: peers.self.incarnation }
    const claimed = await store.transact({
      compares: [{ key: stewardKey(cell), target: 'create', equals: 0 }],
      writes: [{ kind: 'put', key: stewardKey(cell), value: JSON.stringify(record), leaseId }]
    }, { priority: 'ownership' })
    if (claimed.err || !claimed.val.succeeded) return
    const fence = claimed.val.revision
    logger.info('steward-claimed', { cell, fence })
    mine.set(cell, createSteward({ ...options, cell, fence, onTable: replicas.take }))
  }
  const tend = async (): Promise<void> => {
    if (givingUp || cfg.inForce().version === 0) return
    const unheld = names().filter(cell => !holders.has(cell) && !mine.has(cell) && isPreferred(cell))
    await Promise.all(unheld.map(claim))
    await Promise.all([...mine.values()].map(steward => steward.tend()))
  }
  const loseTo = (cell: string, record: StewardRecord | undefined): void => {
    const steward = mine.get(cell)
    if (steward === undefined || record?.incarnation === peers.self.incarnation) return
    logger.warn('steward-lost', { cell, to: record?.member })
    steward.stop()
    mine.delete(cell)
  }
  const setHolder = (key: string, value: string | undefined): void => {
    const [cell, kind] = key.slice(CELLS_PREFIX.length).split('/')
    if (cell === undefined || kind !== 'steward') return
    const record = value === undefined ? undefined : JSON.parse(value) as StewardRecord
    if (record === undefined) holders.delete(cell)
    else holders.set(cell, record)
    loseTo(cell, record)
  }
  const reportUsage = (): void => {
    if (usedSinceReport.size === 0) return
    const models = [...usedSinceReport]
    usedSinceReport.clear()
    mine.forEach(steward => steward.noteUsed(models))
    peers.notifyAll(usageNotice, { models })
  }
  const demand = async (model: string, waiting: number): Promise<DemandReply> => {
    const cell = rankByRendezvous(model, names(), name => name)[0]!
    const holder = holders.get(cell)
    if (holder === undefined) return { status: 'not-steward', reason: `${cell} has no steward yet` }
    const reply = await peers.call(holder.member, demandCall, { cell, model, waiting })
    return reply.ok ? reply.val : { status: 'not-steward', reason: reply.val.message }
  }

  peers.serve(demandCall, async req => {
    const steward = mine.get(req.cell)
    return steward === undefined ? { status: 'not-steward', reason: 'not steward here' } : await steward.demand(req.model)
  })
  peers.serve(tablesCall, () => replicas.tables())
  peers.listen(tableNotice, replicas.take)
  peers.listen(usageNotice, report => mine.forEach(steward => steward.noteUsed(report.models)))
  peers.onConnected(async member => {
    const tables = await peers.call(member.id, tablesCall, null)
    if (tables.ok) tables.val.forEach(replicas.take)
  })

  return {
    replicas,
    demand,
    noteUsed: model => { usedSinceReport.add(model) },
    stewardOf: cell => holders.get(cell)?.member,
    start: signal => {
      store.watch(CELLS_PREFIX, {
        onSnapshot: snapshot => {
          holders.clear()
          snapshot.entries.forEach(entry => setHolder(entry.key, entry.value))
        },
        onEvent: event => setHolder(event.key, event.kind === 'put' ? event.value : undefined)
      }, signal)
      repeat(clock, TEND_PERIOD_MS, signal, tend)
      repeat(clock, USAGE_PERIOD_MS, signal, reportUsage)
    },
    handOver: async () => {
      givingUp = true
      const cells = [...mine.keys()]
      mine.forEach(steward => steward.stop())
      mine.clear()
      await Promise.all(cells.map(cell => store.transact({ compares: [], writes: [{ kind: 'delete', key: stewardKey(cell) }] })))
    }
  }
}
