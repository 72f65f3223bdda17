/**
 * Selects one of several replicas for a request: the same prompt prefix goes to the same replica, unless that one is
 * much busier than the others.
 */
import type { ReplicaEntry } from '../cells'
import { rankByRendezvous } from '../utils'

export interface SelectionRequest {
  replicas: readonly ReplicaEntry[]
  /** Hash of the prompt's prefix, if such prompts should go to one replica. */
  prefix?: string
  /** Known number of requests at an engine. */
  loadOf: (engine: string) => number
  /** Failure domains in which this request, or others recently, failed. */
  avoidDomains: ReadonlySet<string>
}

/** A prefix goes to another replica when its own has more than this multiple of the mean load. */
const MAX_LOAD_RATIO = 1.25
/** Up to this many requests at an engine none waits, so the prefix alone decides. */
const UNCONTENDED_LOAD = 4

/**
 * Rendezvous hashing gives all instances the same order without messages between them. It needs no cache events, which
 * arrive late and with gaps, so a missed event does no harm.
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
