/** Getting the chunks that a version needs, from wherever they are to be had. */
import type { Peers } from '../members'
import type { Store } from '../store'
import { isWhole } from './chunks'
import { chunkKey } from './documents'
import { CHUNK_CALL_TIMEOUT_MS, configChunksCall } from './messages'

export interface ChunkSources {
  store: Store
  peers: Peers
}

/** Peers asked for a chunk before this try is given up. */
const MAX_PEERS_ASKED = 3

/**
 * Adds what it can of `missing` to `found`. `preferred` is the peer that told of the version; with
 * none the store is asked first. Ends early, not with an error: whoever calls tries again.
 */
export async function fetchChunks (sources: ChunkSources, missing: readonly string[], found: Map<string, string>, preferred: string | undefined): Promise<void> {
  const lacking = (): string[] => missing.filter(digest => !found.has(digest))
  if (preferred !== undefined) await askPeer(sources.peers, preferred, lacking, found)
  await askStore(sources.store, lacking(), found)
  const others = sources.peers.members()
    .map(member => member.id)
    .filter(id => id !== sources.peers.self.id && id !== preferred && sources.peers.isConnected(id))
    .slice(0, MAX_PEERS_ASKED)
  for (const id of others) {
    if (lacking().length === 0) return
    await askPeer(sources.peers, id, lacking, found)
  }
}

async function askPeer (peers: Peers, id: string, lacking: () => string[], found: Map<string, string>): Promise<void> {
  while (lacking().length > 0) {
    const answer = await peers.call(id, configChunksCall, { digests: lacking() }, { timeoutMs: CHUNK_CALL_TIMEOUT_MS })
    if (answer.err) return
    const received = Object.entries(answer.val.contents).filter(([digest, content]) => isWhole(digest, content))
    if (received.length === 0) return
    received.forEach(([digest, content]) => found.set(digest, content))
  }
}

async function askStore (store: Store, digests: readonly string[], found: Map<string, string>): Promise<void> {
  for (const digest of digests) {
    const entry = await store.get(chunkKey(digest), { priority: 'config' })
    if (entry.err) return
    if (entry.val !== undefined && isWhole(digest, entry.val.value)) found.set(digest, entry.val.value)
  }
}
