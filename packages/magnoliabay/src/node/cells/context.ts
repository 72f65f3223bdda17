/** What the parts of one steward share. */
import type { BackendDirectory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { Clock } from '../clock'
import type { ConfigProvider } from '../config'
import type { Logger } from '../logger'
import type { EngineAccount } from './engineAccount'
import type { Intents } from './intents'
import type { LoadTimes } from './loadTimes'
import type { OrderSender } from './orderSender'

/** What cells need of the configuration in force. */
export type CellsConfig = Pick<ConfigProvider, 'active' | 'model' | 'adapter'>

export interface CellLeaderContext {
  readonly cell: string
  /** Modification revision of the steward key when it was claimed. */
  readonly fence: number
  readonly clock: Clock
  readonly logger: Logger
  readonly cfg: CellsConfig
  readonly directory: BackendDirectory
  readonly engines: EngineClient
  readonly intents: Intents
  readonly orderSender: OrderSender
  readonly loadTimes: LoadTimes
  readonly accounts: Map<string, EngineAccount>
  isStopped (): boolean
  /** Something says that another steward holds the cell: this one ends at once. */
  supersede (reason: string): void
  /** Tells everybody what is loaded. */
  publish (): void
}
