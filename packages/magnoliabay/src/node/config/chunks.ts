/**
 * Splits documents into chunks that are named by the digest of their content. A change of one team leaves the chunks
 * of 80,000 adapters as they are, so that no instance fetches, parses or checks them again.
 */
import { createHash } from 'node:crypto'
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { MAX_STORE_VALUE_BYTES } from '../constants'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { parseJson } from '../utils'

/** Average number of adapters in a bucket, small enough to be checked between two tokens of a stream. */
const ADAPTERS_PER_BUCKET = 2500
/** Larger than any chunk that is written, so that a damaged one can't exhaust memory. */
const MAX_CHUNK_JSON_BYTES = 16 * 1024 * 1024
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

export interface Chunk {
  /** SHA-256 of the JSON text, in base64url. */
  digest: string
  /** The JSON text, deflated, in base64. */
  content: string
}

export type ChunkErrorKind = 'damaged' | 'wrong-digest' | 'too-large'

export interface ChunkError {
  kind: ChunkErrorKind
  digest: string
}

export interface Named {
  name: string
}

export function encodeChunk (value: unknown): Result<Chunk, ChunkError> {
  const text = JSON.stringify(value)
  const digest = digestOf(text)
  const content = deflateRawSync(text).toString('base64')
  if (content.length > MAX_STORE_VALUE_BYTES || text.length > MAX_CHUNK_JSON_BYTES) return Err({ kind: 'too-large', digest })
  return Ok({ digest, content })
}

/** Decodes a chunk and checks its digest. A chunk that passes is what an operator sent, whichever source it came from. */
export function decodeChunk (chunk: Chunk): Result<unknown, ChunkError> {
  const text = inflate(chunk.content)
  if (text === undefined) return Err({ kind: 'damaged', digest: chunk.digest })
  if (digestOf(text) !== chunk.digest) return Err({ kind: 'wrong-digest', digest: chunk.digest })
  return Ok(parseJson(text))
}

/** Returns whether `content` matches `digest`. Checked on arrival, so that a damaged copy never hides an intact one. */
export function isIntact (digest: string, content: string): boolean {
  return decodeChunk({ digest, content }).ok
}

/** Distributes items over buckets, each sorted by name, so that equal contents have equal digests. */
export function splitIntoBuckets<T extends Named> (items: readonly T[]): T[][] {
  if (items.length === 0) return []
  const count = 2 ** Math.max(0, Math.ceil(Math.log2(items.length / ADAPTERS_PER_BUCKET)))
  const buckets = Array.from({ length: count }, (): T[] => [])
  items.forEach(item => buckets[bucketOf(item.name, count)]!.push(item))
  buckets.forEach(bucket => bucket.sort((left, right) => left.name < right.name ? -1 : 1))
  return buckets
}

/** Returns the bucket of a name by FNV-1a. Must be the same in every release, since digests depend on it. `count` is a power of two. */
export function bucketOf (name: string, count: number): number {
  let hash = FNV_OFFSET
  for (let at = 0; at < name.length; at += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(at), FNV_PRIME)
  }
  return (hash >>> 0) & (count - 1)
}

function digestOf (text: string): string {
  return createHash('sha256').update(text).digest('base64url')
}

function inflate (content: string): string | undefined {
  try {
    return inflateRawSync(Buffer.from(content, 'base64'), { maxOutputLength: MAX_CHUNK_JSON_BYTES }).toString('utf8')
  } catch {
    return undefined
  }
}
