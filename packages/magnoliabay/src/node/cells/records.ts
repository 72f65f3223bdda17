/** What stewards keep in the store and tell the other members. */
import { STORE_KEY_PREFIX } from '../constants'
import type { OrderAction } from '../backend/protocol'
import { stableHash } from '../utils'
import { definePeerCall, definePeerNotice } from '../members'
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

/** What stewards have learned about gaps between uses. */
export function historyKey (cell: string): string {
  return `${CELLS_PREFIX}${cell}/history`
}

/** Kept without a lease: a lapsed lease is no proof that the holder has ended. */
export interface CellLeaderRecord {
  /** The process that holds the cell; none when it was given up. */
  holder?: MemberRecord
  /** Unique for each claim, so that a claim whose answer was lost is recognised. */
  claimId: string
  /**
   * Earlier holders that were neither proven gone nor gave the cell up. Engines that ignore fencing numbers
   * are left alone until these are accounted for.
   */
  unproven: readonly FormerLeader[]
}

/** A process that held a cell under a fencing number, and may believe that it still does. */
export interface FormerLeader extends ProcessId {
  fence: number
}

/** A decision, recorded before its order is sent. */
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

/** The replicas that a steward says are loaded in its cell. */
export interface ReplicaTable {
  cell: string
  /** Fencing number of the steward that says so: a table of an older steward never replaces it. */
  fence: number
  /** Counts up within a fence. */
  version: number
  replicas: readonly ReplicaEntry[]
}

/** Requests that wait at the sender. */
export interface Demand {
  cell: string
  model: string
  /** Adapters of the model that are waited for. */
  adapters: readonly string[]
  waiting: number
  /** Time that the most urgent of them still has, milliseconds. */
  patienceMs: number
  /** Greatest weight of a team that waits. */
  weight: number
}

export interface DemandReply {
  status: 'loading' | 'loaded' | 'queued' | 'no-room' | 'not-steward' | 'unknown-model'
  reason: string
  /** What is loaded, in case the notice of it was lost. */
  table?: ReplicaTable
}

/** What the sender has used in a cell since its last report, with the number of requests. */
export interface UsageReport {
  cell: string
  models: Readonly<Record<string, number>>
  adapters: Readonly<Record<string, number>>
}

/** Lagging loads of a cell's engines: requests that run or wait, by engine. */
export interface LoadNotice {
  cell: string
  loads: Readonly<Record<string, number>>
}

export interface HoldIntentReply {
  held: boolean
}

/** Asks a holder to give the cell up. */
export interface ReleaseRequest {
  cell: string
  /** Process that is asked. */
  incarnation: string
  /** Fencing number of the holding that is asked for. */
  fence: number
}

/** `released`: the process will send no order for the cell any more. The reply holds what may still be under way. */
export interface ReleaseReply {
  released: boolean
  open: readonly Intent[]
}

export const demandCall = definePeerCall<Demand, DemandReply>('cells.demand')
export const tablesCall = definePeerCall<null, readonly ReplicaTable[]>('cells.tables')
export const tableNotice = definePeerNotice<ReplicaTable>('cells.table')
export const holdIntentCall = definePeerCall<Intent, HoldIntentReply>('cells.hold-intent')
export const dropIntentsNotice = definePeerNotice<readonly string[]>('cells.drop-intents')
export const heldIntentsCall = definePeerCall<string, readonly Intent[]>('cells.held-intents')
export const releaseCall = definePeerCall<ReleaseRequest, ReleaseReply>('cells.release')
export const loadNotice = definePeerNotice<LoadNotice>('cells.load')
export const usageNotice = definePeerNotice<UsageReport>('cells.usage')

/** Cell of an engine: the same on every instance, whatever else is listed. */
export function cellOf (engineId: string, cellCount: number): string {
  return `${CELL_NAME}${stableHash(engineId) % cellCount}`
}

export function cellNames (cellCount: number): string[] {
  return Array.from({ length: cellCount }, (_, index) => `${CELL_NAME}${index}`)
}
