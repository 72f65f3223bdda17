/**
 * Brings configuration and server list to an instance that the store does not answer: peers that have a newer one
 * are asked for it.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerCall } from '../members'
import type { Peers } from '../members'
import type { ConfigInForce } from './configInForce'
import type { FleetRow } from './fleetTable'
import type { ListedEntry, Servers } from './servers'

const configCall = definePeerCall<Record<string, never>, { text: string | undefined }>('serving.config')
const serversCall = definePeerCall<Record<string, never>, { entries: readonly ListedEntry[] }>('serving.servers')

/** Own contact with the store that is older than this counts as lost; a peer's that is younger, as standing. */
const STALE_MS = 6000
const FRESH_MS = 5000
/** The list is taken from peers at most this often. */
const LIST_PERIOD_MS = 700
const CALL_TIMEOUT_MS = 700

export interface SpreadOptions {
  peers: Peers
  cfg: ConfigInForce
  servers: Servers
  /** Milliseconds since the store last answered here. */
  storeAgeMs: () => number
  clock: Clock
  logger: Logger
}

/** Answers peers, and returns what is to be called with each row that a peer tells. */
export function createSpread (options: SpreadOptions): (member: string, row: FleetRow) => void {
  const { peers, cfg, servers, storeAgeMs, clock } = options
  let isFetchingConfig = false
  let listFetchedMs = -Infinity

  peers.serve(configCall, () => ({ text: cfg.text() }))
  peers.serve(serversCall, () => ({ entries: servers.isKnown() ? servers.entries() : [] }))

  const fetchConfig = async (member: string): Promise<void> => {
    isFetchingConfig = true
    const reply = await peers.call(member, configCall, {}, { timeoutMs: CALL_TIMEOUT_MS })
    isFetchingConfig = false
    if (reply.ok && reply.val.text !== undefined) cfg.offer(reply.val.text, 'peer')
  }
  const fetchServers = async (member: string): Promise<void> => {
    listFetchedMs = clock.monotonic()
    const reply = await peers.call(member, serversCall, {}, { timeoutMs: CALL_TIMEOUT_MS })
    if (reply.ok && reply.val.entries.length > 0) servers.snapshot(reply.val.entries)
  }
  return (member, row) => {
    if (row.configVersion > cfg.version() && !isFetchingConfig) fetchConfig(member)
    row.leavingServers.forEach(servers.noteLeaving)
    const isBlind = !servers.isKnown() || storeAgeMs() > STALE_MS
    const isPeerBetter = row.isReady && (row.storeAgeMs < FRESH_MS || !servers.isKnown())
    if (isBlind && isPeerBetter && clock.monotonic() - listFetchedMs > LIST_PERIOD_MS) fetchServers(member)
  }
}
