/** Constants shared by several subsystems. */

export const VERSION = '0.1.0'

/** Prefix of the keys in the platform's key-value service, except those under {@link LEDGERS_PREFIX}. */
export const STORE_KEY_PREFIX = '/magnoliabay'

/**
 * Prefix of keys that change every second and concern few instances. It is outside {@link STORE_KEY_PREFIX}, which every
 * instance watches, since each change there wakes all instances.
 */
export const LEDGERS_PREFIX = '/ledgers'

/** Largest value that the platform's key-value service accepts, in bytes. */
export const MAX_STORE_VALUE_BYTES = 1_000_000

/** The commit from which the program was bundled, set by `scripts/bundle.ts`; `source` when it runs from its source files. */
export const BUILD_NAME = process.env.MAGNOLIABAY_BUILD ?? 'source'
