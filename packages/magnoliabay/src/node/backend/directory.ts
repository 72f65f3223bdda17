/**
 * Backend servers that the platform's list names, read again and again, or told by those who read it.
 */
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import { createListeners } from '../members/dispatch'
import type { Disposer, Peers } from '../members/peers'
import type { InstanceList, ListedInstance } from '../store'
import { READ_PERIOD_MS, differenceOf, isEmpty, isTurnToRead, listChanged, withChange } from './listPolling'
import type { ListChange } from './listPolling'

export interface BackendDirectory {
  engines (): readonly ListedInstance[]
  engine (id: string): ListedInstance | undefined
  services (name: string): readonly ListedInstance[]
  /** Everything in the list as last heard. */
  all (): readonly ListedInstance[]
  onChanged (listener: () => void): Disposer
  start (signal: AbortSignal): void
}

export interface BackendDirectoryOptions {
  list: InstanceList
  clock: Clock
  logger: Logger
  /** Called with every list that was read here. */
  onRead?: (listed: readonly ListedInstance[]) => void
  /** Who shares the reading. @default nobody: this instance reads for itself */
  peers?: Peers
}

interface Index {
  engines: readonly ListedInstance[]
  byId: ReadonlyMap<string, ListedInstance>
  services: ReadonlyMap<string, readonly ListedInstance[]>
}

export function createBackendDirectory (options: BackendDirectoryOptions): BackendDirectory {
  const { list, clock, logger, peers } = options
  const changed = createListeners<[]>()
  let listed: readonly ListedInstance[] = []
  let index = indexOf(listed)
  /** Time of the reading that each instance was last changed by, Unix epoch milliseconds. */
  const changedAtMs = new Map<string, number>()
  let hasRead = false

  const take = (next: readonly ListedInstance[], change: ListChange): void => {
    const ids = [...change.gone, ...change.changed.map(instance => instance.id)]
    ids.forEach(id => changedAtMs.set(id, change.readAtMs))
    listed = next
    index = indexOf(next)
    changed.emit()
  }
  const isDue = (): boolean => !hasRead || peers === undefined || isTurnToRead(peers.self.id, peers.members(), clock.now())
  const read = async (): Promise<void> => {
    if (!isDue()) return
    const readAtMs = clock.now()
    const answer = await list.read()
    if (answer.err) return logger.debug('instance-list-unread', { reason: answer.val.message })
    options.onRead?.(answer.val)
    const change = differenceOf(listed, answer.val, readAtMs)
    // The first reading differs from nothing; it is no news to the others.
    const isNews = hasRead && !isEmpty(change)
    hasRead = true
    if (isEmpty(change)) return
    take(answer.val, change)
    if (isNews) peers?.notifyAll(listChanged, change)
  }
  /** Notices of two readings may overtake each other: an older one must not bring back what has gone since. */
  const withoutOutdated = (change: ListChange): ListChange => {
    const isNewer = (id: string): boolean => change.readAtMs > (changedAtMs.get(id) ?? -Infinity)
    return { ...change, changed: change.changed.filter(instance => isNewer(instance.id)), gone: change.gone.filter(isNewer) }
  }
  peers?.listen(listChanged, received => {
    if (!hasRead) return
    const change = withoutOutdated(received)
    const next = withChange(listed, change)
    if (!isEmpty(differenceOf(listed, next, change.readAtMs))) take(next, change)
  })

  return {
    engines: () => index.engines,
    engine: id => index.byId.get(id),
    services: name => index.services.get(name) ?? [],
    all: () => listed,
    onChanged: changed.add,
    start: signal => { repeat(clock, READ_PERIOD_MS, signal, read) }
  }
}

function indexOf (listed: readonly ListedInstance[]): Index {
  const engines = listed.filter(instance => instance.role === 'engine')
  const services = new Map<string, ListedInstance[]>()
  listed.filter(instance => instance.role === 'service' && instance.service !== undefined).forEach(instance => {
    services.set(instance.service!, [...services.get(instance.service!) ?? [], instance])
  })
  return { engines, byId: new Map(engines.map(engine => [engine.id, engine])), services }
}
