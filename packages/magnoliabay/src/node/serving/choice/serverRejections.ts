/**
 * Keeps the rejections by which engines state that they are full, to avoid such an engine for a short time and to learn how
 * many requests it holds: the length of an engine's queue is not in the configuration.
 */
import type { Clock } from '../../clock'

/** An engine that rejected a request is avoided until the next summary shows its load, milliseconds. */
export const REJECTION_AVOIDANCE_MS = 500
/** Requests that an engine holds, running and queued, for each slot, until a rejection shows that it holds fewer. */
export const DEFAULT_PLACES_PER_SLOT = 4
/** A rejection below this load for each slot has another cause than a full queue, such as a model that is not loaded. */
const MIN_PLACES_PER_SLOT = 2
/** A learned number of places is kept this long: requests of other sizes may leave more room, milliseconds. */
const PLACES_RETENTION_MS = 30_000

export interface ServerRejections {
  /** Records that a server rejected a request; `load` is its known load then. */
  record (server: string, load: number, slots: number): void
  /** Whether the server rejected a request a short time ago. */
  isRejecting (server: string): boolean
  /** Requests that the server holds before it rejects one. */
  placesOf (server: string, slots: number): number
  /** Whether `placesOf` was learned from a rejection. */
  isLearned (server: string): boolean
  forget (server: string): void
}

interface Rejections {
  lastMs: number
  /** Infinity if no rejection has shown it. */
  places: number
  placesLearnedMs: number
}

export function createServerRejections ({ clock }: { clock: Clock }): ServerRejections {
  const rejections = new Map<string, Rejections>()
  const isCurrent = ({ placesLearnedMs }: Rejections): boolean => clock.monotonic() - placesLearnedMs < PLACES_RETENTION_MS
  const learnedPlaces = (server: string): number => {
    const found = rejections.get(server)
    return found !== undefined && isCurrent(found) ? found.places : Infinity
  }
  return {
    record: (server, load, slots) => {
      const now = clock.monotonic()
      const known = rejections.get(server) ?? { lastMs: now, places: Infinity, placesLearnedMs: -Infinity }
      const isFull = load >= MIN_PLACES_PER_SLOT * slots
      const places = isFull ? Math.min(learnedPlaces(server), load) : known.places
      rejections.set(server, { lastMs: now, places, placesLearnedMs: isFull ? now : known.placesLearnedMs })
    },
    isRejecting: server => clock.monotonic() - (rejections.get(server)?.lastMs ?? -Infinity) < REJECTION_AVOIDANCE_MS,
    placesOf: (server, slots) => Math.min(DEFAULT_PLACES_PER_SLOT * slots, learnedPlaces(server)),
    isLearned: server => learnedPlaces(server) < Infinity,
    forget: server => { rejections.delete(server) }
  }
}
