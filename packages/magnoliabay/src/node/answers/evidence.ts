/** What a promise rests on that a request has not run. */

/** Header or status by which an answer says that its request has not run, as it stands on the wire. */
export type Disclaimer = string

/** Nothing of the request left this process. */
export const UNSENT = 'unsent'

/** Why one send of a request is certain not to have run. */
export interface NotRunEvidence {
  /** Id or address of the server. */
  server: string
  /** Which send of the request it was, from 1. */
  send: number
  /** Connection on which the answer arrived; undefined for a request that was not sent. */
  connection: number | undefined
  /** What says so: a header or status of the answer, or {@link UNSENT}. */
  basis: Disclaimer | typeof UNSENT
}

/** Bounds a log line. */
const MAX_LOGGED = 4

/** Formats the evidence of all sends for a log line; undefined for a request that was never sent. */
export function formatEvidence (evidence: readonly NotRunEvidence[]): string | undefined {
  if (evidence.length === 0) return undefined
  return evidence.slice(-MAX_LOGGED)
    .map(({ server, send, connection, basis }) => `send ${send} to ${server}${connection === undefined ? '' : ` on connection ${connection}`}: ${basis}`)
    .join('; ')
}
