/** Messages between instances and the leader: relays aggregate reports and forward summaries and notices. */
import * as v from 'valibot'
import { definePeerNotice, memberRecordSchema } from '../members'
import type { MemberChanges } from '../members'
import { statedBrittlenessSchema, statedLimitSchema } from '../statements'
import type { StatedBrittleness, StatedLimit } from '../statements'
import type { EvacuationState } from './evacuations'
import type { TeamSpending } from './allowance/allowanceLimiter'
import type { SpeedSample } from './choice/engineSpeeds'
import { leaderClaimSchema } from './placement/leaderRecords'
import type { LeaderClaim } from './placement/leaderRecords'
import type { BackendServer } from './types'

/** Requests in flight at one server for one model. */
export interface InFlight {
  server: string
  model: string
  count: number
}

/** Demand for a model: the request rate, and requests that wait because no server has the model ready. */
export interface ModelDemand {
  model: string
  /** Requests a second, averaged over the last few seconds. */
  rate: number
  waiting: number
}

/** State of an instance that reports through a relay. */
export interface MemberState {
  id: string
  isReady: boolean
  /** False if the instance reaches no server though others do; absent if it does, or from an older version. */
  reachesServers?: boolean
}

/** A server that does not respond to instances with requests there. */
export interface SilentServer {
  server: string
  /** Number of these instances. */
  tellers: number
}

/** Sent by an instance to the leader or to its relay; a relay's report contains the sums over itself and its downstream. */
export interface InstanceReport {
  configVersion: number
  /** Milliseconds since the store last answered the instance. */
  storeAgeMs: number
  inFlight: readonly InFlight[]
  demand: readonly ModelDemand[]
  leavingServers: readonly string[]
  silentServers: readonly SilentServer[]
  /** Rate limits that servers have stated. */
  limits: readonly StatedLimit[]
  /** Services whose servers have stated that they are brittle; absent from an older version. */
  brittle?: readonly StatedBrittleness[]
  /** Spending of teams' allowances within the window. */
  spent: readonly TeamSpending[]
  /** Whether the reporting instance itself is ready. */
  isReady: boolean
  /** False if the reporting instance reaches no server though others do; absent if it does, or from an older version. */
  reachesServers?: boolean
  /** Instances that report through it. */
  below: readonly MemberState[]
  /** Sent before its regular time; a relay forwards it soon. */
  isUrgent: boolean
  /** Observations of the speeds of engines since the last report; absent if there are none, or from an older version. */
  speeds?: readonly SpeedSample[]
}

/** Requests in flight at one server, of all instances. */
export interface ServerLoad {
  server: string
  count: number
  /** Time that the server takes, in tenths of the mean; absent for the mean, where speeds are equal, or from an older version. */
  speed?: number
}

/** The claim of a leader, and the revision of the store at which it was made: a later claim has a higher one. */
export interface LeadershipTerm {
  claim: LeaderClaim
  revision: number
}

/** Sent by the leader to those that report to it, and forwarded by relays to their downstream. */
export interface FleetSummary {
  leading: LeadershipTerm
  /** Number of the summary, counted from the start of the claim. */
  count: number
  configVersion: number
  /** Milliseconds since the store last answered the leader. */
  storeAgeMs: number
  /** How long the store has answered the leader without interruption, milliseconds. */
  storeSteadyMs: number
  loads: readonly ServerLoad[]
  /** Members to which no caller should be directed: not ready, or without recent reports. */
  unavailable: readonly string[]
  /** Some instances that connect partitioned ones to servers; absent without a partition, or from an older version. */
  forwarders?: readonly string[]
  leavingServers: readonly string[]
  /** Rate limits that servers have stated to any instance. */
  limits: readonly StatedLimit[]
  /** Services whose servers have stated that they are brittle; absent from an older version. */
  brittle?: readonly StatedBrittleness[]
  /** Spending of teams' allowances by all instances within the window. */
  spent: readonly TeamSpending[]
  evacuation: EvacuationState
  /** Digest of the list of servers as the leader knows it, including their models. */
  listDigest: string
  /** Digest of the members as the leader knows them. */
  membersDigest: string
}

/** The data of a server that instances need for choosing one; only the leader uses the places of weight copies. */
export type ListedServer = Omit<BackendServer, 'copies'>

/** Changes of the leader's list of servers since the last notice. */
export interface ServersNotice {
  changed: readonly ListedServer[]
  /** Servers that the receiver knows and whose models have changed. */
  holding: ReadonlyArray<Pick<BackendServer, 'id' | 'bornMs' | 'models'>>
  gone: readonly string[]
}

/** The active configuration: its text as read from the store, compressed. */
export interface ConfigNotice {
  packed: Uint8Array
}

const texts = v.array(v.string())
const limits = v.array(statedLimitSchema)
const brittle = v.optional(v.array(statedBrittlenessSchema))
const spent = v.array(v.object({ team: v.string(), units: v.number() }))
const models = v.array(v.object({ name: v.string(), version: v.number(), adapters: texts }))

const reportSchema = v.object({
  configVersion: v.number(),
  storeAgeMs: v.number(),
  inFlight: v.array(v.object({ server: v.string(), model: v.string(), count: v.number() })),
  demand: v.array(v.object({ model: v.string(), rate: v.number(), waiting: v.number() })),
  leavingServers: texts,
  silentServers: v.array(v.object({ server: v.string(), tellers: v.number() })),
  limits,
  brittle,
  spent,
  isReady: v.boolean(),
  reachesServers: v.optional(v.boolean()),
  below: v.array(v.object({ id: v.string(), isReady: v.boolean(), reachesServers: v.optional(v.boolean()) })),
  isUrgent: v.boolean(),
  speeds: v.optional(v.array(v.object({ server: v.string(), logSum: v.number(), count: v.number() })))
})
export const leadershipSchema = v.object({ claim: leaderClaimSchema, revision: v.number() })
export const evacuationSchema = v.object({ domains: texts, revision: v.number() })
const summarySchema = v.object({
  leading: leadershipSchema,
  count: v.number(),
  configVersion: v.number(),
  storeAgeMs: v.number(),
  storeSteadyMs: v.number(),
  loads: v.array(v.object({ server: v.string(), count: v.number(), speed: v.optional(v.number()) })),
  unavailable: texts,
  forwarders: v.optional(texts),
  leavingServers: texts,
  limits,
  brittle,
  spent,
  evacuation: evacuationSchema,
  listDigest: v.string(),
  membersDigest: v.string()
})
export const listedServerSchema = v.object({
  id: v.string(),
  bornMs: v.number(),
  service: v.string(),
  address: v.string(),
  failureDomain: v.string(),
  slots: v.number(),
  softwareVersion: v.optional(v.string()),
  state: v.picklist(['ready', 'draining']),
  coldMs: v.number(),
  models,
  remainingMs: v.optional(v.number())
})
const serversSchema = v.object({ changed: v.array(listedServerSchema), holding: v.array(v.object({ id: v.string(), bornMs: v.number(), models })), gone: texts })
const membersSchema = v.object({ put: v.array(memberRecordSchema), gone: texts })
export const packedSchema = v.instance(Uint8Array)

export const reportNotice = definePeerNotice<InstanceReport>('serving.report', reportSchema)
export const summaryNotice = definePeerNotice<FleetSummary>('serving.summary', summarySchema)
export const serversNotice = definePeerNotice<ServersNotice>('serving.servers-changed', serversSchema)
export const membersNotice = definePeerNotice<MemberChanges>('serving.members-changed', membersSchema)
export const evacuationNotice = definePeerNotice<EvacuationState>('serving.evacuation-changed', evacuationSchema)
export const configNotice = definePeerNotice<ConfigNotice>('serving.config-changed', v.object({ packed: packedSchema }))
