/**
 * What a stand-in states about itself in each of its answers, by the names of the users' platform.
 */
import type { ServerResponse } from 'node:http'

const LIMIT_HEADER = 'server-limit'

/** Switches of what a backend server states. */
export interface Statements {
  /** Requests a second that it takes from all instances together; 0 states no limit. */
  statedLimit: number
}

export const NO_STATEMENTS: Statements = { statedLimit: 0 }

/** Adds the statements to an answer that has not begun. */
export function stateInAnswer (res: ServerResponse, { statedLimit }: Statements): void {
  if (statedLimit > 0) res.setHeader(LIMIT_HEADER, String(statedLimit))
}
