/** Decodes what an answer of a backend server states about the server itself. */
import type { ServerStatement } from '../statements'

const LIMIT = 'server-limit'
const BRITTLE = 'server-brittle'
const LEAVING = 'server-leaving'
const IS_LEAVING = '1'
const BACKOFF_S = 'retry-after'
const SERVICE_UNAVAILABLE = 503
const MS_PER_SECOND = 1000
const DECIMAL_PATTERN = /^\d+(\.\d+)?$/

export const NO_STATEMENT: ServerStatement = { requestsPerSecond: undefined, maxRejectionsPerSecond: undefined, isLeaving: false, backoffMs: 0 }

/** Returns undefined for a value that is missing or no decimal number that can be counted with. */
function parseDecimal (header: string | string[] | undefined): number | undefined {
  const text = typeof header === 'string' ? header.trim() : ''
  const value = DECIMAL_PATTERN.test(text) ? Number(text) : Infinity
  return value <= Number.MAX_SAFE_INTEGER ? value : undefined
}

export function decodeServerStatement (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): ServerStatement {
  const backoffS = status === SERVICE_UNAVAILABLE ? parseDecimal(headers[BACKOFF_S]) : undefined
  return {
    requestsPerSecond: parseDecimal(headers[LIMIT]),
    maxRejectionsPerSecond: parseDecimal(headers[BRITTLE]),
    isLeaving: headers[LEAVING] === IS_LEAVING,
    backoffMs: (backoffS ?? 0) * MS_PER_SECOND
  }
}
