/** The key prefixes that an instance reads and watches in the store, with their delays; the leader does so for all its followers. */
import { STORE_KEY_PREFIX } from '../constants'
import type { Store, PrefixWatch } from '../store'
import type { ServingConfigProvider } from './servingConfigProvider'
import type { Evacuations } from './evacuations'
import type { ServerList } from './serverList'
import type { ServingProtocol } from './servingProtocol'

/**
 * Longest wait of a watch of configuration and servers' entries, milliseconds, on an instance that follows no other, such
 * as the leader, on which all others depend. A watch on a connection that has stopped responding is detected after this
 * and a second more. If it took longer, a withdrawn key or a leaving server would stay in use everywhere beyond the time
 * in which a change must be active.
 */
const PROMPT_WATCH_WAIT_MS = 1500
/** The same for members and leases, of which instances also learn by their links to each other, milliseconds. */
const MEMBERS_WATCH_WAIT_MS = 4000
/** The same for a proxy of a leader that cannot reach the store, milliseconds: others rely on the leader only while that contact is recent. */
const PROXY_WATCH_WAIT_MS = 500
/**
 * Delay in which changes are collected, milliseconds. Of members: a little for each, since each change wakes all
 * instances, and members change one after the other. Of servers: for an instance that follows no other, and a shorter one
 * for the leader while orders are pending, since the end of an order allows it to send the next.
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
  /** Whether this instance reads and watches the store itself; members and leader are read once in any case. */
  readsStore: () => boolean
  /** Whether this instance watches for a leader that cannot reach the store. */
  isProxy: () => boolean
  /** Whether this instance awaits the end of any order to an engine. */
  hasPendingOrders: () => boolean
}

/** Applies changes of configuration, evacuations and servers in the store. */
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

/** Returns one watch for each prefix, since servers' entries change with each heartbeat of each server. */
export function createPrefixWatches ({ protocol, memberCount, readsStore, isProxy, hasPendingOrders }: StoreWatchOptions): PrefixWatch[] {
  const waitMs = (defaultMs: number) => (): number => isProxy() ? PROXY_WATCH_WAIT_MS : defaultMs
  const membersBatchDelayMs = (): number => Math.min(MAX_BATCH_DELAY_MS, Math.max(MIN_BATCH_DELAY_MS, memberCount() * BATCH_DELAY_PER_MEMBER_MS))
  return [
    { prefix: protocol.keys.operator, isEnabled: readsStore, batchDelayMs: () => MIN_BATCH_DELAY_MS, waitMs: waitMs(PROMPT_WATCH_WAIT_MS) },
    { prefix: STORE_KEY_PREFIX, isEnabled: readsStore, isReadAtStart: true, batchDelayMs: membersBatchDelayMs, waitMs: waitMs(MEMBERS_WATCH_WAIT_MS) },
    { prefix: protocol.keys.servers, isEnabled: readsStore, batchDelayMs: () => hasPendingOrders() ? PENDING_ORDERS_BATCH_DELAY_MS : SERVERS_BATCH_DELAY_MS, waitMs: waitMs(PROMPT_WATCH_WAIT_MS) }
  ]
}
