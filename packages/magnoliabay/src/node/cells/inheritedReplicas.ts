/**
 * Replicas on engines that this leader has not taken over yet: those in the table of the former leader, and those whose
 * load it had recorded. They may exist, or still be loaded, so they count against the quota; otherwise more replicas
 * than allowed could be loaded.
 */
import type { Clock } from '../clock'
import type { Intent, ReplicaTable } from './records'

export interface InheritedReplicas {
  /** Adds the loads that former leaders had recorded and that were not answered. */
  addIntents (intents: readonly Intent[]): void
  /** Number of replicas of the model that may be on engines not taken over. */
  countOf (model: string): number
  /** Removes the replicas on engines that are taken over, or that have been unlisted for too long. */
  update (isTakenOver: (engine: string) => boolean, isListed: (engine: string) => boolean): void
}

interface ReplicaLocation {
  engine: string
  model: string
}

/** As long as `MISSING_TIMEOUT_MS` in `engineReconciler.ts`, after which the account of a missing engine is dropped. */
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
