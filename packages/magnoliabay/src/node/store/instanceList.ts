/** The platform's list of live and leaving instances. It lags: an instance that has ended may still be listed. */
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
  /** Role `service` only: name of the plain service that the instance serves. */
  service?: string
  /** Engines only: whether the engine refuses orders with an old fencing token. */
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
