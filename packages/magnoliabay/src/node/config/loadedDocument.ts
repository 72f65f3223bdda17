/**
 * Documents that this instance holds: the newest version of each that it has in full.
 */
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
  /** Contents of the manifest's chunks, for peers that ask. */
  contents: ReadonlyMap<string, string>
}

/** New chunks up to this size, all together, travel with the head. */
const MAX_INLINE_BYTES = 64 * 1024

/** Digests of `manifest` that neither `before` nor `found` has. */
export function missingChunks (manifest: Manifest, before: LoadedDocument | undefined, found: ReadonlyMap<string, string>): string[] {
  return digestsOf(manifest).filter(digest => !found.has(digest) && before?.contents.has(digest) !== true)
}

/**
 * Reads and checks a version whose chunks are all there. Buckets that `before` has are taken over.
 * `pause` is awaited between chunks, so that streams go on while 80,000 adapters are read.
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

/** The head of a version: small chunks that `before` lacks travel with it. */
export function headOf (manifest: Manifest, contents: ReadonlyMap<string, string>, before: Manifest | undefined): Head {
  const known = new Set(before === undefined ? [] : digestsOf(before))
  const fresh = digestsOf(manifest).filter(digest => !known.has(digest) && contents.has(digest))
  const size = fresh.reduce((sum, digest) => sum + contents.get(digest)!.length, 0)
  if (size > MAX_INLINE_BYTES) return { manifest, inline: {} }
  return { manifest, inline: Object.fromEntries(fresh.map(digest => [digest, contents.get(digest)!])) }
}

/** As many of the chunks asked for as fit into `maxBytes`, at least one. */
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
