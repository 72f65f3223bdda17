/** Builders of records for the tests of the serving path. */
import type { MemberRecord } from '../../members'
import type { EvacuationState } from '../evacuations'
import type { InstanceReport, LeadershipTerm } from '../fleetMessages'
import type { ServingContext } from '../servingContext'
import type { BackendServer, ModelSpec, Route, ServingConfig, Team } from '../types'

export function memberRecord (id: string, changes: Partial<MemberRecord> = {}): MemberRecord {
  return { id, incarnation: `${id}-1`, startedAtMs: 0, region: 'r', failureDomain: 'a', peerAddress: '10.0.0.1:1', entryAddress: '10.0.0.1:2', operatorAddress: '', leaving: false, processorShare: 0, ...changes }
}

export function teamOf (name: string, changes: Partial<Team> = {}): Team {
  return { name, keys: [`key-of-${name}`], priority: undefined, unit: 'tokens', defaultTokens: 10, rate: 100, burst: 100, ...changes }
}

export function routeOf (prefix: string, changes: Partial<Route> = {}): Route {
  return {
    name: prefix,
    host: 'site.example',
    prefix,
    kind: 'idempotent',
    timeoutMs: 5000,
    latencyObjectiveMs: 100,
    maxEventGapMs: 0,
    priority: 0,
    maxAttempts: 2,
    isAnonymous: false,
    isResumable: false,
    services: [{ service: 'app', weight: 1 }],
    ...changes
  }
}

export function modelSpec (name: string, changes: Partial<ModelSpec> = {}): ModelSpec {
  return { name, weightsMb: 70, adapters: [], adapterMb: 0, loadMs: { memory: 600, disk: 1600, store: 6500 }, ...changes }
}

export function configOf (version: number, changes: Partial<ServingConfig> = {}): ServingConfig {
  return {
    version,
    routes: [routeOf('/a/')],
    services: new Map([['app', { name: 'app', connectionLimit: 10, coldStart: undefined, engine: undefined }]]),
    teams: [teamOf('depot')],
    limits: { maxHeaderBytes: 8192, maxBodyBytes: 65_536, headerTimeoutMs: 1000, idleTimeoutMs: 5000 },
    ...changes
  }
}

export function serverOf (id: string, changes: Partial<BackendServer> = {}): BackendServer {
  return { id, bornMs: 1, service: 'app', address: '127.0.0.1:1', failureDomain: 'a', slots: 6, state: 'ready', coldMs: 0, models: [], copies: { memory: [], disk: [] }, remainingMs: undefined, ...changes }
}

export function reportOf (changes: Partial<InstanceReport> = {}): InstanceReport {
  return { configVersion: 1, storeAgeMs: 0, inFlight: [], demand: [], leavingServers: [], silentServers: [], limits: [], spent: [], isReady: true, below: [], isUrgent: false, ...changes }
}

/** The claim of a leader, at a revision of the store. */
export function leadingOf (holder: string, revision = 1): LeadershipTerm {
  return { claim: { holder, machine: `${holder} at home`, claim: `${holder} ${revision}` }, revision }
}

export const NO_EVACUATION: EvacuationState = { domains: [], revision: 0 }

/** Streams may go on at any server. */
export const ANY_VERSION: Pick<ServingContext, 'streamVersions'> = {
  streamVersions: { resolve: async () => undefined, mayServe: () => true, refusalOf: () => undefined, mayMove: () => true, isListedProcess: async () => true, verifyServers: () => {}, recordFirstEvent: () => {}, recordBreak: () => {}, recordAccepting: () => {} }
}

/** No service is brittle. */
export const NO_BRITTLE_SERVERS: Pick<ServingContext, 'brittleServices' | 'brittleServers'> = {
  brittleServices: { record: () => {}, recordFromPeer: () => {}, stated: () => [], maxRejectionsOf: () => undefined },
  brittleServers: { take: async () => true, release: () => {}, isRefused: () => false }
}
