/** What instances tell the leader, and what it tells them back. */
import { definePeerNotice } from '../members'
import type { TeamSpent } from './allowance/teamAllowance'
import type { BackendServer } from './types'

/** Requests under way at one server for one model. */
export interface InFlight {
  server: string
  model: string
  count: number
}

/** Requests that wait for a model that no server has ready, or come often. */
export interface ModelDemand {
  model: string
  /** Requests a second, averaged over the last seconds. */
  rate: number
  waiting: number
}

/** One instance to the leader. */
export interface InstanceReport {
  configVersion: number
  /** Milliseconds since the instance last heard the store. */
  storeAgeMs: number
  inFlight: readonly InFlight[]
  demand: readonly ModelDemand[]
  leavingServers: readonly string[]
  /** Servers that say nothing to this instance, though it has requests there. */
  silentServers: readonly string[]
  /** Of teams' allowances, within the window. */
  spent: readonly TeamSpent[]
  isReady: boolean
}

/** Requests that all instances have at one server. */
export interface ServerLoad {
  server: string
  count: number
}

/** The leader to those who report to it. */
export interface FleetSummary {
  configVersion: number
  /** Milliseconds since the leader last heard the store. */
  storeAgeMs: number
  /** How long the store has answered the leader without a break, milliseconds. */
  storeSteadyMs: number
  loads: readonly ServerLoad[]
  /** Members to whom no caller should be sent: not ready, or silent. */
  unavailable: readonly string[]
  leavingServers: readonly string[]
  /** Of teams' allowances, over all instances, within the window. */
  spent: readonly TeamSpent[]
  /** Stands for the list of servers as the leader knows it, what they hold included. */
  listDigest: string
}

/** A server as instances need it to choose one; where its copies of weights lie concerns only the leader. */
export type ListedServer = Omit<BackendServer, 'copies'>

/** What changed in the leader's list since the last such notice. */
export interface ServersNotice {
  changed: readonly ListedServer[]
  /** Known to the receiver, and holding something else now. */
  holding: ReadonlyArray<Pick<BackendServer, 'id' | 'bornMs' | 'models'>>
  gone: readonly string[]
}

export const reportNotice = definePeerNotice<InstanceReport>('serving.report')
export const summaryNotice = definePeerNotice<FleetSummary>('serving.summary')
export const serversNotice = definePeerNotice<ServersNotice>('serving.servers-changed')
