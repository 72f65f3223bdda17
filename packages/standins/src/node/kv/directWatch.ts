/**
 * Watches of the direct store: a snapshot, then events; restarted after an outage or a silence.
 */
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import type { Result } from 'magnoliabay/result'
import type { RangeResult, Store, StoreError, WatchEvent, WatchHandlers } from 'magnoliabay/store/store'
import { toRevision, toStoredRevision } from 'magnoliabay/store/eras'
import type { FaultSwitches } from '../faults'
import type { KvFaults } from './faults'
import type { KvState } from './state'
import { prefixEnd } from './types'
import type { KvEvent } from './types'

export interface DirectWatchOptions {
  state: KvState
  clock: Clock
  faults: FaultSwitches<KvFaults>
  range: (prefix: string) => Promise<Result<RangeResult, StoreError>>
  silentWatchMs: number
  onOpen: () => void
}

const RETRY_DELAY_MS = 200

export function createDirectWatch (options: DirectWatchOptions): Store['watch'] {
  const { state, clock, faults, range, silentWatchMs, onOpen } = options
  const interruptions = new Set<(reason: 'down' | 'silent') => void>()
  faults.onChange((_current, changed) => {
    if (changed.down !== undefined && changed.down !== 'no') interruptions.forEach(interrupt => interrupt('down'))
    if (changed.watchSilent === true) interruptions.forEach(interrupt => interrupt('silent'))
  })

  /** Follows events from `revision`; resolves to the delay in milliseconds after which the watch has to restart. */
  const follow = (prefix: string, revision: number, handlers: WatchHandlers, signal: AbortSignal): Promise<number> =>
    new Promise(resolve => {
      // Delivers events in order, in a later microtask than the write, as over a connection.
      const deliver = (events: readonly KvEvent[]): void => queueMicrotask(() => {
        if (!signal.aborted) events.forEach(event => handlers.onEvent(toWatchEvent(event, state.era())))
      })
      const watch = state.watch({ key: prefix, end: prefixEnd(prefix) }, revision, deliver)
      if (watch.kind === 'compacted') return resolve(0)
      state.onRestore(() => finish(RETRY_DELAY_MS))
      deliver(watch.backlog)
      const interrupt = (reason: 'down' | 'silent'): void => finish(reason === 'silent' ? silentWatchMs : RETRY_DELAY_MS)
      const finish = (delayMs: number): void => {
        watch.cancel()
        interruptions.delete(interrupt)
        signal.removeEventListener('abort', onAbort)
        resolve(delayMs)
      }
      const onAbort = (): void => finish(0)
      interruptions.add(interrupt)
      signal.addEventListener('abort', onAbort, { once: true })
    })

  const run = async (prefix: string, handlers: WatchHandlers, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const snapshot = await range(prefix)
      if (snapshot.err) {
        await sleep(clock, RETRY_DELAY_MS, signal)
        continue
      }
      if (signal.aborted) return
      onOpen()
      handlers.onSnapshot(snapshot.val)
      const delayMs = await follow(prefix, toStoredRevision(snapshot.val.revision) + 1, handlers, signal)
      await sleep(clock, delayMs, signal)
    }
  }

  return (prefix, handlers, signal) => { run(prefix, handlers, signal).catch(() => {}) }
}

function toWatchEvent ({ kind, entry }: KvEvent, era: number): WatchEvent {
  const { key, value, createRevision, modRevision } = entry
  return { kind, key, value, createRevision: toRevision(era, createRevision), modRevision: toRevision(era, modRevision) }
}
