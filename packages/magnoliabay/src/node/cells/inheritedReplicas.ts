/**
 * Replicas on engines that this steward has not reached yet: those that an earlier one said are loaded, and those
 * whose load it had recorded. They may be there, or still come, so they count, or another replica would be loaded
 * beyond what was decided.
 */
import type { Clock } from '../clock'
import type { Intent, ReplicaTable } from './records'

export interface Remembered {
  /** Adds the loads that earlier stewards had recorded and not seen answered. */
  addIntents (intents: readonly Intent[]): void
  /** Replicas of the model that may be on engines not taken up. */
  countOf (model: string): number
  /** Says which engines have been taken up, and which are listed. */
  update (takenUp: (engine: string) => boolean, isListed: (engine: string) => boolean): void
}

interface Whereabouts {
  engine: string
  model: string
}

/** As long as an engine that was taken up is kept once it has vanished from the list. */
const FORGET_UNLISTED_MS = 30_000

export function createRemembered (before: ReplicaTable | undefined, clock: Clock): Remembered {
  let replicas: Whereabouts[] = [...before?.replicas ?? []]
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
  const isKnown = (place: Whereabouts): boolean =>
    replicas.some(replica => replica.engine === place.engine && replica.model === place.model)
  return {
    addIntents: intents => {
      replicas.push(...intents.filter(intent => intent.action === 'load' && !isKnown(intent)))
    },
    countOf: model => replicas.filter(replica => replica.model === model).length,
    update: (takenUp, isListed) => {
      replicas = replicas.filter(({ engine }) => !takenUp(engine) && !isForgotten(engine, isListed(engine)))
    }
  }
}
