/**
 * Which of several replicas a request goes to: the same prompt prefix goes to the same replica, as long as that one
 * is not much busier than the others.
 */
import type { ReplicaEntry } from '../cells'
import { rankByRendezvous } from '../utils'

export interface SelectionRequest {
  replicas: readonly ReplicaEntry[]
  /** Hash of the prompt's beginning, when it is worth keeping together. */
  prefix?: string
  /** Requests at an engine, as far as is known. */
  loadOf: (engine: string) => number
  /** Failure domains in which this request, or others lately, failed. */
  avoidDomains: ReadonlySet<string>
}

/** A replica may be this much busier than the mean before a prefix goes elsewhere. */
const MAX_LOAD_RATIO = 1.25
/** Below this load nobody waits, so the prefix decides alone. */
const UNCONTENDED_LOAD = 4

/**
 * Rendezvous hashing gives all instances the same order without a word between them, and needs no cache events,
 * which come late and with gaps: an event that is missed costs nothing.
 */
export function chooseReplica (req: SelectionRequest): ReplicaEntry | undefined {
  const outsideAvoidedDomains = req.replicas.filter(replica => !req.avoidDomains.has(replica.failureDomain))
  const usable = outsideAvoidedDomains.length > 0 ? outsideAvoidedDomains : req.replicas
  if (usable.length < 2) return usable[0]
  const leastBusy = usable.reduce((best, replica) => req.loadOf(replica.engine) < req.loadOf(best.engine) ? replica : best)
  if (req.prefix === undefined) return leastBusy
  const mean = usable.reduce((sum, replica) => sum + req.loadOf(replica.engine), 0) / usable.length
  const maxLoad = Math.max(UNCONTENDED_LOAD, mean * MAX_LOAD_RATIO)
  const ranked = rankByRendezvous(req.prefix, usable, replica => replica.engine)
  return ranked.find(replica => req.loadOf(replica.engine) <= maxLoad) ?? leastBusy
}
