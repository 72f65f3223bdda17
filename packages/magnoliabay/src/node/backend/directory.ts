/**
 * Backend servers that the platform's list names, read again and again, or told by those who read it.
 */
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import { createListeners } from '../members/dispatch'
import type { Disposer, Peers } from '../members/peers'
import type { InstanceList, ListedInstance } from '../platform'
import { READ_PERIOD_MS, SELDOM_PERIOD_MS, differenceOf, isEmpty, isReader, listChanged, withChange } from './listReaders'

export interface Directory {
  engines (): readonly ListedInstance[]
  engine (id: string): ListedInstance | undefined
  services (name: string): readonly ListedInstance[]
  /** Everything in the list as last heard. */
  all (): readonly ListedInstance[]
  onChanged (listener: () => void): Disposer
  start (signal: AbortSignal): void
}

export interface DirectoryOptions {
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

export function createDirectory (options: DirectoryOptions): Directory {
  const { list, clock, logger, peers } = options
  const changed = createListeners<[]>()
  let listed: readonly ListedInstance[] = []
  let index = indexOf(listed)
  let readAtMs = -Infinity

  const take = (next: readonly ListedInstance[]): void => {
    listed = next
    index = indexOf(next)
    changed.emit()
  }
  const readsOften = (): boolean => peers === undefined || isReader(peers.self, peers.members())
  const isDue = (): boolean => readsOften() || clock.monotonic() - readAtMs >= SELDOM_PERIOD_MS
  const read = async (): Promise<void> => {
    if (!isDue()) return
    const answer = await list.read()
    if (answer.err) return logger.debug('instance-list-unread', { reason: answer.val.message })
    const isFirst = readAtMs === -Infinity
    readAtMs = clock.monotonic()
    options.onRead?.(answer.val)
    const change = differenceOf(listed, answer.val)
    if (isEmpty(change)) return
    take(answer.val)
    // The first reading differs from nothing; it is no news to the others.
    if (!isFirst && readsOften()) peers?.notifyAll(listChanged, change)
  }
  peers?.listen(listChanged, change => {
    // One that reads often sees the change itself, and must still see it as one, to hand it on.
    if (readsOften()) return
    const next = withChange(listed, change)
    if (!isEmpty(differenceOf(listed, next))) take(next)
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
