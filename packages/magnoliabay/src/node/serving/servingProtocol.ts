/** The interface through which the serving path uses the protocol of callers, backend servers and the store. */
import type { IncomingHttpHeaders } from 'node:http'
import type { ResponseMetadata } from './attempt'
import type { ResponseHead } from './exchange'
import type { BackendServer, CallerRequest, ServingConfig } from './types'

/** Metadata that is sent to a backend server in addition to the caller's own headers. */
export interface ForwardedMetadata {
  /** Remaining time, milliseconds. */
  deadlineMs: number
  serverId: string
  team: string | undefined
  /** 0 to 9, 0 is served first; undefined for the server's default. */
  priority: number | undefined
  /** Id of the last event that the caller has received; the server continues after it. */
  lastEventId?: string
  /** The copy from which the server continues a run that was stopped elsewhere. */
  runCopy?: RunCopy
}

/** A copy of a run's memory, as the engine that stopped the run names it. */
export interface RunCopy {
  /** Address of the engine that stopped the run. */
  sourceAddress: string
  handle: string
}

export interface StoreKeys {
  /** Prefix of all keys that the operator writes. */
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
  /** Keys in the store that the operator and backend servers write. */
  keys: StoreKeys
}
