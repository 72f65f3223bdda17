/** What an instance reads and watches in the store, and how closely: the leader does so for all who follow it. */
import { STORE_KEY_PREFIX } from '../constants'
import type { Store, PrefixWatch } from '../store'
import type { ServingConfigProvider } from './servingConfigProvider'
import type { Evacuations } from './evacuations'
import type { ServerList } from './serverList'
import type { ServingProtocol } from './servingProtocol'

/**
 * Of configuration and servers' entries, for one who follows nobody, and so for the leader, by whom all others go: a
 * watch on a connection that has fallen silent is noticed after this and a second more, milliseconds. Longer, and a
 * withdrawn key or a server that leaves would stay in use everywhere beyond the time in which a change must be in force.
 */
const PROMPT_WATCH_WAIT_MS = 1500
/** The same for members and leases, which links between instances tell of as well, milliseconds. */
const MEMBERS_WATCH_WAIT_MS = 4000
/** The same for one who watches for a leader out of the store's reach: how lately the store was heard decides whether others go by it. */
const PROXY_WATCH_WAIT_MS = 500
/**
 * Pause after changes, milliseconds: of members, a little for each, since each change wakes everybody and members
 * change in series; of servers, for one who follows nobody; and of servers for the leader, to whom the end of an
 * order tells that the next one may be sent.
 */
const BATCH_DELAY_PER_MEMBER_MS = 15
const MIN_BATCH_DELAY_MS = 150
const MAX_BATCH_DELAY_MS = 1000
const SERVERS_BATCH_DELAY_MS = 300
const PENDING_ORDERS_BATCH_DELAY_MS = 10
export interface StoreWatchOptions {
  store: Pick<Store, 'watch'>
  protocol: Pick<ServingProtocol, 'keys'>
  cfg: ServingConfigProvider
  evacuations: Evacuations
  servers: ServerList
  memberCount: () => number
  /** Whether this instance is to ask the store itself; members and leader are read once in any case. */
  readsStore: () => boolean
  /** This instance watches for a leader out of the store's reach. */
  isProxy: () => boolean
  /** The end of an order is awaited. */
  hasPendingOrders: () => boolean
}

/** Passes on what the store tells of configuration, evacuations and servers. */
export function watchStore ({ store, protocol, cfg, evacuations, servers }: StoreWatchOptions, signal: AbortSignal): void {
  store.watch(protocol.keys.config, {
    onSnapshot: ({ entries }) => entries.filter(entry => entry.key === protocol.keys.config).forEach(entry => cfg.applyIfNewer(entry.value, 'store')),
    onEvent: event => { if (event.kind === 'put' && event.key === protocol.keys.config) cfg.applyIfNewer(event.value, 'store') }
  }, signal)
  const domainOf = (key: string): string => key.slice(protocol.keys.evacuations.length)
  store.watch(protocol.keys.evacuations, {
    onSnapshot: ({ entries, revision }) => evacuations.snapshot(entries.map(entry => domainOf(entry.key)), revision),
    onEvent: ({ kind, key, modRevision }) => kind === 'put' ? evacuations.begin(domainOf(key), modRevision) : evacuations.end(domainOf(key), modRevision)
  }, signal)
  store.watch(protocol.keys.servers, {
    onSnapshot: ({ entries }) => servers.snapshot(entries),
    onEvent: event => event.kind === 'put' ? servers.put(event) : servers.remove(event.key)
  }, signal)
}

/** One watching call for each; servers' entries change with each beat of each server. */
export function createPrefixWatches ({ protocol, memberCount, readsStore, isProxy, hasPendingOrders }: StoreWatchOptions): PrefixWatch[] {
  const waitMs = (defaultMs: number) => (): number => isProxy() ? PROXY_WATCH_WAIT_MS : defaultMs
  const membersBatchDelayMs = (): number => Math.min(MAX_BATCH_DELAY_MS, Math.max(MIN_BATCH_DELAY_MS, memberCount() * BATCH_DELAY_PER_MEMBER_MS))
  return [
    { prefix: protocol.keys.operator, isEnabled: readsStore, batchDelayMs: () => MIN_BATCH_DELAY_MS, waitMs: waitMs(PROMPT_WATCH_WAIT_MS) },
    { prefix: STORE_KEY_PREFIX, isEnabled: readsStore, isReadAtStart: true, batchDelayMs: membersBatchDelayMs, waitMs: waitMs(MEMBERS_WATCH_WAIT_MS) },
    { prefix: protocol.keys.servers, isEnabled: readsStore, batchDelayMs: () => hasPendingOrders() ? PENDING_ORDERS_BATCH_DELAY_MS : SERVERS_BATCH_DELAY_MS, waitMs: waitMs(PROMPT_WATCH_WAIT_MS) }
  ]
}
