/**
 * What a stand-in states about itself in its answers, by the names of the users' platform.
 */
import type { ServerResponse } from 'node:http'

const LIMIT_HEADER = 'server-limit'
const BRITTLE_HEADER = 'server-brittle'
const LEAVING_HEADER = 'server-leaving'
const BACKOFF_HEADER = 'retry-after'

/** Switches of what a backend server states. */
export interface Statements {
  /** Requests a second that it takes from all instances together; 0 states no limit. */
  statedLimit: number
  /** Time for which it wants no requests from an instance of which it refuses one, seconds; 0 states none. */
  backoffSeconds: number
  /** Rejections a second beyond which it falls over, for want of room; below 0 it is not brittle, and has room for all. */
  brittleRejections: number
  /** Requests that it has room for while it is brittle. */
  brittleRoom: number
}

export const NO_STATEMENTS: Statements = { statedLimit: 0, backoffSeconds: 0, brittleRejections: -1, brittleRoom: 8 }

/** Adds what holds for every answer to one that has not begun. */
export function stateInAnswer (res: ServerResponse, { statedLimit, brittleRejections }: Statements, isLeaving: boolean): void {
  if (brittleRejections >= 0) res.setHeader(BRITTLE_HEADER, String(brittleRejections))
  if (statedLimit > 0) res.setHeader(LIMIT_HEADER, String(statedLimit))
  if (isLeaving) res.setHeader(LEAVING_HEADER, '1')
}

/** Returns the headers of a refusal with 503 that ask for backoff. */
export function backoffHeaders ({ backoffSeconds }: Statements): Record<string, string> {
  return backoffSeconds > 0 ? { [BACKOFF_HEADER]: String(backoffSeconds) } : {}
}
