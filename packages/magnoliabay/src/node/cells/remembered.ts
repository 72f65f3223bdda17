/**
 * Replicas that an earlier steward said are loaded on engines that this one has not reached yet. They may still be
 * there, so they count, or a second replica would be loaded beyond what was decided.
 */
import type { Clock } from '../clock'
import type { ReplicaTable } from './records'

export interface Remembered {
  /** Replicas of the model that may be on engines not taken up. */
  countOf (model: string): number
  /** Says which engines have been taken up, and which are listed. */
  update (takenUp: (engine: string) => boolean, isListed: (engine: string) => boolean): void
}

/** As long as an engine that was taken up is kept once it has vanished from the list. */
const FORGET_UNLISTED_MS = 30_000

export function createRemembered (before: ReplicaTable | undefined, clock: Clock): Remembered {
  let replicas = [...before?.replicas ?? []]
  const unlistedSinceMs = new Map<string, number>()
  const isForgotten = (engine: string, isListed: boolean): boolean => {
    if (isListed) {
      unlistedSinceMs.delete(engine)
      return false
    }
    const sinceMs = unlistedSinceMs.get(engine) ?? clock.monotonic()
    unlistedSinceMs.set(engine, sinceMs)
    return clock.monotonic() - sinceMs >= FORGET_UNLISTED_MS
  }
  return {
    countOf: model => replicas.filter(replica => replica.model === model).length,
    update: (takenUp, isListed) => {
      replicas = replicas.filter(({ engine }) => !takenUp(engine) && !isForgotten(engine, isListed(engine)))
    }
  }
}
