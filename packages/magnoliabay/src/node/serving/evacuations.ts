/**
 * Failure domains whose backend servers are to get nothing new until the operator says otherwise. What runs there
 * finishes. What is known is ordered by the store's revision: an instance that hears of it from several peers, or late,
 * never goes back to what was before.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'

export interface EvacuationState {
  domains: readonly string[]
  /** Of the store, when this was so; 0 while nothing is known. */
  revision: number
}

export interface Evacuations {
  isEvacuated (failureDomain: string): boolean
  /** Milliseconds since the evacuation of a failure domain ended; Infinity where none has. */
  endedAgoMs (failureDomain: string): number
  state (): EvacuationState
  /** By the store: all that there are. */
  snapshot (domains: readonly string[], revision: number): void
  begin (failureDomain: string, revision: number): void
  end (failureDomain: string, revision: number): void
  /** A peer tells what it knows; an instance of an older version tells nothing. */
  applyFromPeer (state: EvacuationState | undefined): void
  onChanged (listener: () => void): void
}

export interface EvacuationsOptions {
  /** Monotonic milliseconds since when the store has been answering without a break. */
  storeReachableSinceMs: () => number
  clock: Clock
  logger: Logger
}

/** What a store that was away, or went back to an older copy, lacks is written again within this time, milliseconds. */
const REWRITE_TIMEOUT_MS = 2500

export function createEvacuations ({ storeReachableSinceMs, clock, logger }: EvacuationsOptions): Evacuations {
  const listeners: Array<() => void> = []
  const endedMsByDomain = new Map<string, number>()
  let current: EvacuationState = { domains: [], revision: 0 }

  const apply = (next: EvacuationState, source: 'store' | 'peer'): void => {
    if (next.revision <= current.revision) return
    const ended = current.domains.filter(domain => !next.domains.includes(domain))
    const isChanged = ended.length > 0 || next.domains.length !== current.domains.length
    current = next
    ended.forEach(domain => endedMsByDomain.set(domain, clock.monotonic()))
    if (!isChanged) return
    logger.info('evacuation', { domains: next.domains, ended, revision: next.revision, source })
    listeners.forEach(listener => listener())
  }
  return {
    isEvacuated: failureDomain => current.domains.includes(failureDomain),
    endedAgoMs: failureDomain => clock.monotonic() - (endedMsByDomain.get(failureDomain) ?? -Infinity),
    state: () => current,
    snapshot: (domains, revision) => {
      const mayBeRollback = clock.monotonic() - storeReachableSinceMs() < REWRITE_TIMEOUT_MS && current.domains.some(domain => !domains.includes(domain))
      if (mayBeRollback) clock.schedule(REWRITE_TIMEOUT_MS, () => apply({ domains, revision }, 'store'))
      else apply({ domains, revision }, 'store')
    },
    begin: (failureDomain, revision) => apply({ domains: [...new Set([...current.domains, failureDomain])], revision }, 'store'),
    end: (failureDomain, revision) => apply({ domains: current.domains.filter(domain => domain !== failureDomain), revision }, 'store'),
    applyFromPeer: state => { if (state !== undefined) apply(state, 'peer') },
    onChanged: listener => { listeners.push(listener) }
  }
}
