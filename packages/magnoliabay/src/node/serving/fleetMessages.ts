/** What instances tell the leader, and what it tells them back; relays in between add up the one and pass on the other. */
import { definePeerNotice } from '../members'
import type { MemberChanges } from '../members'
import type { EvacuationState } from './evacuations'
import type { TeamSpending } from './allowance/allowanceLimiter'
import type { LeaderClaim } from './placement/leaderRecords'
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

/** An instance that reports by way of another. */
export interface MemberState {
  id: string
  isReady: boolean
}

/** Instances that hear nothing from a server though they have requests there. */
export interface SilentServer {
  server: string
  tellers: number
}

/** One instance to the leader or to its relay; a relay's is the sum of its own and of those below it. */
export interface InstanceReport {
  configVersion: number
  /** Milliseconds since the instance last heard the store. */
  storeAgeMs: number
  inFlight: readonly InFlight[]
  demand: readonly ModelDemand[]
  leavingServers: readonly string[]
  silentServers: readonly SilentServer[]
  /** Of teams' allowances, within the window. */
  spent: readonly TeamSpending[]
  /** Of the reporting instance itself. */
  isReady: boolean
  /** Those who report by way of it. */
  below: readonly MemberState[]
  /** Told ahead of time: whoever hears it passes it on soon. */
  isUrgent: boolean
}

/** Requests that all instances have at one server. */
export interface ServerLoad {
  server: string
  count: number
}

/** By what an instance leads, and the revision of the store at which it was claimed: a later claim has a higher one. */
export interface LeadershipTerm {
  claim: LeaderClaim
  revision: number
}

/** The leader to those who report to it, and by them to those below. */
export interface FleetSummary {
  leading: LeadershipTerm
  /** Counts the summaries of one claim. */
  count: number
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
  spent: readonly TeamSpending[]
  evacuation: EvacuationState
  /** Stands for the list of servers as the leader knows it, what they hold included. */
  listDigest: string
  /** Stands for the members as the leader knows them. */
  membersDigest: string
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

/** The configuration in force, as it was read, packed. */
export interface ConfigNotice {
  packed: Uint8Array
}

export const reportNotice = definePeerNotice<InstanceReport>('serving.report')
export const summaryNotice = definePeerNotice<FleetSummary>('serving.summary')
export const serversNotice = definePeerNotice<ServersNotice>('serving.servers-changed')
export const membersNotice = definePeerNotice<MemberChanges>('serving.members-changed')
export const evacuationNotice = definePeerNotice<EvacuationState>('serving.evacuation-changed')
export const configNotice = definePeerNotice<ConfigNotice>('serving.config-changed')
