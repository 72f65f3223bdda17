/** What an answer of a backend server states about the server itself. */
export interface ServerStatement {
  /** Requests a second that the server takes from all instances together; undefined if it states no limit. */
  requestsPerSecond: number | undefined
  /** It falls over if it has to reject more requests than this in a second; undefined if it does not say so. */
  maxRejectionsPerSecond: number | undefined
  /** It will end soon and wants no new requests. */
  isLeaving: boolean
  /** Time for which it wants no requests from this instance, milliseconds; 0 for none. */
  backoffMs: number
}
