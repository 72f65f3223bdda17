/**
 * Keeps the rate limits that backend servers state in their answers. An instance hears of a limit by its own requests, and
 * from the others through reports and summaries; of two statements the later one holds.
 */
import * as v from 'valibot'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { ServerStatement } from './types'

/** What a server process last stated, as instances send it to each other. */
export interface StatedLimit {
  server: string
  /** Undefined: it stated that it has no limit any more. */
  requestsPerSecond: number | undefined
  /** Time since the answer, milliseconds. */
  ageMs: number
}

export const statedLimitSchema = v.object({ server: v.string(), requestsPerSecond: v.optional(v.number()), ageMs: v.number() })

export interface ServerLimits {
  /**
   * Records what an answer of the server process states. `hasRun`: it answers a request that the process has run; any
   * other answer may come from elsewhere, or lack the statement, so it lifts no limit.
   */
  record (process: string, statement: Pick<ServerStatement, 'requestsPerSecond'>, hasRun: boolean): void
  /** Records what answers to other instances state; undefined from a peer of an older version. */
  recordFromPeer (stated: readonly StatedLimit[] | undefined): void
  /** Returns the latest statements, for other instances. */
  stated (): readonly StatedLimit[]
  /** Requests a second that the process takes from all instances together; undefined if it states no limit. */
  limitOf (process: string): number | undefined
  forget (process: string): void
}

export interface ServerLimitsOptions {
  clock: Clock
  logger: Logger
  /** Called with the number of limited processes when a limit has changed. */
  onChanged: (count: number) => void
}

/** Without an answer for this long, to any instance, a limit is not known any more, milliseconds. */
const STATEMENT_TTL_MS = 30_000
/** Bounds the size of reports and summaries; an instance hears of the others by its own requests. */
const MAX_SHARED_STATEMENTS = 64

interface Statement {
  requestsPerSecond: number | undefined
  /** Monotonic milliseconds. */
  atMs: number
  source: 'answer' | 'peer'
}

export function createServerLimits ({ clock, logger, onChanged }: ServerLimitsOptions): ServerLimits {
  /** By server process; a lifted limit is kept as well, so that an older statement of a peer does not bring it back. */
  const statements = new Map<string, Statement>()

  const isCurrent = ({ atMs }: Statement): boolean => clock.monotonic() - atMs < STATEMENT_TTL_MS
  const currentOf = (process: string): Statement | undefined => {
    const statement = statements.get(process)
    return statement !== undefined && isCurrent(statement) ? statement : undefined
  }
  const countLimited = (): number => [...statements.values()].filter(each => isCurrent(each) && each.requestsPerSecond !== undefined).length
  const set = (process: string, statement: Statement): void => {
    const before = currentOf(process)?.requestsPerSecond
    statements.set(process, statement)
    const { requestsPerSecond, source } = statement
    if (before === requestsPerSecond) return
    logger.info('server-limit', { server: process, requestsPerSecond: requestsPerSecond ?? 'none', before: before ?? 'none', source })
    onChanged(countLimited())
  }
  return {
    record: (process, { requestsPerSecond }, hasRun) => {
      const isLifted = hasRun && statements.has(process)
      if (requestsPerSecond !== undefined || isLifted) set(process, { requestsPerSecond, atMs: clock.monotonic(), source: 'answer' })
    },
    recordFromPeer: stated => stated?.forEach(({ server, requestsPerSecond, ageMs }) => {
      const atMs = clock.monotonic() - ageMs
      if (atMs > (statements.get(server)?.atMs ?? -Infinity)) set(server, { requestsPerSecond, atMs, source: 'peer' })
    }),
    stated: () => {
      statements.forEach((statement, process) => { if (!isCurrent(statement)) statements.delete(process) })
      return [...statements]
        .sort(([, left], [, right]) => right.atMs - left.atMs)
        .slice(0, MAX_SHARED_STATEMENTS)
        .map(([server, { requestsPerSecond, atMs }]) => ({ server, requestsPerSecond, ageMs: Math.round(clock.monotonic() - atMs) }))
    },
    limitOf: process => currentOf(process)?.requestsPerSecond,
    forget: process => { if (statements.delete(process)) onChanged(countLimited()) }
  }
}
