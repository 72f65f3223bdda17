/** Constants shared by several subsystems. */

export const VERSION = '0.1.0'

/** Prefix of every key of ours in the platform's key-value service. */
export const STORE_ROOT = '/magnoliabay'

/** Largest value that the platform's key-value service takes, in bytes. */
export const MAX_STORE_VALUE_BYTES = 1_000_000
