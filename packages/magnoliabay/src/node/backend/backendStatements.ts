/** What backend servers state about themselves in their answers, by address, and what follows for requests to them. */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerNotice } from '../members'
import type { Peers } from '../members'
import { createLimitedServers, createServerLimits, createServerBackoffs } from '../statements'
import type { ServerStatement, StatedLimit } from '../statements'
import type { ResponseHeaders } from './httpExchange'
import type { LeavingBackends } from './leavingBackends'

export type DecodeStatement = (status: number, headers: ResponseHeaders) => ServerStatement

const statedLimitsNotice = definePeerNotice<{ stated: readonly StatedLimit[] }>('backend.stated-limits')

export interface BackendStatements {
  /** Records what an answer to a request states. `hasRun`: the backend server has run the request. */
  record (address: string, status: number, headers: ResponseHeaders, hasRun: boolean): void
  /** Time for which the backend server certainly takes no request, as far as known here, milliseconds. */
  refusedForMs (address: string): number
  /** Takes a request for the backend server; returns whether it may be sent now. */
  admit (address: string): Promise<boolean>
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
  peers.listen(statedLimitsNotice, ({ stated }) => limits.recordFromPeer(stated))

  return {
    record: (address, status, headers, hasRun) => {
      const statement = decode(status, headers)
      if (statement.isLeaving) leavingBackends.markLeaving(address)
      if (statement.backoffMs > 0) backoffs.record(address, statement.backoffMs)
      const before = limits.limitOf(address)
      limits.record(address, statement, hasRun)
      if (limits.limitOf(address) !== before) peers.notifyAll(statedLimitsNotice, { stated: limits.stated() })
    },
    refusedForMs: address => Math.max(backoffs.remainingMs(address), limitedServers.refusedForMs(address)),
    admit: async address => backoffs.remainingMs(address) === 0 && (await limitedServers.admit(address, false)).freeInMs === 0
  }
}
