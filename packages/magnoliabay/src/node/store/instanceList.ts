/**
 * The platform's list of live and leaving instances. It lags, and errs toward *alive*.
 */
import type { Result } from '../result'

export type InstanceRole = 'entry' | 'engine' | 'service'
export type InstanceStatus = 'live' | 'leaving'

export interface ListedInstance {
  id: string
  role: InstanceRole
  /** `ip:port` of the HTTP interface. */
  address: string
  failureDomain: string
  region: string
  status: InstanceStatus
  /** Name of the plain service that a `service` instance serves. */
  service?: string
  /** Engines only: whether orders with an old fencing number are refused. */
  checksFence?: boolean
  /** Engines only: memory for models and adapters, in MiB. */
  memoryMiB?: number
  /** Engines only: accelerators that the engine holds. */
  accelerators?: number
}

export interface InstanceListError {
  kind: 'unavailable' | 'invalid'
  message: string
}

export interface InstanceList {
  read (): Promise<Result<readonly ListedInstance[], InstanceListError>>
}
