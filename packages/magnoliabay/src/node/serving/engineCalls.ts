/** Interface to an engine: reports and orders. */
import type { Result } from '../result'
import type { ServerStatement } from '../statements'
import type { RunCalls } from './streams/runCalls'
import type { BackendServer, LoadedModel } from './types'

export interface EngineReport {
  /** Start of the engine's process, if the report contains it. */
  bornMs: number | undefined
  /** Whether an order for a model is being carried out. */
  isOrderPending: boolean
  /** Orders accepted since the engine's process started. */
  acceptedOrders: number
  waiting: number
  running: number
  models: readonly LoadedModel[]
  /** `model/adapter` of adapters that are being loaded; they already count against the capacity. */
  loadingAdapters: readonly string[]
  copies: { memory: readonly string[], disk: readonly string[] }
}

/** `unanswered`: no answer in time. `refused`: answered without a report. `malformed`: answered with something else. */
export interface ReportError {
  kind: 'unanswered' | 'refused' | 'malformed'
  message: string
}

export interface EngineOrder {
  operation: 'load' | 'unload'
  model: string
  adapter?: string
  /** Carried out only while the engine has accepted exactly this many orders. */
  expectedOrders: number
  /** Instance that gives the order. */
  holder: string
  /** Increases with each change of the instance that gives orders. */
  fence: number
}

/**
 * `accepted`: being carried out. `holds-already`: nothing to do. `conflict`: another order is being carried out, or the
 * number of accepted orders has changed. `unanswered`: the order may have been accepted, or may be carried out later.
 */
export type OrderOutcome = 'accepted' | 'holds-already' | 'conflict' | 'fenced-off' | 'refused' | 'other-server' | 'unanswered'

export interface EngineCalls {
  /** Calls that move runs; absent if engines cannot move any. */
  runs?: RunCalls
  fetchReport (server: BackendServer): Promise<Result<EngineReport, ReportError>>
  sendOrder (server: BackendServer, engineOrder: EngineOrder): Promise<OrderOutcome>
  /** The listener is called with what each answer to a report or an order states about the engine. */
  onStatement (listener: (server: BackendServer, statement: ServerStatement) => void): void
  /** Closes the connections to an address that is no longer in use. */
  closeConnections (address: string): void
}
