/** Status of the fleet as this instance sees it, for `status`. */
import type { ReplicaEntry } from '../cells'
import type { ConfigProvider, DocumentVersion } from '../config'
import type { MemberRecord, Peers } from '../members'
import type { StoreCallReport } from '../store'
import type { Clock } from '../clock'
import type { Logger } from '../logger'

export interface MemberStatus {
  id: string
  incarnation: string
  failureDomain: string
  entryAddress: string
  operatorAddress: string
  leaving: boolean
  /** Whether the responding instance has a link to this member. */
  isConnected: boolean
}

export interface StoreStatus {
  /** Seconds since the last successful call; undefined before the first. */
  answeredSecondsAgo?: number
  /** Outcome of the latest call. */
  lastOutcome?: string
}

export interface FleetStatus {
  instance: MemberRecord
  members: MemberStatus[]
  config: number
  documents: readonly DocumentVersion[]
  replicas: readonly ReplicaEntry[]
  teams: Array<{ name: string, tokensPerSecond: number, burstTokens: number }>
  store: StoreStatus
}

export interface StoreHealthMonitor {
  recordCall (call: StoreCallReport): void
  status (): StoreStatus
}

/** Outcomes of calls that the store did not answer. */
const UNAVAILABLE_OUTCOMES: ReadonlySet<string> = new Set(['unavailable', 'unknown'])

export function createStoreHealthMonitor (clock: Clock, logger: Logger): StoreHealthMonitor {
  let lastAnsweredMs: number | undefined
  let lastOutcome: string | undefined
  let unavailableSinceMs: number | undefined

  /** Logs one line when the store becomes unavailable and one when it responds again, however many calls fail in between. */
  const logAvailabilityChange = (outcome: string): void => {
    if (UNAVAILABLE_OUTCOMES.has(outcome) && unavailableSinceMs === undefined) {
      unavailableSinceMs = clock.monotonic()
      logger.warn('store-away', { outcome })
    }
    if (outcome !== 'ok' || unavailableSinceMs === undefined) return
    logger.info('store-back', { awaySeconds: Math.round((clock.monotonic() - unavailableSinceMs) / 1000) })
    unavailableSinceMs = undefined
  }
  return {
    recordCall: ({ outcome }) => {
      lastOutcome = outcome
      logAvailabilityChange(outcome)
      if (outcome === 'ok') lastAnsweredMs = clock.monotonic()
    },
    status: () => ({
      answeredSecondsAgo: lastAnsweredMs === undefined ? undefined : Math.round((clock.monotonic() - lastAnsweredMs) / 1000),
      lastOutcome
    })
  }
}

export interface StatusOptions {
  peers: Peers
  cfg: ConfigProvider
  replicas: { all (): readonly ReplicaEntry[] }
  store: StoreHealthMonitor
}

export function createStatus (options: StatusOptions): () => FleetStatus {
  const { peers, cfg } = options
  return () => ({
    instance: peers.self,
    members: peers.members().map(({ id, incarnation, failureDomain, entryAddress, operatorAddress, leaving }) => ({
      id, incarnation, failureDomain, entryAddress, operatorAddress, leaving, isConnected: peers.isConnected(id)
    })),
    config: cfg.active().version,
    documents: cfg.active().documents,
    replicas: options.replicas.all(),
    teams: cfg.active().fleet.team.map(({ name, tokensPerSecond, burstTokens }) => ({ name, tokensPerSecond, burstTokens })),
    store: options.store.status()
  })
}
