/** Sizes and periods of the allowances. */
import { STORE_KEY_PREFIX } from '../constants'

/** A team's whole allowance, in units. Shares are whole numbers of units, so that no rounding can make one. */
export const TOTAL_UNITS = 2 ** 20

/**
 * What each home of a region holds of a team that doesn't need it elsewhere. Callers come to one home, and its
 * share would hold nearly all: were it killed, the team would be refused everything until the death is proven.
 */
export const KEPT_BY_EACH_HOME = TOTAL_UNITS / 4

export const PROCESSES_PREFIX = `${STORE_KEY_PREFIX}/allowance/processes/`
export const LEDGERS_PREFIX = `${STORE_KEY_PREFIX}/allowance/ledgers/`

/** How often idle shares are offered, lost transfers healed and pending store work retried, in milliseconds. */
export const MAINTENANCE_PERIOD_MS = 1000
/** A share away from home without a request for this long goes home, in milliseconds. */
export const IDLE_SHARE_MS = 2000
/** For how long a team is refused on what the last collection brought, without asking again, in milliseconds. */
export const KNOWN_TOTAL_MS = 100
/** Members asked at once when tokens are collected. */
export const MAX_COLLECTED_FROM = 16
export const ASK_TIMEOUT_MS = 500
/** A home gives up on hearing what a request elsewhere used; all of it counts as used then. Longer than any request, in milliseconds. */
export const REMOTE_RESERVATION_MS = 300_000

export const MS_PER_SECOND = 1000
