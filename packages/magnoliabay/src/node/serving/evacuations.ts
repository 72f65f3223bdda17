/**
 * Tracks evacuated failure domains: their backend servers get no new requests until the operator ends the evacuation,
 * and requests that run there finish. States are ordered by the revision of the store, so an instance that receives them
 * from several peers, or late, never reverts to an older one.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'

export interface EvacuationState {
  domains: readonly string[]
  /** Revision of the store at which this state was read; 0 while none is known. */
  revision: number
}

export interface Evacuations {
  isEvacuated (failureDomain: string): boolean
  /** Milliseconds since the evacuation of a failure domain ended; Infinity if none has ended. */
  endedAgoMs (failureDomain: string): number
  state (): EvacuationState
  /** Applies the complete list of evacuated failure domains as read from the store. */
  snapshot (domains: readonly string[], revision: number): void
  /** Applies the beginning of an evacuation, reported by the store. */
  begin (failureDomain: string, revision: number): void
  /** Applies the end of an evacuation, reported by the store. */
  end (failureDomain: string, revision: number): void
  /** Applies the state that a peer has sent; undefined from a peer of an older version. */
  applyFromPeer (state: EvacuationState | undefined): void
  onChanged (listener: () => void): void
}

export interface EvacuationsOptions {
  /** Time since which the store has answered without interruption, monotonic milliseconds. */
  storeReachableSinceMs: () => number
  clock: Clock
  logger: Logger
}

/** Time within which records that an outage or a rollback of the store removed are written again, milliseconds. */
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
