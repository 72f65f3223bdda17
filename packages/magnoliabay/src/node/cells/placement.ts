/**
 * Chooses the engine to load a model on and the replicas to evict for it: the engine where the model is expected to be
 * ready first, with the expected cost of later cold starts of the evicted models added.
 */
import type { CheckpointTier } from '../backend/protocol'
import { freeMiB, loadedReplicas } from './engineAccount'
import type { EngineAccount, Replica } from './engineAccount'
import type { LoadTimes } from './loadTimes'

export type Placement =
  | { kind: 'load', engine: string, tier: CheckpointTier, victims: readonly Replica[], expectedMs: number, reason: string }
  | { kind: 'none', reason: string }

export interface PlacementRequest {
  model: string
  memoryMiB: number
  accounts: readonly EngineAccount[]
  loadTimes: LoadTimes
  /** Time until the rate limit allows a load from the weight store, milliseconds. */
  storeWaitMs: number
  /** Whether a replica may be evicted now: not in use, and no request waits for its model. */
  isEvictable: (replica: Replica) => boolean
  /** Expected cost of evicting the replica, milliseconds of a later cold start. */
  evictionCostMs: (replica: Replica) => number
  /** Failure domains that already have a replica of the model. */
  usedDomains: ReadonlySet<string>
  domainOf: (engine: string) => string | undefined
}

/** Penalty for a second replica in the same failure domain, milliseconds. */
const SAME_DOMAIN_PENALTY_MS = 5000
const EXPECTED_UNLOAD_MS = 50

interface Candidate {
  account: EngineAccount
  tier: CheckpointTier
  victims: readonly Replica[]
  costMs: number
  expectedMs: number
}

export function decidePlacement (req: PlacementRequest): Placement {
  const candidates = req.accounts
    .filter(account => !account.replicas.has(req.model) && account.memoryMiB >= req.memoryMiB)
    .map(account => candidateOf(req, account))
    .filter(candidate => candidate !== undefined)
    .sort((left, right) => left.costMs - right.costMs || freeMiB(right.account) - freeMiB(left.account))
  const best = candidates[0]
  if (best === undefined) return { kind: 'none', reason: 'no engine has room, and nothing can be evicted' }
  const reason = `${best.tier} checkpoint, ${Math.round(best.expectedMs)} ms expected, ${best.victims.length} evicted`
  return { kind: 'load', engine: best.account.engine, tier: best.tier, victims: best.victims, expectedMs: best.expectedMs, reason }
}

function candidateOf (req: PlacementRequest, account: EngineAccount): Candidate | undefined {
  const victims = chooseVictims(req, account)
  if (victims === undefined) return undefined
  const tier = account.tiers.get(req.model) ?? 'remote'
  const storeWaitMs = tier === 'remote' ? req.storeWaitMs : 0
  const unloadMs = victims.length > 0 ? EXPECTED_UNLOAD_MS : 0
  const expectedMs = req.loadTimes.expectedMs(tier, req.memoryMiB) + storeWaitMs + unloadMs
  const evictionCostMs = victims.reduce((sum, victim) => sum + req.evictionCostMs(victim), 0)
  const domain = req.domainOf(account.engine)
  const domainPenaltyMs = domain !== undefined && req.usedDomains.has(domain) ? SAME_DOMAIN_PENALTY_MS : 0
  return { account, tier, victims, expectedMs, costMs: expectedMs + evictionCostMs + domainPenaltyMs }
}

/** The cheapest replicas whose eviction frees enough memory, and no more than needed. Undefined when none suffice. */
function chooseVictims (req: PlacementRequest, account: EngineAccount): Replica[] | undefined {
  const missingMiB = req.memoryMiB - freeMiB(account)
  if (missingMiB <= 0) return []
  const evictable = loadedReplicas(account)
    .filter(req.isEvictable)
    .sort((left, right) => req.evictionCostMs(left) / left.memoryMiB - req.evictionCostMs(right) / right.memoryMiB)
  const chosen: Replica[] = []
  let gainedMiB = 0
  for (const replica of evictable) {
    if (gainedMiB >= missingMiB) break
    chosen.push(replica)
    gainedMiB += replica.memoryMiB
  }
  if (gainedMiB < missingMiB) return undefined
  // The greedy choice may contain replicas that a later, larger one has made unnecessary.
  return chosen.filter(replica => {
    if (gainedMiB - replica.memoryMiB < missingMiB) return true
    gainedMiB -= replica.memoryMiB
    return false
  })
}
