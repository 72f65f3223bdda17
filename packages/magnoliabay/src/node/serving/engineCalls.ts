/** What can be asked of an engine and ordered from it. */
import type { Result } from '../result'
import type { BackendServer, LoadedModel } from './types'

export interface EngineReport {
  /** Start of the engine's process, where the report tells it. */
  bornMs: number | undefined
  /** An order for a model is being carried out. */
  isOrderPending: boolean
  /** Orders accepted since the engine's process started. */
  acceptedOrders: number
  waiting: number
  running: number
  models: readonly LoadedModel[]
  /** `model/adapter` of adapters being loaded; they take places already. */
  loadingAdapters: readonly string[]
  copies: { memory: readonly string[], disk: readonly string[] }
}

export interface EngineOrder {
  operation: 'load' | 'unload'
  model: string
  adapter?: string
  /** Carried out only while the engine has accepted exactly this many orders. */
  expectedOrders: number
  /** Instance that gives the order. */
  holder: string
  /** Grows with each change of the instance that gives orders. */
  fence: number
}

/**
 * `accepted`: being carried out. `holds-already`: nothing to do. `conflict`: another order is under way, or the count
 * of orders has moved. `unanswered`: may have been accepted, or may still be carried out later.
 */
export type OrderOutcome = 'accepted' | 'holds-already' | 'conflict' | 'fenced-off' | 'refused' | 'other-server' | 'unanswered'

export interface EngineCalls {
  fetchReport (server: BackendServer): Promise<Result<EngineReport, string>>
  sendOrder (server: BackendServer, engineOrder: EngineOrder): Promise<OrderOutcome>
  /** Closes connections to an address that is no longer in use. */
  closeConnections (address: string): void
}
