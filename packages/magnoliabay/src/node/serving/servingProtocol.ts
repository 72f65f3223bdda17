/** What the serving path needs of whatever protocol callers and backend servers speak. */
import type { IncomingHttpHeaders } from 'node:http'
import type { ResponseMetadata } from './attempt'
import type { ResponseHead } from './exchange'
import type { BackendServer, CallerRequest, ServingConfig } from './types'

/** What the system says to a backend server beside the caller's own headers. */
export interface ForwardedMetadata {
  /** Milliseconds that are left. */
  deadlineMs: number
  serverId: string
  team: string | undefined
  /** 0 to 9, 0 first; undefined leaves the server's default. */
  priority: number | undefined
  /** Id of the last event that the caller has; the server goes on after it. */
  lastEventId?: string
}

export interface StoreKeys {
  /** Prefix of all that the operator writes. */
  operator: string
  config: string
  /** Prefix of the keys that name failure domains under evacuation. */
  evacuations: string
  /** Prefix of the entries of backend servers. */
  servers: string
}

export interface ServingProtocol {
  decodeCallerRequest (headers: IncomingHttpHeaders): CallerRequest
  toBackendHeaders (rawHeaders: readonly string[], own: ForwardedMetadata): string[]
  decodeResponseHead (head: ResponseHead): ResponseMetadata
  toCallerHeaders (rawHeaders: readonly string[]): string[]
  decodeConfig (text: string): ServingConfig | undefined
  decodeServer (key: string, text: string): BackendServer | undefined
  serverIdOf (key: string): string
  /** Where the store keeps what the operator and backend servers write. */
  keys: StoreKeys
}
