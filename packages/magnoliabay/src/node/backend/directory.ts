/**
 * The backend servers in the platform's instance list. The list is polled, or updated by notices from other members
 * that poll it.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { InputMonitor, InputSource } from '../inputs'
import type { Logger } from '../logger'
import { createListeners } from '../members/dispatch'
import type { Disposer, Peers } from '../members/peers'
import type { InstanceList, ListedInstance } from '../store'
import { parseAddress } from '../utils'
import { POLL_INTERVAL_MS, diffLists, isEmpty, isTurnToPoll, listChangedNotice, applyChange } from './listPolling'
import type { ListChange } from './listPolling'

export interface BackendDirectory {
  engines (): readonly ListedInstance[]
  engine (id: string): ListedInstance | undefined
  services (name: string): readonly ListedInstance[]
  /** All entries of the latest known list. */
  all (): readonly ListedInstance[]
  onChanged (listener: () => void): Disposer
  start (signal: AbortSignal): void
}

export interface BackendDirectoryOptions {
  list: InstanceList
  /** Counts entries that cannot be used. @default they are logged only */
  inputs?: Pick<InputMonitor, 'countRefused'>
  clock: Clock
  logger: Logger
  /** Called with every list that this instance reads itself. */
  onRead?: (listed: readonly ListedInstance[]) => void
  /** Members that share the polling. @default none: this instance polls for itself */
  peers?: Peers
}

interface DirectoryIndex {
  engines: readonly ListedInstance[]
  byId: ReadonlyMap<string, ListedInstance>
  services: ReadonlyMap<string, readonly ListedInstance[]>
}

export function createBackendDirectory (options: BackendDirectoryOptions): BackendDirectory {
  const { list, clock, logger, peers } = options
  const changed = createListeners<[]>()
  let listed: readonly ListedInstance[] = []
  let index = buildIndex(listed)
  /** By instance id: the time of the reading that last changed the entry, Unix epoch milliseconds. */
  const changedAtMs = new Map<string, number>()
  let hasRead = false
  /** Addresses that were refused, by instance id. */
  const refusedAddresses = new Map<string, string>()

  /** Logs and counts an entry once, and not at each reading of the list. */
  const refuse = ({ id, address }: ListedInstance, source: InputSource): void => {
    if (refusedAddresses.get(id) === address) return
    refusedAddresses.set(id, address)
    options.inputs?.countRefused(source)
    logger.warn('server-entry-refused', { server: id, address, reason: 'no address ip:port' })
  }
  /**
   * Returns the instances that can be connected to, and what was known before of the others. The client library throws for some
   * impossible addresses.
   */
  const keepConnectable = (instances: readonly ListedInstance[], source: InputSource): ListedInstance[] => instances.flatMap(instance => {
    if (parseAddress(instance.address) !== undefined) return instance
    refuse(instance, source)
    return listed.find(({ id }) => id === instance.id) ?? []
  })
  const dropRefusals = (instances: readonly ListedInstance[]): void => {
    const ids = new Set(instances.map(({ id }) => id))
    refusedAddresses.forEach((_, id) => { if (!ids.has(id)) refusedAddresses.delete(id) })
  }
  const applyList = (next: readonly ListedInstance[], change: ListChange): void => {
    const ids = [...change.gone, ...change.changed.map(instance => instance.id)]
    ids.forEach(id => changedAtMs.set(id, change.readAtMs))
    listed = next
    index = buildIndex(next)
    changed.emit()
  }
  const isDue = (): boolean => !hasRead || peers === undefined || isTurnToPoll(peers.self.id, peers.members(), clock.now())
  const readList = async (): Promise<void> => {
    if (!isDue()) return
    const readAtMs = clock.now()
    const result = await list.read()
    if (result.err) return logger.debug('instance-list-unread', { reason: result.val.message })
    options.onRead?.(result.val)
    dropRefusals(result.val)
    const next = keepConnectable(result.val, 'instance-list')
    const change = diffLists(listed, next, readAtMs)
    // The first reading has no earlier one to differ from; other members are not notified of it.
    const shouldNotify = hasRead && !isEmpty(change)
    hasRead = true
    if (isEmpty(change)) return
    applyList(next, change)
    if (shouldNotify) peers?.notifyAll(listChangedNotice, change)
  }
  /** Drops outdated parts of a change. Notices may arrive out of order: an older one must not restore an entry removed since. */
  const dropOutdated = (change: ListChange): ListChange => {
    const isNewer = (id: string): boolean => change.readAtMs > (changedAtMs.get(id) ?? -Infinity)
    return { ...change, changed: change.changed.filter(instance => isNewer(instance.id)), gone: change.gone.filter(isNewer) }
  }
  peers?.listen(listChangedNotice, received => {
    if (!hasRead) return
    const change = dropOutdated({ ...received, changed: keepConnectable(received.changed, 'peer-message') })
    const next = applyChange(listed, change)
    if (!isEmpty(diffLists(listed, next, change.readAtMs))) applyList(next, change)
  })

  return {
    engines: () => index.engines,
    engine: id => index.byId.get(id),
    services: name => index.services.get(name) ?? [],
    all: () => listed,
    onChanged: changed.add,
    start: signal => { inBackground('directory-loop', repeat(clock, POLL_INTERVAL_MS, signal, readList)) }
  }
}

function buildIndex (listed: readonly ListedInstance[]): DirectoryIndex {
  const engines = listed.filter(instance => instance.role === 'engine')
  const services = new Map<string, ListedInstance[]>()
  listed.filter(instance => instance.role === 'service' && instance.service !== undefined).forEach(instance => {
    services.set(instance.service!, [...services.get(instance.service!) ?? [], instance])
  })
  return { engines, byId: new Map(engines.map(engine => [engine.id, engine])), services }
}
