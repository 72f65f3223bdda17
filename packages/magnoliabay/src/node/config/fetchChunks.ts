/** Fetches the chunks of a version from the store and from peers. */
import type { Peers } from '../members'
import type { Store } from '../store'
import { isIntact } from './chunks'
import { chunkKey } from './documents'
import { CHUNK_CALL_TIMEOUT_MS, configChunksCall } from './messages'

export interface ChunkSources {
  store: Store
  peers: Peers
}

/** Peers asked for chunks before the attempt ends. */
const MAX_PEERS_ASKED = 3

/**
 * Adds the chunks of `missing` that it can fetch to `found`. `preferred` is the peer that sent the version and is
 * asked first; without it the store is asked first. Reports no errors: the caller checks what is missing and retries.
 */
export async function fetchChunks (sources: ChunkSources, missing: readonly string[], found: Map<string, string>, preferred: string | undefined): Promise<void> {
  const stillMissing = (): string[] => missing.filter(digest => !found.has(digest))
  if (preferred !== undefined) await fetchFromPeer(sources.peers, preferred, stillMissing, found)
  await fetchFromStore(sources.store, stillMissing(), found)
  const others = sources.peers.members()
    .map(member => member.id)
    .filter(id => id !== sources.peers.self.id && id !== preferred && sources.peers.isConnected(id))
    .slice(0, MAX_PEERS_ASKED)
  for (const id of others) {
    if (stillMissing().length === 0) return
    await fetchFromPeer(sources.peers, id, stillMissing, found)
  }
}

async function fetchFromPeer (peers: Peers, id: string, stillMissing: () => string[], found: Map<string, string>): Promise<void> {
  while (stillMissing().length > 0) {
    const response = await peers.call(id, configChunksCall, { digests: stillMissing() }, { timeoutMs: CHUNK_CALL_TIMEOUT_MS })
    if (response.err) return
    const received = Object.entries(response.val.contents).filter(([digest, content]) => isIntact(digest, content))
    if (received.length === 0) return
    received.forEach(([digest, content]) => found.set(digest, content))
  }
}

async function fetchFromStore (store: Store, digests: readonly string[], found: Map<string, string>): Promise<void> {
  for (const digest of digests) {
    const entry = await store.get(chunkKey(digest), { priority: 'config' })
    if (entry.err) return
    if (entry.val !== undefined && isIntact(digest, entry.val.value)) found.set(digest, entry.val.value)
  }
}
