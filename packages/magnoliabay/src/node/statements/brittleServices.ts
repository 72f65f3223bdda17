/**
 * Keeps which services have brittle backend servers: servers that fall over when they have to reject more than a stated
 * number of requests in a second. All servers of a service are brittle at the same time, so one answer, to any instance,
 * holds for all of them; of two statements the later one holds.
 */
import * as v from 'valibot'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { ServerStatement } from './types'

/** What servers of a service last stated, as instances send it to each other. */
export interface StatedBrittleness {
  service: string
  /** Undefined: they stated that they are not brittle any more. */
  maxRejectionsPerSecond: number | undefined
  /** Time since the answer, milliseconds. */
  ageMs: number
}

export const statedBrittlenessSchema = v.object({ service: v.string(), maxRejectionsPerSecond: v.optional(v.number()), ageMs: v.number() })

export interface BrittleServices {
  /** Records what an answer of a server of the service states. `hasRun`: it answers a request that the server has run; no other answer ends the state. */
  record (service: string, statement: Pick<ServerStatement, 'maxRejectionsPerSecond'>, hasRun: boolean): void
  /** Records what answers to other instances state; undefined from a peer of an older version. */
  recordFromPeer (stated: readonly StatedBrittleness[] | undefined): void
  /** Returns the latest statements, for other instances; empty where no service has been brittle. */
  stated (): readonly StatedBrittleness[]
  /** Rejections a second that a server of the service bears; undefined if the service is not brittle. */
  maxRejectionsOf (service: string): number | undefined
}

export interface BrittleServicesOptions {
  clock: Clock
  logger: Logger
}

/** Without an answer for this long, to any instance, the state is not known any more, milliseconds. */
const STATEMENT_TTL_MS = 30_000

interface Statement {
  maxRejectionsPerSecond: number | undefined
  /** Monotonic milliseconds. */
  atMs: number
}

export function createBrittleServices ({ clock, logger }: BrittleServicesOptions): BrittleServices {
  const statements = new Map<string, Statement>()

  const isCurrent = ({ atMs }: Statement): boolean => clock.monotonic() - atMs < STATEMENT_TTL_MS
  const maxRejectionsOf = (service: string): number | undefined => {
    const statement = statements.get(service)
    return statement !== undefined && isCurrent(statement) ? statement.maxRejectionsPerSecond : undefined
  }
  const set = (service: string, statement: Statement, source: 'answer' | 'peer'): void => {
    const before = maxRejectionsOf(service)
    statements.set(service, statement)
    const { maxRejectionsPerSecond } = statement
    if (before !== maxRejectionsPerSecond) logger.info('service-brittle', { service, maxRejectionsPerSecond: maxRejectionsPerSecond ?? 'none', before: before ?? 'none', source })
  }
  return {
    record: (service, { maxRejectionsPerSecond }, hasRun) => {
      const isEnded = hasRun && statements.has(service)
      if (maxRejectionsPerSecond !== undefined || isEnded) set(service, { maxRejectionsPerSecond, atMs: clock.monotonic() }, 'answer')
    },
    recordFromPeer: stated => stated?.forEach(({ service, maxRejectionsPerSecond, ageMs }) => {
      const atMs = clock.monotonic() - ageMs
      if (atMs > (statements.get(service)?.atMs ?? -Infinity)) set(service, { maxRejectionsPerSecond, atMs }, 'peer')
    }),
    stated: () => {
      statements.forEach((statement, service) => { if (!isCurrent(statement)) statements.delete(service) })
      return [...statements].map(([service, { maxRejectionsPerSecond, atMs }]) => ({ service, maxRejectionsPerSecond, ageMs: Math.round(clock.monotonic() - atMs) }))
    },
    maxRejectionsOf
  }
}
