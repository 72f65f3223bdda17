/** State and services shared by the modules of one cell leader. */
import type { BackendDirectory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { Clock } from '../clock'
import type { ConfigProvider } from '../config'
import type { Logger } from '../logger'
import type { EngineAccount } from './engineAccount'
import type { Intents } from './intents'
import type { LoadTimes } from './loadTimes'
import type { OrderSender } from './orderSender'

/** Parts of the active configuration that cells read. */
export type CellsConfig = Pick<ConfigProvider, 'active' | 'model' | 'adapter'>

export interface CellLeaderContext {
  readonly cell: string
  /** Modification revision of the leader key when it was claimed. */
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
  /** Stops this leader at once, because another one has claimed the cell. */
  supersede (reason: string): void
  /** Sends the current replica table to all members. */
  publish (): void
}
