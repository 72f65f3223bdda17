/** Documents loaded on this instance: the newest version of each that it has in full. */
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { chunkOf, readBucket, readCore } from './documentBody'
import type { AdapterBucket, DocumentBody } from './documentBody'
import { digestsOf } from './documents'
import type { ChunkContents, Head, Manifest } from './documents'
import type { ConfigError } from './schema'

export interface LoadedDocument {
  manifest: Manifest
  body: DocumentBody
  /** Contents of the manifest's chunks, served to peers that request them. */
  contents: ReadonlyMap<string, string>
}

/** New chunks of up to this total size are sent with the head. */
const MAX_INLINE_BYTES = 64 * 1024

/** Returns the digests of `manifest` that neither `before` nor `found` contains. */
export function missingChunks (manifest: Manifest, before: LoadedDocument | undefined, found: ReadonlyMap<string, string>): string[] {
  return digestsOf(manifest).filter(digest => !found.has(digest) && before?.contents.has(digest) !== true)
}

/**
 * Reads and checks a version whose chunks are all available. Buckets of `before` are reused.
 * `pause` is awaited between chunks, so that streams continue while 80,000 adapters are read.
 */
export async function loadDocument (manifest: Manifest, before: LoadedDocument | undefined, found: ReadonlyMap<string, string>, pause: () => Promise<void>): Promise<Result<LoadedDocument, ConfigError>> {
  const contents = new Map(digestsOf(manifest).map(digest => [digest, found.get(digest) ?? before?.contents.get(digest) ?? '']))
  const core = before?.manifest.core === manifest.core
    ? Ok(before.body.core)
    : readCore(manifest.document, chunkOf(manifest, manifest.core, contents)!)
  if (core.err) return core
  const known = new Map(before?.body.adapters.map(bucket => [bucket.digest, bucket]) ?? [])
  const adapters: AdapterBucket[] = []
  for (const [index, digest] of manifest.adapters.entries()) {
    const bucket = known.get(digest)
    if (bucket !== undefined && before?.body.adapters.length === manifest.adapters.length) {
      adapters.push(bucket)
      continue
    }
    const read = readBucket(manifest.document, chunkOf(manifest, digest, contents)!, { index, count: manifest.adapters.length })
    if (read.err) return Err(read.val)
    adapters.push(read.val)
    await pause()
  }
  return Ok({ manifest, body: { document: manifest.document, core: core.val, adapters }, contents })
}

/** Returns the head of a version, with the chunks that `before` lacks if they are small. */
export function headOf (manifest: Manifest, contents: ReadonlyMap<string, string>, before: Manifest | undefined): Head {
  const known = new Set(before === undefined ? [] : digestsOf(before))
  const newDigests = digestsOf(manifest).filter(digest => !known.has(digest) && contents.has(digest))
  const size = newDigests.reduce((sum, digest) => sum + contents.get(digest)!.length, 0)
  if (size > MAX_INLINE_BYTES) return { manifest, inline: {} }
  return { manifest, inline: Object.fromEntries(newDigests.map(digest => [digest, contents.get(digest)!])) }
}

/** Returns as many of the requested chunks as fit into `maxBytes`, but at least one. */
export function pickContents (digests: readonly string[], contentOf: (digest: string) => string | undefined, maxBytes: number): ChunkContents {
  const picked: Record<string, string> = {}
  let size = 0
  for (const digest of digests) {
    const content = contentOf(digest)
    if (content === undefined) continue
    if (size > 0 && size + content.length > maxBytes) break
    picked[digest] = content
    size += content.length
  }
  return picked
}
