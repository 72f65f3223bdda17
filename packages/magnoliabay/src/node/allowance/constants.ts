/** Sizes, intervals and timeouts of the allowances. */
import { STORE_KEY_PREFIX } from '../constants'

/** A team's whole allowance, in units. Shares are whole numbers of units, so that rounding cannot create any. */
export const TOTAL_UNITS = 2 ** 20

/**
 * Units that each home of a region holds of a team that doesn't need them elsewhere. Requests arrive at one home, whose
 * share would otherwise grow to nearly all units; if it were killed, the team would be refused everything until its
 * termination is proven.
 */
export const HOME_TARGET_UNITS = TOTAL_UNITS / 4

export const PROCESSES_PREFIX = `${STORE_KEY_PREFIX}/allowance/processes/`
export const LEDGERS_PREFIX = `${STORE_KEY_PREFIX}/allowance/ledgers/`

/** Interval at which idle shares are offered, lost transfers recovered and pending store operations retried, in milliseconds. */
export const MAINTENANCE_INTERVAL_MS = 1000
/** A share at a member that is not a home returns to a home after this long without a request, in milliseconds. */
export const SHARE_IDLE_TIMEOUT_MS = 2000
/** How long requests are refused by the total found in the last collection, without asking other members again, in milliseconds. */
export const KNOWN_TOTAL_TTL_MS = 100
/** Maximum number of members asked at once when tokens are collected. */
export const MAX_COLLECTION_PEERS = 16
export const ASK_TIMEOUT_MS = 500
/**
 * How long a collection waits for units that are being transferred, in milliseconds. Longer than a round trip between
 * regions, and short enough that a member that reserves at a home gets its reply within {@link ASK_TIMEOUT_MS}.
 */
export const MAX_TRANSFER_WAIT_MS = 200
/** Pause before tokens are collected again while units are being transferred, in milliseconds. It doubles each time. */
export const FIRST_TRANSFER_PAUSE_MS = 5
/** Time to retry, in milliseconds, when it is not known how many tokens there are. */
export const UNKNOWN_TOTAL_RETRY_MS = 1000
/**
 * A reservation for a request at another member that is not settled by then counts as fully used. Longer than any
 * request, in milliseconds.
 */
export const REMOTE_RESERVATION_TTL_MS = 300_000

export const MS_PER_SECOND = 1000
