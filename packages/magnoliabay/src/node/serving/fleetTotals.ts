/**
 * Maintains sums over the reports of instances, updated with each report. With a hundred instances, computing the sums
 * for each query took the leader longer than the time between two plans. The workload is hundreds of short reports and
 * thousands of queries a second.
 */
import { addCount } from '../utils'
import type { InFlight, InstanceReport, MemberState, ModelDemand, ServerLoad, SilentServer } from './fleetMessages'

interface StoredReport {
  report: InstanceReport
  atMs: number
}

export interface FleetTotals {
  /** Replaces the report of the member. */
  put (member: string, report: InstanceReport, nowMs: number): void
  /** Removes the report of the member. */
  drop (member: string): void
  /** Removes older reports; returns the members that sent them. */
  expire (maxAgeMs: number, nowMs: number): readonly string[]
  /** Members whose reports are included. */
  reporters (): readonly string[]
  report (member: string): InstanceReport | undefined
  /** State of a member that reports directly or through a relay; `via` is the member whose report contains it. */
  stateOf (member: string): (MemberState & { via: string }) | undefined
  /** States of all members that report directly or through a relay. */
  states (): readonly MemberState[]
  /** Requests in flight at a server, for all models. */
  inFlightAtServer (server: string): number
  /** Requests in flight at a server for a model. */
  inFlight (server: string, model: string): number
  /** Requests in flight for a model at all servers. */
  inFlightOfModel (model: string): number
  demand (model: string): { rate: number, waiting: number }
  /** Models with a request rate or waiting requests. */
  modelsInDemand (): readonly string[]
  /** Number of instances to which a server does not respond. */
  silenceReportCount (server: string): number
  loads (): readonly ServerLoad[]
  inFlightByServer (): readonly InFlight[]
  demandByModel (): readonly ModelDemand[]
  silentServers (): readonly SilentServer[]
  leavingServers (): readonly string[]
}

/** Smaller sums of rates are rounding errors of rates that were added and subtracted again. */
const MIN_RATE = 1e-6

interface Demand {
  rate: number
  waiting: number
}

const NO_DEMAND: Demand = { rate: 0, waiting: 0 }

export function createFleetTotals (): FleetTotals {
  const reports = new Map<string, StoredReport>()
  const byServer = new Map<string, Map<string, number>>()
  const byModel = new Map<string, number>()
  const demandOfModel = new Map<string, Demand>()
  const silenceReports = new Map<string, number>()
  const states = new Map<string, MemberState & { via: string }>()

  const addInFlight = (server: string, model: string, change: number): void => {
    const models = byServer.get(server) ?? new Map<string, number>()
    byServer.set(server, models)
    addCount(models, model, change)
    if (models.size === 0) byServer.delete(server)
    addCount(byModel, model, change)
  }
  const addDemand = (model: string, rate: number, waiting: number): void => {
    const before = demandOfModel.get(model) ?? NO_DEMAND
    const next = { rate: before.rate + rate, waiting: before.waiting + waiting }
    if (next.rate < MIN_RATE && next.waiting === 0) demandOfModel.delete(model)
    else demandOfModel.set(model, next)
  }
  const apply = (report: InstanceReport, sign: 1 | -1): void => {
    report.inFlight.forEach(({ server, model, count }) => addInFlight(server, model, sign * count))
    report.demand.forEach(({ model, rate, waiting }) => addDemand(model, sign * rate, sign * waiting))
    report.silentServers.forEach(({ server, tellers }) => addCount(silenceReports, server, sign * tellers))
  }
  const drop = (member: string): void => {
    const stored = reports.get(member)
    if (stored === undefined) return
    apply(stored.report, -1)
    reports.delete(member)
    // A member that now reports through another relay stays.
    const reported = [member, ...stored.report.below.map(({ id }) => id)]
    reported.filter(id => states.get(id)?.via === member).forEach(id => states.delete(id))
  }

  return {
    put: (member, report, nowMs) => {
      drop(member)
      apply(report, 1)
      reports.set(member, { report, atMs: nowMs })
      report.below.forEach(state => states.set(state.id, { ...state, via: member }))
      states.set(member, { ...toReachState(member, report), via: member })
    },
    drop,
    expire: (maxAgeMs, nowMs) => {
      const stale = [...reports].filter(([, { atMs }]) => nowMs - atMs > maxAgeMs).map(([member]) => member)
      stale.forEach(drop)
      return stale
    },
    reporters: () => [...reports.keys()],
    report: member => reports.get(member)?.report,
    stateOf: member => states.get(member),
    states: () => [...states.values()].map(state => toReachState(state.id, state)),
    inFlightAtServer: server => [...byServer.get(server)?.values() ?? []].reduce((sum, count) => sum + count, 0),
    inFlight: (server, model) => byServer.get(server)?.get(model) ?? 0,
    inFlightOfModel: model => byModel.get(model) ?? 0,
    demand: model => demandOfModel.get(model) ?? NO_DEMAND,
    modelsInDemand: () => [...demandOfModel.keys()],
    silenceReportCount: server => silenceReports.get(server) ?? 0,
    loads: () => [...byServer].map(([server, models]) => ({ server, count: [...models.values()].reduce((sum, count) => sum + count, 0) })),
    inFlightByServer: () => [...byServer].flatMap(([server, models]) => [...models].map(([model, count]) => ({ server, model, count }))),
    demandByModel: () => [...demandOfModel].map(([model, { rate, waiting }]) => ({ model, rate, waiting })),
    silentServers: () => [...silenceReports].map(([server, tellers]) => ({ server, tellers })),
    leavingServers: () => [...new Set([...reports.values()].flatMap(({ report }) => report.leavingServers))]
  }
}

/** Leaves the field out where an instance reaches servers, so that it costs nothing then. */
function toReachState (id: string, { isReady, reachesServers }: Omit<MemberState, 'id'>): MemberState {
  return reachesServers === false ? { id, isReady, reachesServers } : { id, isReady }
}
