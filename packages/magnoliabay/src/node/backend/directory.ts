/**
 * Backend servers that the platform's list names, read again and again.
 */
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import { createListeners } from '../members/dispatch'
import type { Disposer } from '../members/peers'
import type { InstanceList, ListedInstance } from '../platform'

const READ_PERIOD_MS = 1000

export interface Directory {
  engines (): readonly ListedInstance[]
  engine (id: string): ListedInstance | undefined
  services (name: string): readonly ListedInstance[]
  /** Everything in the list as last read. */
  all (): readonly ListedInstance[]
  onChanged (listener: () => void): Disposer
  start (signal: AbortSignal): void
}

export interface DirectoryOptions {
  list: InstanceList
  clock: Clock
  logger: Logger
  /** Called with every list that was read. */
  onRead?: (listed: readonly ListedInstance[]) => void
}

export function createDirectory (options: DirectoryOptions): Directory {
  const changed = createListeners<[]>()
  let listed: readonly ListedInstance[] = []
  let fingerprint = ''

  const read = async (): Promise<void> => {
    const answer = await options.list.read()
    if (answer.err) return options.logger.debug('instance-list-unread', { reason: answer.val.message })
    options.onRead?.(answer.val)
    const next = JSON.stringify(answer.val)
    if (next === fingerprint) return
    fingerprint = next
    listed = answer.val
    changed.emit()
  }
  return {
    engines: () => listed.filter(instance => instance.role === 'engine'),
    engine: id => listed.find(instance => instance.role === 'engine' && instance.id === id),
    services: name => listed.filter(instance => instance.role === 'service' && instance.service === name),
    all: () => listed,
    onChanged: changed.add,
    start: signal => { repeat(options.clock, READ_PERIOD_MS, signal, read) }
  }
}
