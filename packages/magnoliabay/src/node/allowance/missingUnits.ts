/**
 * Tells units that are being transferred from units that are out of reach for longer, such as those of an instance that
 * terminated and is not proven to have terminated.
 *
 * Units in transfer are counted at neither end, so a collection that overlaps with a transfer finds fewer than there are.
 * They arrive soon; it is worth waiting for them. Units that stay missing are not waited for again.
 */
import { ASK_TIMEOUT_MS, MAINTENANCE_INTERVAL_MS } from './constants'

/** By then, a transfer has arrived, or its reply is lost and the next maintenance has recovered its units. */
const MAX_TRANSFER_MS = ASK_TIMEOUT_MS + MAINTENANCE_INTERVAL_MS

export interface MissingUnits {
  /**
   * Records how many units a collection found missing. Returns whether some of them may arrive soon. Fewer than none are
   * missing when units moved between two replies and were counted twice; then others may be hidden by them.
   */
  mayArrive (missing: number, nowMs: number): boolean
}

export function createMissingUnits (): MissingUnits {
  /** Units that were missing for longer than a transfer takes. */
  let lasting = 0
  let recent: { units: number, sinceMs: number } | undefined
  return {
    mayArrive: (missing, nowMs) => {
      if (missing < 0) return true
      if (missing <= lasting) {
        lasting = missing
        recent = undefined
        return false
      }
      recent = { units: Math.min(missing, recent?.units ?? missing), sinceMs: recent?.sinceMs ?? nowMs }
      if (nowMs - recent.sinceMs < MAX_TRANSFER_MS) return true
      lasting = recent.units
      recent = undefined
      return missing > lasting
    }
  }
}
