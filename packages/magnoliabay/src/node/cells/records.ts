/** What stewards keep in the store and tell the other members. */
import { STORE_ROOT } from '../constants'
import type { OrderAction } from '../backend/protocol'
import { stableHash } from '../utils'
import { definePeerCall, definePeerNotice } from '../members'

export const CELLS_PREFIX = `${STORE_ROOT}/cells/`

export function stewardKey (cell: string): string {
  return `${CELLS_PREFIX}${cell}/steward`
}

export function intentsPrefix (cell: string): string {
  return `${CELLS_PREFIX}${cell}/intents/`
}

export function intentKey (cell: string, orderId: string): string {
  return `${intentsPrefix(cell)}${orderId}`
}

export interface StewardRecord {
  member: string
  incarnation: string
}

/** A decision, recorded before its order is sent. */
export interface Intent {
  orderId: string
  fence: number
  engine: string
  action: OrderAction
  model: string
  memoryMiB: number
}

export interface ReplicaEntry {
  engine: string
  address: string
  failureDomain: string
  model: string
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

export interface Demand {
  cell: string
  model: string
  /** Requests waiting for the model at the sender. */
  waiting: number
}

export interface DemandReply {
  status: 'loading' | 'loaded' | 'no-room' | 'not-steward' | 'unknown-model'
  reason: string
}

/** Models that the sender has used since its last report. */
export interface UsageReport {
  models: readonly string[]
}

export const demandCall = definePeerCall<Demand, DemandReply>('cells.demand')
export const tablesCall = definePeerCall<null, readonly ReplicaTable[]>('cells.tables')
export const tableNotice = definePeerNotice<ReplicaTable>('cells.table')
export const usageNotice = definePeerNotice<UsageReport>('cells.usage')

/** Cell of an engine: the same on every instance, whatever else is listed. */
export function cellOf (engineId: string, cellCount: number): string {
  return `cell-${stableHash(engineId) % cellCount}`
}

export function cellNames (cellCount: number): string[] {
  return Array.from({ length: cellCount }, (_, index) => `cell-${index}`)
}
