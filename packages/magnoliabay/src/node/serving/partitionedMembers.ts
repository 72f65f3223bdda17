/** Decides what follows for callers and for forwarding when instances report that they reach no backend server. */

/** Bounds the size of a summary; each summary names others, so that all share the load. */
const MAX_NAMED_FORWARDERS = 8
/**
 * Callers are kept from partitioned instances only while these are at most this part of all. Requests there cost the others
 * no more than if callers came directly, and the few that are left could not take all connections of callers.
 */
const MAX_AVOIDED_RATIO = 0.5

export interface ReachState {
  id: string
  isReady: boolean
  /** False if the instance reaches no server; absent if it does, or from an older version. */
  reachesServers?: boolean
}

export interface PartitionDecision {
  /** Instances to which callers should not be directed. */
  avoided: readonly string[]
  /** Instances that connect others to servers; empty without a partition. */
  forwarders: readonly string[]
}

const NO_PARTITION: PartitionDecision = { avoided: [], forwarders: [] }

/** `random`: a number from 0 to below 1. */
export function decideOnPartition (states: readonly ReachState[], random: number): PartitionDecision {
  const partitioned = states.filter(({ reachesServers }) => reachesServers === false).map(({ id }) => id)
  if (partitioned.length === 0) return NO_PARTITION
  const reaching = states.filter(({ isReady, reachesServers }) => isReady && reachesServers !== false).map(({ id }) => id)
  const first = Math.floor(random * reaching.length)
  return {
    avoided: partitioned.length <= states.length * MAX_AVOIDED_RATIO ? partitioned : [],
    forwarders: [...reaching.slice(first), ...reaching.slice(0, first)].slice(0, MAX_NAMED_FORWARDERS)
  }
}
