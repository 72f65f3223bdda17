/** What backend servers state about themselves in their answers, by address, and what follows for requests to them. */
import * as v from 'valibot'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerNotice } from '../members'
import type { Peers } from '../members'
import { createBrittleServers, createBrittleServices, createLimitedServers, createServerLimits, createServerBackoffs, statedBrittlenessSchema, statedLimitSchema } from '../statements'
import type { ServerStatement, StatedBrittleness, StatedLimit } from '../statements'
import type { ResponseHeaders } from './httpExchange'
import type { LeavingBackends } from './leavingBackends'

export type DecodeStatement = (status: number, headers: ResponseHeaders) => ServerStatement

/** The list does not say how many requests a backend server works on: its room is learned from what it takes and rejects. */
const UNKNOWN_SLOTS = Infinity
/** Time after which a brittle backend server without a free place may have one, milliseconds. */
const NO_PLACE_MS = 300

const statedLimitsNotice = definePeerNotice<{ stated: readonly StatedLimit[], brittle?: readonly StatedBrittleness[] }>('backend.stated-limits', v.object({ stated: v.array(statedLimitSchema), brittle: v.optional(v.array(statedBrittlenessSchema)) }))

/** A place at a backend server, held until its request has ended. */
export interface Place {
  release (isRejected: boolean): void
}

export interface BackendStatements {
  /** Records what an answer to a request states. `hasRun`: the backend server has run the request. */
  record (address: string, status: number, headers: ResponseHeaders, hasRun: boolean): void
  /** Time for which the backend server certainly takes no request, as far as known here, milliseconds. */
  refusedForMs (address: string): number
  /** Takes a request for the backend server; returns whether it may be sent now. */
  admit (address: string): Promise<boolean>
  /** Takes a request as `admit` does, and a place for it if the backend server is brittle; undefined if it may not be sent now. */
  takePlace (address: string): Promise<Place | undefined>
}

export interface BackendStatementsOptions {
  peers: Peers
  leavingBackends: Pick<LeavingBackends, 'markLeaving'>
  decode: DecodeStatement
  clock: Clock
  logger: Logger
  /** Returns a number from 0 to below 1. @default Math.random */
  random?: () => number
}

export function createBackendStatements ({ peers, leavingBackends, decode, clock, logger, random = Math.random }: BackendStatementsOptions): BackendStatements {
  const limits = createServerLimits({ clock, logger, onChanged: () => {} })
  const limitedServers = createLimitedServers({ peers, limits, clock, logger, random })
  const backoffs = createServerBackoffs({ clock, logger })
  const brittleServices = createBrittleServices({ clock, logger })
  const brittleServers = createBrittleServers({ peers, reportedInFlight: () => 0, clock, logger, random })
  const admit = async (address: string): Promise<boolean> => backoffs.remainingMs(address) === 0 && (await limitedServers.admit(address, false)).freeInMs === 0
  peers.listen(statedLimitsNotice, ({ stated, brittle }) => {
    limits.recordFromPeer(stated)
    brittleServices.recordFromPeer(brittle)
  })

  return {
    record: (address, status, headers, hasRun) => {
      const statement = decode(status, headers)
      if (statement.isLeaving) leavingBackends.markLeaving(address)
      if (statement.backoffMs > 0) backoffs.record(address, statement.backoffMs)
      const before = limits.limitOf(address)
      limits.record(address, statement, hasRun)
      const maxRejectionsBefore = brittleServices.maxRejectionsOf(address)
      brittleServices.record(address, statement, hasRun)
      const hasChanged = limits.limitOf(address) !== before || brittleServices.maxRejectionsOf(address) !== maxRejectionsBefore
      if (hasChanged) peers.notifyAll(statedLimitsNotice, { stated: limits.stated(), brittle: brittleServices.stated() })
    },
    refusedForMs: address => Math.max(backoffs.remainingMs(address), limitedServers.refusedForMs(address), brittleServers.isRefused(address) ? NO_PLACE_MS : 0),
    admit,
    takePlace: async address => {
      const maxRejections = brittleServices.maxRejectionsOf(address)
      const mustHoldPlace = maxRejections !== undefined
      if (mustHoldPlace && !await brittleServers.take(address, UNKNOWN_SLOTS, maxRejections)) return undefined
      const release: Place['release'] = isRejected => { if (mustHoldPlace) brittleServers.release(address, isRejected) }
      if (await admit(address)) return { release }
      release(false)
      return undefined
    }
  }
}
