/** Reads documents from the store, for operators and for the check of a change. */
import type { Clock } from '../clock'
import { sleep } from '../clock'
import type { Store, StoreError } from '../store'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { isIntact } from './chunks'
import { HEADS_PREFIX, chunkKey, historyKey, historyPrefix, parseHead, parseManifest } from './documents'
import type { ChunkContents, Head, Manifest } from './documents'
import { missingChunks, loadDocument } from './loadedDocument'
import type { LoadedDocument } from './loadedDocument'
import type { ConfigProvider } from './configProvider'
import type { ConfigError } from './schema'

export interface StoredHead {
  /** Undefined if the record is damaged. */
  head: Head | undefined
  modRevision: number
}

export type ReadError =
  | { kind: 'store', cause: StoreError }
  | { kind: 'config', cause: ConfigError }
  | { kind: 'missing-chunks', digests: readonly string[] }

export interface ReadSources {
  store: Store
  configProvider: ConfigProvider
  clock: Clock
}

/** Returns the heads of all documents, by document. */
export async function readHeads (store: Store): Promise<Result<Map<string, StoredHead>, StoreError>> {
  const range = await store.range(HEADS_PREFIX, { priority: 'config' })
  return range.map(({ entries }) => new Map(entries.map(entry =>
    [entry.key.slice(HEADS_PREFIX.length), { head: parseHead(entry.value), modRevision: entry.modRevision }])))
}

/** Returns the accepted versions of a document that are still kept, newest first. */
export async function readHistory (store: Store, document: string): Promise<Result<Manifest[], StoreError>> {
  const range = await store.range(historyPrefix(document), { priority: 'config' })
  return range.map(({ entries }) => entries
    .flatMap(entry => parseManifest(entry.value) ?? [])
    .sort((left, right) => right.version - left.version))
}

export async function readManifest (store: Store, document: string, version: number): Promise<Result<Manifest | undefined, StoreError>> {
  const entry = await store.get(historyKey(document, version), { priority: 'config' })
  return entry.map(found => found === undefined ? undefined : parseManifest(found.value))
}

/** Reads one version in full, from the given chunks, those loaded on this instance, and the store. */
export async function readVersion (sources: ReadSources, manifest: Manifest, givenChunks: ChunkContents): Promise<Result<LoadedDocument, ReadError>> {
  const loaded = sources.configProvider.latestDocument(manifest.document)
  const found = new Map(Object.entries(givenChunks).filter(([digest, content]) => isIntact(digest, content)))
  for (const digest of missingChunks(manifest, loaded, found)) {
    const entry = await sources.store.get(chunkKey(digest), { priority: 'config' })
    if (entry.err) return Err({ kind: 'store', cause: entry.val })
    if (entry.val !== undefined && isIntact(digest, entry.val.value)) found.set(digest, entry.val.value)
  }
  const digests = missingChunks(manifest, loaded, found)
  if (digests.length > 0) return Err({ kind: 'missing-chunks', digests })
  const read = await loadDocument(manifest, loaded, found, () => sleep(sources.clock, 0))
  return read.err ? Err({ kind: 'config', cause: read.val }) : Ok(read.val)
}
