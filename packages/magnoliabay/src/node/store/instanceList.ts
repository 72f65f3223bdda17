/** The platform's list of live and leaving instances. It lags: an instance that has ended may still be listed. */
import * as v from 'valibot'
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

/**
 * The form of an instance, as it arrives from the platform and from other members. Its address is checked for each instance by
 * itself: one that is impossible must not make the others unreadable.
 */
export const listedInstanceSchema = v.object({
  id: v.string(),
  role: v.picklist(['entry', 'engine', 'service']),
  address: v.string(),
  failureDomain: v.string(),
  region: v.string(),
  status: v.picklist(['live', 'leaving']),
  service: v.optional(v.string()),
  checksFence: v.optional(v.boolean()),
  memoryMiB: v.optional(v.number()),
  accelerators: v.optional(v.number())
})
