/**
 * A prompt prefix cache of limited size, and its events, which are published late and with gaps.
 */
import { createHash } from 'node:crypto'
import type { CacheEvent, CacheEvents } from 'magnoliabay/backend/protocol'
import type { Clock } from 'magnoliabay/clock/index'

export interface PrefixCache {
  /** Caches the prefixes of a prompt; returns the ratio of its blocks that were cached already, 0 to 1. */
  recordPrompt (model: string, prompt: string): number
  events (after: number): CacheEvents
  /** Ratio of the cache that is in use, 0 to 1. */
  usedRatio (): number
}

export interface PrefixCacheOptions {
  clock: Clock
  blocks: number
  lagMs: number
}

interface TimedEvent {
  event: CacheEvent
  atMs: number
}

/** Characters of prompt text in one block. */
export const PREFIX_BLOCK_CHARACTERS = 64
const PREFIX_HASH_LENGTH = 16
/** One event in this many is never published. */
const EVENTS_PER_GAP = 10
const MAX_RETAINED_EVENTS = 1000

/**
 * Returns the hash chain of the complete blocks of a prompt: each value is the first 16 hexadecimal digits of the
 * SHA-256 of the previous value (for the first, the model) followed by the block's text.
 */
export function prefixChain (model: string, prompt: string): readonly string[] {
  const blocks = Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS)
  const chain: string[] = []
  for (let index = 0; index < blocks; index += 1) {
    const text = prompt.slice(index * PREFIX_BLOCK_CHARACTERS, (index + 1) * PREFIX_BLOCK_CHARACTERS)
    const previous = chain[index - 1] ?? model
    chain.push(createHash('sha256').update(previous + text).digest('hex').slice(0, PREFIX_HASH_LENGTH))
  }
  return chain
}

export function createPrefixCache (options: PrefixCacheOptions): PrefixCache {
  const { clock, blocks, lagMs } = options
  // In order of use: the first is the least recently used.
  const cachedPrefixes = new Map<string, string>()
  let publishedEvents: TimedEvent[] = []
  let sequence = 0

  const publish = (kind: CacheEvent['kind'], model: string, prefix: string): void => {
    sequence += 1
    if (sequence % EVENTS_PER_GAP === 0) return
    publishedEvents.push({ event: { sequence, kind, model, prefix }, atMs: clock.now() })
    if (publishedEvents.length > MAX_RETAINED_EVENTS * 2) publishedEvents = publishedEvents.slice(-MAX_RETAINED_EVENTS)
  }

  const store = (model: string, prefix: string): void => {
    const wasCached = cachedPrefixes.delete(prefix)
    cachedPrefixes.set(prefix, model)
    if (!wasCached) publish('stored', model, prefix)
  }

  const evict = (): void => {
    const [oldest] = cachedPrefixes
    if (oldest === undefined) return
    const [prefix, model] = oldest
    cachedPrefixes.delete(prefix)
    publish('evicted', model, prefix)
  }

  return {
    recordPrompt: (model, prompt) => {
      const chain = prefixChain(model, prompt)
      const hits = chain.filter(prefix => cachedPrefixes.has(prefix)).length
      chain.forEach(prefix => store(model, prefix))
      while (cachedPrefixes.size > blocks) evict()
      return chain.length === 0 ? 0 : hits / chain.length
    },
    events: after => {
      const visible = publishedEvents.filter(timed => timed.atMs <= clock.now() - lagMs).map(timed => timed.event)
      return { oldest: visible[0]?.sequence ?? sequence + 1, events: visible.filter(event => event.sequence > after) }
    },
    usedRatio: () => cachedPrefixes.size / blocks
  }
}
