/** Clearing away versions that nobody needs any more, and the chunks that only they name. */
import type { Logger } from '../logger'
import type { Compare, Store, WriteOperation } from '../store'
import { chunkKey, digestsOf, headKey, historyKey } from './documents'
import { readHeads, readHistory } from './queries'

/** Versions of a document that are kept. */
export const KEPT_VERSIONS = 20
/** Cleared together, so that it is seldom done: each clearing reads all histories. */
const DROPPED_TOGETHER = 10
/** The platform's service takes so many operations in one transaction; the rest is cleared next time. */
const MAX_WRITES = 120

export interface DropOptions {
  store: Store
  logger: Logger
}

/** Never rejects; what was not cleared now is cleared after a later change. */
export async function dropOldVersions ({ store, logger }: DropOptions, document: string): Promise<void> {
  const heads = await readHeads(store)
  if (heads.err) return
  const newest = heads.val.get(document)?.head?.manifest.version ?? 0
  if (newest % DROPPED_TOGETHER !== 0) return
  const kept = new Set<string>()
  for (const [name, { head }] of heads.val) {
    const history = await readHistory(store, name)
    if (history.err) return
    const manifests = name === document ? history.val.slice(0, KEPT_VERSIONS) : history.val
    const all = head === undefined ? manifests : [...manifests, head.manifest]
    all.flatMap(digestsOf).forEach(digest => kept.add(digest))
  }
  const own = await readHistory(store, document)
  if (own.err) return
  const old = own.val.slice(KEPT_VERSIONS)
  if (old.length === 0) return
  const unused = [...new Set(old.flatMap(digestsOf))].filter(digest => !kept.has(digest))
  const writes = [
    ...unused.map((digest): WriteOperation => ({ kind: 'delete', key: chunkKey(digest) })),
    ...old.map((manifest): WriteOperation => ({ kind: 'delete', key: historyKey(document, manifest.version) }))
  ]
  // A version accepted since the heads were read may name one of these chunks again.
  const compares = [...heads.val].map(([name, { modRevision }]): Compare => ({ key: headKey(name), target: 'mod', equals: modRevision }))
  const dropped = await store.transact({ compares, writes: writes.slice(0, MAX_WRITES) }, { priority: 'ledger' })
  if (dropped.ok && dropped.val.succeeded) logger.info('config-history-cleared', { document, versions: old.length, chunks: unused.length })
}
