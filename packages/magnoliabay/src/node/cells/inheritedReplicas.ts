/**
 * Replicas on engines that this steward has not reached yet: those that an earlier one said are loaded, and those
 * whose load it had recorded. They may be there, or still come, so they count, or another replica would be loaded
 * beyond what was decided.
 */
import type { Clock } from '../clock'
import type { Intent, ReplicaTable } from './records'

export interface InheritedReplicas {
  /** Adds the loads that earlier stewards had recorded and not seen answered. */
  addIntents (intents: readonly Intent[]): void
  /** Replicas of the model that may be on engines not taken up. */
  countOf (model: string): number
  /** Says which engines have been taken up, and which are listed. */
  update (isTakenOver: (engine: string) => boolean, isListed: (engine: string) => boolean): void
}

interface ReplicaLocation {
  engine: string
  model: string
}

/** As long as an engine that was taken up is kept once it has vanished from the list. */
const UNLISTED_RETENTION_MS = 30_000

export function createInheritedReplicas (previousTable: ReplicaTable | undefined, clock: Clock): InheritedReplicas {
  let replicas: ReplicaLocation[] = [...previousTable?.replicas ?? []]
  const unlistedSinceMs = new Map<string, number>()
  const isExpired = (engine: string, isListed: boolean): boolean => {
    if (isListed) {
      unlistedSinceMs.delete(engine)
      return false
    }
    const sinceMs = unlistedSinceMs.get(engine) ?? clock.monotonic()
    unlistedSinceMs.set(engine, sinceMs)
    return clock.monotonic() - sinceMs >= UNLISTED_RETENTION_MS
  }
  const isKnown = (location: ReplicaLocation): boolean =>
    replicas.some(replica => replica.engine === location.engine && replica.model === location.model)
  return {
    addIntents: intents => {
      replicas.push(...intents.filter(intent => intent.action === 'load' && !isKnown(intent)))
    },
    countOf: model => replicas.filter(replica => replica.model === model).length,
    update: (isTakenOver, isListed) => {
      replicas = replicas.filter(({ engine }) => !isTakenOver(engine) && !isExpired(engine, isListed(engine)))
    }
  }
}
