/** Maintains the list of backend servers from the store's entries and from what peers send, and selects those that may be used. */
import type { InputMonitor } from '../inputs'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { parseAddress, stableHash } from '../utils'
import type { ListedServer, ServersNotice } from './fleetMessages'
import { serverProcessId } from './types'
import type { BackendServer } from './types'

/**
 * Entries expire while the store is unreachable, though their servers are running; they are written again within about
 * two seconds of its return. Removing them at once would leave requests without a server. Those still missing then are
 * removed.
 */
const EXPIRED_ENTRY_RETENTION_MS = 2000
/** Removals within this long after the store was unreachable may be such expired entries, milliseconds. */
export const STORE_RECOVERY_MS = 3000

const NO_COPIES: BackendServer['copies'] = { memory: [], disk: [] }

/** How much older a peer's information may be than a removal that the store has reported here, milliseconds. */
const MAX_PEER_LAG_MS = 4000
/** Above this number of leaving processes those that are not listed any more are dropped. */
const MAX_LEAVING_PROCESSES = 1000
/** A store that is restored from an older copy lists again servers that were removed up to this long ago, milliseconds. */
const MAX_STORE_COPY_AGE_MS = 15_000

export type LeavingSource = 'answer' | 'peer'

export interface StoreEntry {
  key: string
  value: string
}

export interface ServerList {
  /** Servers that take new requests. */
  usable (service: string): readonly BackendServer[]
  /** The server whose process this is, if it takes new requests. */
  findUsableByProcess (process: string): BackendServer | undefined
  get (id: string): BackendServer | undefined
  all (): readonly BackendServer[]
  /** Whether the list has been read. */
  isKnown (): boolean
  /** Returns the list for a peer that does not read it from the store. */
  listed (): readonly ListedServer[]
  /** Equal for two instances exactly if both have the same information on every server. */
  digest (): string
  snapshot (entries: readonly StoreEntry[]): void
  put (entry: StoreEntry): void
  remove (key: string): void
  /** Replaces the list by that of a peer. */
  replaceAll (list: readonly ListedServer[]): void
  /** Applies the changes of a peer's list. */
  applyChanges (notice: ServersNotice): void
  /** Returns the changes since the last call, for instances that follow this list. */
  takeChanges (): ServersNotice | undefined
  /** Records that the server's process is leaving, as one of its answers states or a peer reports. It never returns. */
  recordLeaving (serverProcess: string, source: LeavingSource): void
  /** Listed processes that are leaving, from any source. */
  leaving (): readonly string[]
  /** Remaining time for which the server's process is cold by its own entry, milliseconds. */
  coldMs (process: string): number
  /** Whether the server's entry has expired, and the server is kept for a while since the store was away. */
  isHeld (id: string): boolean
  /** Called when a condition outside this list that decides which servers are usable has changed. */
  notifyChanged (): void
  /** Applies the models of an engine's report that is newer than its entry. */
  updateModels (server: BackendServer, models: BackendServer['models']): void
  onChanged (listener: () => void): void
  /** The listener is called with each entry as the store lists it. */
  onEntry (listener: (server: BackendServer) => void): void
}

export interface ServerListOptions {
  /** Counts values that cannot be read. @default they are logged only */
  inputs?: Pick<InputMonitor, 'countRefused'>
  decode: (key: string, text: string) => BackendServer | undefined
  idOf: (key: string) => string
  /** Whether servers of the failure domain get no new requests. */
  isEvacuated: (failureDomain: string) => boolean
  /** Time since which the store has responded without interruption, monotonic milliseconds. */
  storeReachableSinceMs: () => number
  clock: Clock
  logger: Logger
}

export function createServerList (options: ServerListOptions): ServerList {
  const { decode, idOf, storeReachableSinceMs, clock, logger } = options
  const servers = new Map<string, BackendServer>()
  const leaving = new Set<string>()
  const listeners: Array<() => void> = []
  const entryListeners: Array<(server: BackendServer) => void> = []
  /** When the store reported servers as removed, by process. */
  const removedByStoreMs = new Map<string, number>()
  const pendingRemovals = new Map<string, () => void>()
  /** When peers reported servers as removed, by process. */
  const removedByPeersMs = new Map<string, number>()
  /** Ids of servers whose entry changed, and of those of which only the models did, since changes were last taken. */
  const changedIds = new Set<string>()
  const modelsChangedIds = new Set<string>()
  /** End of the cold time, monotonic milliseconds, by process. */
  const coldUntilMs = new Map<string, number>()
  let digest: string | undefined
  let isKnown = false

  const notifyChanged = (): void => {
    digest = undefined
    listeners.forEach(listener => listener())
  }
  const cancelRemoval = (id: string): void => {
    pendingRemovals.get(id)?.()
    pendingRemovals.delete(id)
  }
  const removeServer = (id: string, reason: string): void => {
    cancelRemoval(id)
    const server = servers.get(id)
    if (server === undefined) return
    servers.delete(id)
    coldUntilMs.delete(serverProcessId(server))
    changedIds.add(id)
    logger.info('server-gone', { server: id, service: server.service, reason })
    notifyChanged()
  }
  const removeByStore = (id: string, reason: string): void => {
    const nowMs = clock.monotonic()
    removedByStoreMs.forEach((atMs, process) => { if (nowMs - atMs > MAX_STORE_COPY_AGE_MS) removedByStoreMs.delete(process) })
    const server = servers.get(id)
    if (server !== undefined) removedByStoreMs.set(serverProcessId(server), nowMs)
    removeServer(id, reason)
  }
  const removeOrHold = (id: string): void => {
    if (!servers.has(id) || pendingRemovals.has(id)) return
    const mayHaveExpired = clock.monotonic() - storeReachableSinceMs() < STORE_RECOVERY_MS
    if (!mayHaveExpired || servers.get(id)!.state === 'draining') return removeByStore(id, 'entry removed')
    logger.info('server-lapsed', { server: id, heldMs: EXPIRED_ENTRY_RETENTION_MS })
    pendingRemovals.set(id, clock.schedule(EXPIRED_ENTRY_RETENTION_MS, () => removeByStore(id, 'entry not restored after the store was unreachable')))
  }
  /** A peer's information may be older than that of the store: it does not bring back a server that is leaving. */
  const isOutdated = (server: ListedServer): boolean => isOlderThanKnown(server) || wasRemovedByStore(server, MAX_PEER_LAG_MS)
  /** A process that is draining does not become ready again, and an earlier process of the id does not return. */
  const isOlderThanKnown = (server: ListedServer): boolean => {
    const known = servers.get(server.id)
    const revertsDraining = known?.bornMs === server.bornMs && known.state === 'draining' && server.state === 'ready'
    return revertsDraining || (known?.bornMs ?? 0) > server.bornMs
  }
  const wasRemovedByStore = (server: ListedServer, withinMs: number): boolean => clock.monotonic() - (removedByStoreMs.get(serverProcessId(server)) ?? -Infinity) < withinMs
  const isConnectable = ({ id, address }: ListedServer): boolean => {
    if (parseAddress(address) !== undefined) return true
    options.inputs?.countRefused('peer-message')
    logger.warn('server-entry-refused', { server: id, address, reason: 'no address ip:port' })
    return false
  }
  const updateFromPeer = (list: readonly ListedServer[]): void => {
    const accepted = list.filter(server => !isOutdated(server)).filter(isConnectable)
    accepted.forEach(server => removedByPeersMs.delete(serverProcessId(server)))
    accepted.map(withCopies).forEach(updateListed)
  }
  const removeByPeer = (id: string, reason: string): void => {
    const server = servers.get(id)
    if (server !== undefined) removedByPeersMs.set(serverProcessId(server), clock.monotonic())
    removeServer(id, reason)
  }
  /**
   * A watch that resumes after the store was unreachable replays all events of that time, including heartbeats of servers
   * that peers have since reported as removed: each would get requests until its removal is replayed as well.
   */
  const isReplayed = (server: BackendServer): boolean => {
    const nowMs = clock.monotonic()
    removedByPeersMs.forEach((atMs, process) => { if (nowMs - atMs > MAX_STORE_COPY_AGE_MS) removedByPeersMs.delete(process) })
    return nowMs - storeReachableSinceMs() < STORE_RECOVERY_MS && removedByPeersMs.has(serverProcessId(server))
  }
  /** Cancels the removal of a server that is listed again. A server's own report does not cancel it: a leaving server still responds. */
  const updateListed = (server: BackendServer): boolean => {
    cancelRemoval(server.id)
    return update(server)
  }
  const coldMs = (process: string): number => Math.max(0, (coldUntilMs.get(process) ?? -Infinity) - clock.monotonic())
  /** Returns whether the server was not known to be cold. */
  const recordCold = (server: BackendServer): boolean => {
    const process = serverProcessId(server)
    const isNewlyCold = server.coldMs > 0 && coldMs(process) === 0
    if (server.coldMs > 0) coldUntilMs.set(process, Math.max(coldUntilMs.get(process) ?? 0, clock.monotonic() + server.coldMs))
    if (isNewlyCold) logger.info('server-cold', { server: server.id, forMs: Math.round(server.coldMs) })
    return isNewlyCold
  }
  /** Returns whether anything has changed that decides where requests are sent. */
  const update = (server: BackendServer): boolean => {
    const { id } = server
    const before = servers.get(id)
    servers.set(id, server)
    const hasTurnedCold = recordCold(server)
    if (hasTurnedCold) changedIds.add(id)
    if (before === undefined || routingTextOf(before) !== routingTextOf(server)) {
      changedIds.add(id)
      logger.info('server-listed', { server: id, service: server.service, address: server.address, state: server.state, bornMs: server.bornMs, softwareVersion: server.softwareVersion })
      return true
    }
    if (modelsTextOf(before) === modelsTextOf(server)) return hasTurnedCold
    modelsChangedIds.add(id)
    return true
  }
  const applyEntry = ({ key, value }: StoreEntry): boolean => {
    const server = decode(key, value)
    if (server === undefined) {
      options.inputs?.countRefused('store-value')
      logger.warn('server-entry-unreadable', { key })
      return false
    }
    // The store may have been restored from an older copy.
    if (isOlderThanKnown(server) || isReplayed(server)) return false
    const isNew = updateListed(server)
    entryListeners.forEach(listener => listener(server))
    return isNew
  }
  const isStaleEntry = ({ key, value }: StoreEntry): boolean => {
    const server = removedByStoreMs.size === 0 ? undefined : decode(key, value)
    return server !== undefined && !servers.has(server.id) && wasRemovedByStore(server, MAX_STORE_COPY_AGE_MS)
  }
  const applyModels = (server: Pick<BackendServer, 'id' | 'bornMs'>, models: BackendServer['models']): boolean => {
    const known = servers.get(server.id)
    if (known === undefined || known.bornMs !== server.bornMs) return false
    return update({ ...known, models, coldMs: 0 })
  }
  /** Adds the known copies of weights, which a peer's list does not contain. */
  const withCopies = (server: ListedServer): BackendServer => {
    const known = servers.get(server.id)
    return { ...server, copies: known?.bornMs === server.bornMs ? known.copies : NO_COPIES }
  }
  const listed = (server: BackendServer): ListedServer => {
    const { copies, ...rest } = server
    return { ...rest, coldMs: coldMs(serverProcessId(server)) }
  }
  const isListed = (process: string): boolean => [...servers.values()].some(server => serverProcessId(server) === process)
  const isUsable = (server: BackendServer): boolean => server.state === 'ready' && !leaving.has(serverProcessId(server)) && !options.isEvacuated(server.failureDomain)

  return {
    usable: service => [...servers.values()].filter(server => server.service === service && isUsable(server)),
    findUsableByProcess: process => {
      const server = servers.get(process.slice(0, process.lastIndexOf('@')))
      return server !== undefined && serverProcessId(server) === process && isUsable(server) ? server : undefined
    },
    get: id => servers.get(id),
    all: () => [...servers.values()],
    isKnown: () => isKnown,
    listed: () => [...servers.values()].map(listed),
    digest: () => {
      digest ??= stableHash([...servers.values()].map(server => `${routingTextOf(server)} ${modelsTextOf(server)}`).sort().join('\n')).toString(36)
      return digest
    },
    snapshot: entries => {
      isKnown = true
      const present = new Set(entries.map(entry => idOf(entry.key)))
      const missing = [...servers.keys()].filter(id => !present.has(id))
      missing.forEach(removeOrHold)
      // A restored store lists servers that had been removed; one that is running after all is listed with its next heartbeat.
      const accepted = entries.filter(entry => !isStaleEntry(entry))
      accepted.forEach(applyEntry)
      notifyChanged()
    },
    replaceAll: list => {
      isKnown = true
      const present = new Set(list.map(server => server.id))
      const missing = [...servers.keys()].filter(id => !present.has(id))
      missing.forEach(id => removeByPeer(id, 'not in a peer\'s list'))
      updateFromPeer(list)
      notifyChanged()
    },
    applyChanges: ({ changed: entries, holding, gone }) => {
      gone.forEach(id => removeByPeer(id, 'removed by a peer'))
      updateFromPeer(entries)
      holding.forEach(server => applyModels(server, server.models))
      notifyChanged()
    },
    takeChanges: () => {
      if (changedIds.size + modelsChangedIds.size === 0) return undefined
      const known = [...changedIds].flatMap(id => servers.get(id) ?? [])
      const gone = [...changedIds].filter(id => !servers.has(id))
      const holding = [...modelsChangedIds].filter(id => !changedIds.has(id)).flatMap(id => servers.get(id) ?? [])
      changedIds.clear()
      modelsChangedIds.clear()
      return { changed: known.map(listed), holding: holding.map(({ id, bornMs, models }) => ({ id, bornMs, models })), gone }
    },
    put: entry => { if (applyEntry(entry)) notifyChanged() },
    remove: key => removeOrHold(idOf(key)),
    recordLeaving: (serverProcess, source) => {
      if (leaving.has(serverProcess)) return
      if (leaving.size >= MAX_LEAVING_PROCESSES) [...leaving].filter(process => !isListed(process)).forEach(process => leaving.delete(process))
      leaving.add(serverProcess)
      logger.info('server-leaving', { server: serverProcess, source })
      notifyChanged()
    },
    leaving: () => [...servers.values()].filter(server => server.state === 'draining' || leaving.has(serverProcessId(server))).map(serverProcessId),
    coldMs,
    isHeld: id => pendingRemovals.has(id),
    notifyChanged,
    updateModels: (server, models) => { if (applyModels(server, models)) notifyChanged() },
    onChanged: listener => { listeners.push(listener) },
    onEntry: listener => { entryListeners.push(listener) }
  }
}

/** Returns the fields that decide whether and how a server is reached, as a string. */
function routingTextOf (server: ListedServer): string {
  const { id, bornMs, service, address, failureDomain, slots, softwareVersion = '', state } = server
  return `${id} ${bornMs} ${service} ${address} ${failureDomain} ${slots} ${state} ${softwareVersion}`
}

function modelsTextOf ({ models }: Pick<BackendServer, 'models'>): string {
  return models.map(({ name, adapters }) => `${name}:${[...adapters].sort().join(',')}`).sort().join(' ')
}
