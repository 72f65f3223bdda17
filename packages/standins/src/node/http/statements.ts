/**
 * What a stand-in states about itself in its answers, by the names of the users' platform.
 */
import type { ServerResponse } from 'node:http'

const LIMIT_HEADER = 'server-limit'
const LEAVING_HEADER = 'server-leaving'
const BACKOFF_HEADER = 'retry-after'

/** Switches of what a backend server states. */
export interface Statements {
  /** Requests a second that it takes from all instances together; 0 states no limit. */
  statedLimit: number
  /** Time for which it wants no requests from an instance of which it refuses one, seconds; 0 states none. */
  backoffSeconds: number
}

export const NO_STATEMENTS: Statements = { statedLimit: 0, backoffSeconds: 0 }

/** Adds what holds for every answer to one that has not begun. */
export function stateInAnswer (res: ServerResponse, { statedLimit }: Statements, isLeaving: boolean): void {
  if (statedLimit > 0) res.setHeader(LIMIT_HEADER, String(statedLimit))
  if (isLeaving) res.setHeader(LEAVING_HEADER, '1')
}

/** Returns the headers of a refusal with 503 that ask for backoff. */
export function backoffHeaders ({ backoffSeconds }: Statements): Record<string, string> {
  return backoffSeconds > 0 ? { [BACKOFF_HEADER]: String(backoffSeconds) } : {}
}
