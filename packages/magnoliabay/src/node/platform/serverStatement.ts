/** Decodes what an answer of a backend server states about the server itself. */
import type { IncomingHttpHeaders } from 'node:http'
import type { ServerStatement } from '../serving/types'

const LIMIT = 'server-limit'
export const NO_STATEMENT: ServerStatement = { requestsPerSecond: undefined }

const DECIMAL_PATTERN = /^\d+(\.\d+)?$/

/** Returns undefined for a value that is missing or no decimal number. */
function parseDecimal (value: string | string[] | undefined): number | undefined {
  const text = typeof value === 'string' ? value.trim() : ''
  return DECIMAL_PATTERN.test(text) ? Number(text) : undefined
}

export function decodeServerStatement (headers: IncomingHttpHeaders): ServerStatement {
  return { requestsPerSecond: parseDecimal(headers[LIMIT]) }
}
