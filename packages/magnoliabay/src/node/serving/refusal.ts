/** Reasons for which a request ends without a response from a backend server, and the status sent to the caller. */

/** Why a request got no response from a backend server. Each reason has a paragraph in the operators' guide. */
export type EndReason =
  | 'no-config'
  | 'no-route'
  | 'unknown-key'
  | 'over-allowance'
  | 'no-server'
  | 'model-not-in-time'
  | 'no-orderer'
  | 'stream-version-unknown'
  | 'stream-version-absent'
  | 'stream-version-gone'
  | 'server-full'
  | 'server-cold'
  | 'server-limited'
  | 'server-backoff'
  | 'retry-budget-spent'
  | 'crashes-servers'
  | 'route-timeout'
  | 'server-failed'
  | 'answer-cut'
  | 'caller-gone'
  | 'leaving'
  | 'fault'

/** After these a retry cannot end otherwise, so that none is suggested. */
export const FINAL_REASONS: ReadonlySet<EndReason> = new Set<EndReason>(['crashes-servers'])

/** The end of a request without a response from a backend server. */
export interface Refusal {
  reason: EndReason
  /** Delay after which a retry makes sense, milliseconds. */
  retryAfterMs?: number
}

/** Retry delay, milliseconds: a full server has free slots again after about one service time. */
export const SERVER_FULL_RETRY_AFTER_MS = 300
/** Retry delay, milliseconds: other instances can take the request at once. */
export const LEAVING_RETRY_AFTER_MS = 20

/** Statuses that guarantee that the request has not run and never will. */
const NOT_RUN_STATUS: Record<EndReason, number> = {
  'no-config': 503,
  'no-route': 404,
  'unknown-key': 401,
  'over-allowance': 429,
  'no-server': 503,
  'model-not-in-time': 503,
  'no-orderer': 503,
  'stream-version-unknown': 503,
  'stream-version-absent': 503,
  'stream-version-gone': 503,
  'server-full': 503,
  'server-cold': 503,
  'server-limited': 503,
  'server-backoff': 503,
  'retry-budget-spent': 503,
  'crashes-servers': 503,
  'route-timeout': 503,
  'server-failed': 502,
  'answer-cut': 502,
  'caller-gone': 503,
  leaving: 503,
  fault: 500
}
const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504

/** Returns the status for a reason; a status that guarantees *not run* is used only while that is certain. */
export function statusOf (reason: EndReason, mayHaveRun: boolean): number {
  if (!mayHaveRun) return NOT_RUN_STATUS[reason]
  return reason === 'route-timeout' ? GATEWAY_TIMEOUT : BAD_GATEWAY
}

/** Returns the refusal of a request that was stopped. One that has not run may be sent again at once where only this process ends. */
export function stopRefusalOf ({ stopReason = 'fault' }: { stopReason: EndReason | undefined }): Refusal {
  return { reason: stopReason, retryAfterMs: stopReason === 'leaving' ? LEAVING_RETRY_AFTER_MS : SERVER_FULL_RETRY_AFTER_MS }
}
