/** Keeps where streams began in the platform's store, so that they outlive a restart of all instances. */
import type { OriginRecord, StreamOrigin } from './streamOrigins'

/** `absent`: the store was read and names no such stream. `unreadable`: it could not be read. */
export type StoredLookup = { kind: 'found', origin: StreamOrigin } | { kind: 'absent' } | { kind: 'unreadable' }

export interface AddOptions {
  /** Whether the records are written at once and not with the next batch. */
  isUrgent: boolean
}

export interface StoredOrigins {
  /** Queues records to be written. */
  add (records: readonly OriginRecord[], options: AddOptions): void
  /** Looks a stream up in the store by its key, see `streamKey`. */
  find (key: string): Promise<StoredLookup>
}

/** Stands for a store that keeps no records. */
export const NO_STORED_ORIGINS: StoredOrigins = { add: () => {}, find: async () => ({ kind: 'unreadable' }) }
