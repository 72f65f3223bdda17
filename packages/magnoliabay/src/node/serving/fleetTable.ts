/**
 * What instances tell each other a few times a second: what they have under way at which server, what waits for
 * which model, which configuration they have, which servers they know to be leaving.
 */
import type { Clock } from '../clock'
import { definePeerNotice } from '../members'
import type { MemberRecord, Peers } from '../members'
import type { TeamSpent } from './allowance/teamAllowance'

/** How often each instance tells. Placement of requests errs by what starts in between; nine instances cost 36 notices a second each. */
export const TABLE_PERIOD_MS = 250
/** Changes that cannot wait are gathered for this long, milliseconds. */
const SOON_MS = 15
/** What an instance told is dropped after this long without a word. */
const STALE_MS = 2500

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

export interface FleetRow {
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
  /** The instance gives orders to engines. */
  isOrderer: boolean
}

export interface FleetTable {
  /** Requests that other instances have at a server. */
  elsewhere (server: string): number
  /** Requests under way for a model at a server, this instance's included. */
  inFlight (server: string, model: string): number
  demand (model: string): { rate: number, waiting: number }
  models (): readonly string[]
  isReady (member: string): boolean
  /** Instances that hear nothing from a server. */
  silentFor (server: string): number
  /** The instance that gives orders, by its own word. */
  orderer (): string | undefined
}

const rowNotice = definePeerNotice<FleetRow>('serving.row')

export interface FleetTableOptions {
  peers: Peers
  clock: Clock
  own: () => FleetRow
  /** Called with each row that comes in. */
  onRow: (member: MemberRecord, row: FleetRow) => void
}

interface HeldRow {
  row: FleetRow
  atMs: number
}

export interface FleetTeller {
  /** Begins telling. */
  start (signal: AbortSignal): void
  /** Something changed that others decide by: tells it ahead of time. */
  tellSoon (): void
}

export function createFleetTable (options: FleetTableOptions): FleetTable & FleetTeller {
  const { peers, clock, own, onRow } = options
  const rows = new Map<string, HeldRow>()
  let isSoon = false
  let tellNow = (): void => {}
  let cancelNext = (): void => {}

  const fresh = (): FleetRow[] => {
    const now = clock.monotonic()
    rows.forEach((held, member) => { if (now - held.atMs > STALE_MS) rows.delete(member) })
    return [...rows.values()].map(held => held.row)
  }
  const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0)
  peers.listen(rowNotice, (row, from) => {
    rows.set(from.id, { row, atMs: clock.monotonic() })
    onRow(from, row)
  })

  return {
    elsewhere: server => sum(fresh().flatMap(row => row.inFlight.filter(entry => entry.server === server).map(entry => entry.count))),
    inFlight: (server, model) => sum([...fresh(), own()].flatMap(row =>
      row.inFlight.filter(entry => entry.server === server && entry.model === model).map(entry => entry.count))),
    demand: model => {
      const found = [...fresh(), own()].flatMap(row => row.demand.filter(entry => entry.model === model))
      return { rate: sum(found.map(entry => entry.rate)), waiting: sum(found.map(entry => entry.waiting)) }
    },
    models: () => [...new Set([...fresh(), own()].flatMap(row => row.demand.map(entry => entry.model)))],
    isReady: member => rows.get(member)?.row.isReady ?? false,
    silentFor: server => [...fresh(), own()].filter(row => row.silentServers.includes(server)).length,
    orderer: () => [...rows].find(([, { row, atMs }]) => row.isOrderer && clock.monotonic() - atMs < STALE_MS)?.[0],
    start: signal => {
      const tell = (): void => {
        if (signal.aborted) return
        cancelNext()
        isSoon = false
        peers.notifyAll(rowNotice, own())
        cancelNext = clock.schedule(TABLE_PERIOD_MS, tell)
      }
      tellNow = tell
      cancelNext = clock.schedule(TABLE_PERIOD_MS, tell)
    },
    tellSoon: () => {
      if (isSoon) return
      isSoon = true
      clock.schedule(SOON_MS, () => { if (isSoon) tellNow() })
    }
  }
}
