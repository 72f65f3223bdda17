/** What `status` shows: this instance's view of the fleet. */
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
  /** Whether the instance that answers has a link to it. */
  isConnected: boolean
}

export interface StoreStatus {
  /** Seconds since a call was answered; undefined before the first. */
  answeredSecondsAgo?: number
  /** Outcome of the last call. */
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

/** Calls with these outcomes tell that the service itself doesn't answer. */
const AWAY: ReadonlySet<string> = new Set(['unavailable', 'unknown'])

export function createStoreHealthMonitor (clock: Clock, logger: Logger): StoreHealthMonitor {
  let answeredMs: number | undefined
  let lastOutcome: string | undefined
  let awaySinceMs: number | undefined

  /** One line when the store goes and one when it is back, whatever is called meanwhile. */
  const logChange = (outcome: string): void => {
    if (AWAY.has(outcome) && awaySinceMs === undefined) {
      awaySinceMs = clock.monotonic()
      logger.warn('store-away', { outcome })
    }
    if (outcome !== 'ok' || awaySinceMs === undefined) return
    logger.info('store-back', { awaySeconds: Math.round((clock.monotonic() - awaySinceMs) / 1000) })
    awaySinceMs = undefined
  }
  return {
    recordCall: ({ outcome }) => {
      lastOutcome = outcome
      logChange(outcome)
      if (outcome === 'ok') answeredMs = clock.monotonic()
    },
    status: () => ({
      answeredSecondsAgo: answeredMs === undefined ? undefined : Math.round((clock.monotonic() - answeredMs) / 1000),
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
