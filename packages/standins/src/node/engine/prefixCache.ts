/**
 * Prompt prefixes in limited memory, and the events about them, published late and with gaps.
 */
import { createHash } from 'node:crypto'
import type { CacheEvent, CacheEvents } from 'magnoliabay/backend/protocol'
import type { Clock } from 'magnoliabay/clock/index'

export interface PrefixCache {
  /** Notes that a prompt runs; the share of it that was in the cache already, 0 to 1. */
  use (model: string, prompt: string): number
  events (after: number): CacheEvents
  /** Share of the cache in use, 0 to 1. */
  share (): number
}

export interface PrefixCacheOptions {
  clock: Clock
  blocks: number
  lagMs: number
}

interface DatedEvent {
  event: CacheEvent
  atMs: number
}

/** Characters of prompt text in one block. */
export const PREFIX_BLOCK_CHARACTERS = 64
const PREFIX_HASH_LENGTH = 16
/** Every so many events one is never published. */
const GAP_EVERY = 10
const EVENTS_HELD = 1000

/**
 * Hash chain values of the whole blocks of a prompt: each is the first 16 hexadecimal digits of the SHA-256 of
 * the one before (for the first, the model) followed by the block's text.
 */
export function prefixChain (model: string, prompt: string): readonly string[] {
  const blocks = Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS)
  const chain: string[] = []
  for (let index = 0; index < blocks; index += 1) {
    const text = prompt.slice(index * PREFIX_BLOCK_CHARACTERS, (index + 1) * PREFIX_BLOCK_CHARACTERS)
    const before = chain[index - 1] ?? model
    chain.push(createHash('sha256').update(before + text).digest('hex').slice(0, PREFIX_HASH_LENGTH))
  }
  return chain
}

export function createPrefixCache (options: PrefixCacheOptions): PrefixCache {
  const { clock, blocks, lagMs } = options
  // Insertion order is recency: the first is the least recently used.
  const held = new Map<string, string>()
  let log: DatedEvent[] = []
  let sequence = 0

  const publish = (kind: CacheEvent['kind'], model: string, prefix: string): void => {
    sequence += 1
    if (sequence % GAP_EVERY === 0) return
    log.push({ event: { sequence, kind, model, prefix }, atMs: clock.now() })
    if (log.length > EVENTS_HELD * 2) log = log.slice(-EVENTS_HELD)
  }

  const store = (model: string, prefix: string): void => {
    const known = held.delete(prefix)
    held.set(prefix, model)
    if (!known) publish('stored', model, prefix)
  }

  const evict = (): void => {
    const [oldest] = held
    if (oldest === undefined) return
    const [prefix, model] = oldest
    held.delete(prefix)
    publish('evicted', model, prefix)
  }

  return {
    use: (model, prompt) => {
      const chain = prefixChain(model, prompt)
      const hits = chain.filter(prefix => held.has(prefix)).length
      chain.forEach(prefix => store(model, prefix))
      while (held.size > blocks) evict()
      return chain.length === 0 ? 0 : hits / chain.length
    },
    events: after => {
      const visible = log.filter(dated => dated.atMs <= clock.now() - lagMs).map(dated => dated.event)
      return { oldest: visible[0]?.sequence ?? sequence + 1, events: visible.filter(event => event.sequence > after) }
    },
    share: () => held.size / blocks
  }
}
