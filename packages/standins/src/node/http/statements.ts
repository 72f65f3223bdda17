/**
 * What a stand-in states about itself in its answers, by the names of the users' platform.
 */
import type { ServerResponse } from 'node:http'

const LIMIT_HEADER = 'server-limit'
const LEAVING_HEADER = 'server-leaving'
const REST_HEADER = 'retry-after'

/** Switches of what a backend server states. */
export interface Statements {
  /** Requests a second that it takes from all instances together; 0 states no limit. */
  statedLimit: number
  /** Time for which it wants no requests from an instance of which it refuses one, seconds; 0 states none. */
  restSeconds: number
}

export const NO_STATEMENTS: Statements = { statedLimit: 0, restSeconds: 0 }

/** Adds what holds for every answer to one that has not begun. */
export function stateInAnswer (res: ServerResponse, { statedLimit }: Statements, isLeaving: boolean): void {
  if (statedLimit > 0) res.setHeader(LIMIT_HEADER, String(statedLimit))
  if (isLeaving) res.setHeader(LEAVING_HEADER, '1')
}

/** Returns the headers of a refusal with 503 that ask for rest. */
export function restHeaders ({ restSeconds }: Statements): Record<string, string> {
  return restSeconds > 0 ? { [REST_HEADER]: String(restSeconds) } : {}
}
