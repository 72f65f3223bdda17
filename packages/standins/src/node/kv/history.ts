/**
 * Events of past revisions, and the watches that follow new ones.
 */
import { inRange } from './types'
import type { KvEvent, KvEventListener, KvRange, KvWatch } from './types'

export interface KvHistory {
  publish (revision: number, events: readonly KvEvent[]): void
  watch (range: KvRange, startRevision: number, listener: KvEventListener): KvWatch
  compact (revision: number): void
  /** Forgets everything; those who watch are told nothing more. */
  reset (): void
}

interface Watcher {
  range: KvRange
  listener: KvEventListener
}

/** Keeps the last `limit` events. */
export function createKvHistory (limit: number): KvHistory {
  const watchers = new Set<Watcher>()
  let past: KvEvent[] = []
  let compacted = 0

  const compact = (revision: number): void => {
    compacted = Math.max(compacted, revision)
    past = past.filter(event => event.entry.modRevision > compacted)
  }

  return {
    compact,
    reset: () => {
      watchers.clear()
      past = []
      compacted = 0
    },
    publish: (revision, events) => {
      past.push(...events)
      // Trimmed by halves, so that the cost is spread over many writes.
      if (past.length > limit * 2) compact(past[past.length - limit]?.entry.modRevision ?? revision)
      for (const watcher of [...watchers]) {
        const wanted = events.filter(event => inRange(watcher.range, event.entry.key))
        if (wanted.length > 0 && watchers.has(watcher)) watcher.listener(wanted)
      }
    },
    watch: (range, startRevision, listener) => {
      if (startRevision > 0 && startRevision <= compacted) return { kind: 'compacted', compactRevision: compacted }
      const watcher = { range, listener }
      watchers.add(watcher)
      const backlog = startRevision === 0
        ? []
        : past.filter(event => event.entry.modRevision >= startRevision && inRange(range, event.entry.key))
      return { kind: 'watching', backlog, cancel: () => { watchers.delete(watcher) } }
    }
  }
}
