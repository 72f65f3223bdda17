/** Constants shared by several subsystems. */

export const VERSION = '0.1.0'

/** Prefix of every key of ours in the platform's key-value service. */
export const STORE_KEY_PREFIX = '/magnoliabay'

/**
 * Prefix of what changes every second and concerns few. Apart from the root above, which every instance watches: each
 * change there wakes them all.
 */
export const LEDGERS_PREFIX = '/ledgers'

/** Largest value that the platform's key-value service takes, in bytes. */
export const MAX_STORE_VALUE_BYTES = 1_000_000
