/**
 * Keeps the events of past revisions and passes new ones to watches.
 */
import { inRange } from './types'
import type { KvEvent, KvEventListener, KvRange, KvWatch } from './types'

export interface KvHistory {
  publish (revision: number, events: readonly KvEvent[]): void
  watch (range: KvRange, startRevision: number, listener: KvEventListener): KvWatch
  compact (revision: number): void
  /** Drops all events and watches; existing watches get no more events. */
  reset (): void
}

interface Watcher {
  range: KvRange
  listener: KvEventListener
}

/** Creates a history that keeps about the last `limit` events. */
export function createKvHistory (limit: number): KvHistory {
  const watchers = new Set<Watcher>()
  let pastEvents: KvEvent[] = []
  let compactedRevision = 0

  const compact = (revision: number): void => {
    compactedRevision = Math.max(compactedRevision, revision)
    pastEvents = pastEvents.filter(event => event.entry.modRevision > compactedRevision)
  }

  return {
    compact,
    reset: () => {
      watchers.clear()
      pastEvents = []
      compactedRevision = 0
    },
    publish: (revision, events) => {
      pastEvents.push(...events)
      // Trimmed only at twice the limit, so that only one of many writes bears the cost.
      if (pastEvents.length > limit * 2) compact(pastEvents[pastEvents.length - limit]?.entry.modRevision ?? revision)
      for (const watcher of [...watchers]) {
        const matching = events.filter(event => inRange(watcher.range, event.entry.key))
        if (matching.length > 0 && watchers.has(watcher)) watcher.listener(matching)
      }
    },
    watch: (range, startRevision, listener) => {
      if (startRevision > 0 && startRevision <= compactedRevision) return { kind: 'compacted', compactRevision: compactedRevision }
      const watcher = { range, listener }
      watchers.add(watcher)
      const backlog = startRevision === 0
        ? []
        : pastEvents.filter(event => event.entry.modRevision >= startRevision && inRange(range, event.entry.key))
      return { kind: 'watching', backlog, cancel: () => { watchers.delete(watcher) } }
    }
  }
}
