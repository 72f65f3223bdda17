/** Records that cell leaders keep in the store, and messages between members about cells. */
import * as v from 'valibot'
import { STORE_KEY_PREFIX } from '../constants'
import type { OrderAction } from '../backend/protocol'
import { stableHash } from '../utils'
import { NO_BODY, definePeerCall, definePeerNotice, memberRecordSchema } from '../members'
import type { MemberRecord, ProcessId } from '../members'

const CELL_NAME = 'cell-'

export const CELLS_PREFIX = `${STORE_KEY_PREFIX}/cells/`

export function cellLeaderKey (cell: string): string {
  return `${CELLS_PREFIX}${cell}/steward`
}

export function intentsPrefix (cell: string): string {
  return `${CELLS_PREFIX}${cell}/intents/`
}

export function intentKey (cell: string, orderId: string): string {
  return `${intentsPrefix(cell)}${orderId}`
}

/** Key of the history of gaps between uses. */
export function historyKey (cell: string): string {
  return `${CELLS_PREFIX}${cell}/history`
}

/** Stored without a lease, because an expired lease does not prove that the leader has terminated. */
export interface CellLeaderRecord {
  /** The process that leads the cell. Absent when the cell was released. */
  holder?: MemberRecord
  /** Unique for each claim: identifies a claim when the response to its write was lost. */
  claimId: string
  /**
   * Former leaders that neither have provably terminated nor have released the cell. Engines that ignore fencing tokens
   * are not taken over until all of them have.
   */
  unproven: readonly FormerLeader[]
}

/** A process that led a cell under a fencing token, and may still act as its leader. */
export interface FormerLeader extends ProcessId {
  fence: number
}

/** An order that a leader has decided on. Recorded before the order is sent. */
export interface Intent {
  orderId: string
  cell: string
  fence: number
  engine: string
  action: OrderAction
  model: string
  adapter?: string
  version?: string
  memoryMiB: number
}

export interface ReplicaEntry {
  engine: string
  address: string
  failureDomain: string
  model: string
  version: string
  /** Adapters of the model that are loaded there. */
  adapters: readonly string[]
}

/** The replicas that are loaded in a cell, as published by its leader. */
export interface ReplicaTable {
  cell: string
  /** Fencing token of the leader that published the table. A table with a lower one never replaces it. */
  fence: number
  /** Increases with each table of the same fence. */
  version: number
  replicas: readonly ReplicaEntry[]
}

const processSchema = v.object({ member: v.string(), incarnation: v.string() })

export const cellLeaderSchema = v.object({
  holder: v.optional(memberRecordSchema),
  claimId: v.string(),
  unproven: v.array(v.object({ ...processSchema.entries, fence: v.number() }))
})

export const intentSchema = v.object({
  orderId: v.string(),
  cell: v.string(),
  fence: v.number(),
  engine: v.string(),
  action: v.picklist(['raise-fence', 'load', 'unload', 'load-adapter', 'unload-adapter', 'set-version', 'set-role']),
  model: v.string(),
  adapter: v.optional(v.string()),
  version: v.optional(v.string()),
  memoryMiB: v.number()
})

/** Requests for one model that wait at the sender. */
export interface Demand {
  cell: string
  model: string
  /** Adapters of the model that requests wait for. */
  adapters: readonly string[]
  waiting: number
  /** Time until the earliest deadline among them, milliseconds. */
  patienceMs: number
  /** Highest weight among the waiting teams. */
  weight: number
}

export interface DemandReply {
  status: 'loading' | 'loaded' | 'queued' | 'no-room' | 'not-steward' | 'unknown-model'
  reason: string
  /** The current table, in case its notice was lost. */
  table?: ReplicaTable
}

/** Number of requests by model and by adapter that the sender has sent to a cell since its last report. */
export interface UsageReport {
  cell: string
  models: Readonly<Record<string, number>>
  adapters: Readonly<Record<string, number>>
}

/** Last read load of a cell's engines, which lags behind the current one: requests that run or wait, by engine. */
export interface LoadNotice {
  cell: string
  loads: Readonly<Record<string, number>>
}

export interface HoldIntentReply {
  held: boolean
}

/** Asks a leader to release the cell. */
export interface ReleaseRequest {
  cell: string
  /** Incarnation of the process that is asked. */
  incarnation: string
  /** Fencing token of the leadership to release. */
  fence: number
}

/** `released`: the process sends no more orders for the cell. `open`: intents whose orders may still be in flight. */
export interface ReleaseReply {
  released: boolean
  open: readonly Intent[]
}

const texts = v.array(v.string())
const countsByName = v.record(v.string(), v.number())
const replicaTableSchema = v.object({
  cell: v.string(),
  fence: v.number(),
  version: v.number(),
  replicas: v.array(v.object({ engine: v.string(), address: v.string(), failureDomain: v.string(), model: v.string(), version: v.string(), adapters: texts }))
})
const demandSchema = v.object({ cell: v.string(), model: v.string(), adapters: texts, waiting: v.number(), patienceMs: v.number(), weight: v.number() })
const demandReplySchema = v.object({
  status: v.picklist(['loading', 'loaded', 'queued', 'no-room', 'not-steward', 'unknown-model']),
  reason: v.string(),
  table: v.optional(replicaTableSchema)
})

export const demandCall = definePeerCall<Demand, DemandReply>('cells.demand', { req: demandSchema, res: demandReplySchema })
export const tablesCall = definePeerCall<null, readonly ReplicaTable[]>('cells.tables', { req: NO_BODY, res: v.array(replicaTableSchema) })
export const tableNotice = definePeerNotice<ReplicaTable>('cells.table', replicaTableSchema)
export const holdIntentCall = definePeerCall<Intent, HoldIntentReply>('cells.hold-intent', { req: intentSchema, res: v.object({ held: v.boolean() }) })
export const dropIntentsNotice = definePeerNotice<readonly string[]>('cells.drop-intents', texts)
export const heldIntentsCall = definePeerCall<string, readonly Intent[]>('cells.held-intents', { req: v.string(), res: v.array(intentSchema) })
export const releaseCall = definePeerCall<ReleaseRequest, ReleaseReply>('cells.release', {
  req: v.object({ cell: v.string(), incarnation: v.string(), fence: v.number() }),
  res: v.object({ released: v.boolean(), open: v.array(intentSchema) })
})
export const loadNotice = definePeerNotice<LoadNotice>('cells.load', v.object({ cell: v.string(), loads: countsByName }))
export const usageNotice = definePeerNotice<UsageReport>('cells.usage', v.object({ cell: v.string(), models: countsByName, adapters: countsByName }))

/** Cell of an engine. Depends on the id alone, so it is the same on every instance. */
export function cellOf (engineId: string, cellCount: number): string {
  return `${CELL_NAME}${stableHash(engineId) % cellCount}`
}

export function cellNames (cellCount: number): string[] {
  return Array.from({ length: cellCount }, (_, index) => `${CELL_NAME}${index}`)
}
