/**
 * Which engine should load a model, and what has to go for it.
 */
import { freeMiB } from './account'
import type { Charge, EngineAccount } from './account'

export type Placement =
  | { kind: 'load', engine: string, reason: string }
  | { kind: 'evict', engine: string, model: string, reason: string }
  | { kind: 'none', reason: string }

export interface PlacementRequest {
  model: string
  memoryMiB: number
  accounts: readonly EngineAccount[]
}

/** The emptiest engine with room; else the least recently used model of any engine goes. */
export function decidePlacement (req: PlacementRequest): Placement {
  const candidates = req.accounts
    .filter(account => !account.charges.has(req.model))
    .sort((left, right) => freeMiB(right) - freeMiB(left))
  const roomy = candidates.find(account => freeMiB(account) >= req.memoryMiB)
  if (roomy !== undefined) return { kind: 'load', engine: roomy.engine, reason: `${freeMiB(roomy)} MiB free` }
  const victims = candidates
    .filter(account => account.memoryMiB >= req.memoryMiB)
    .flatMap(account => loadedCharges(account).map(charge => ({ account, charge })))
    .sort((left, right) => left.charge.lastUsedMs - right.charge.lastUsedMs)
  const victim = victims[0]
  if (victim === undefined) return { kind: 'none', reason: 'no engine has room, and nothing can be evicted' }
  return { kind: 'evict', engine: victim.account.engine, model: victim.charge.model, reason: 'least recently used' }
}

function loadedCharges (account: EngineAccount): Charge[] {
  return [...account.charges.values()].filter(charge => charge.state === 'loaded')
}
