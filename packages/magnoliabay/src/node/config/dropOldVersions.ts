/** Deletes old versions and the chunks that only they name. */
import type { Logger } from '../logger'
import type { Compare, Store, WriteOperation } from '../store'
import { chunkKey, digestsOf, headKey, historyKey } from './documents'
import { readHeads, readHistory } from './queries'

/** Number of versions kept per document. */
export const MAX_KEPT_VERSIONS = 20
/** Number of new versions after which old ones are deleted; not after each one, since a deletion reads all histories. */
const VERSIONS_PER_DROP = 10
/** Operations that the platform's service accepts in one transaction; the rest is deleted next time. */
const MAX_TRANSACTION_OPERATIONS = 120

export interface DropOldVersionsOptions {
  store: Store
  logger: Logger
}

/** Never rejects; what is not deleted now is deleted after a later change. */
export async function dropOldVersions ({ store, logger }: DropOldVersionsOptions, document: string): Promise<void> {
  const heads = await readHeads(store)
  if (heads.err) return
  const newest = heads.val.get(document)?.head?.manifest.version ?? 0
  if (newest % VERSIONS_PER_DROP !== 0) return
  const kept = new Set<string>()
  for (const [name, { head }] of heads.val) {
    const history = await readHistory(store, name)
    if (history.err) return
    const manifests = name === document ? history.val.slice(0, MAX_KEPT_VERSIONS) : history.val
    const all = head === undefined ? manifests : [...manifests, head.manifest]
    all.flatMap(digestsOf).forEach(digest => kept.add(digest))
  }
  const own = await readHistory(store, document)
  if (own.err) return
  const old = own.val.slice(MAX_KEPT_VERSIONS)
  if (old.length === 0) return
  const unused = [...new Set(old.flatMap(digestsOf))].filter(digest => !kept.has(digest))
  const writes = [
    ...unused.map((digest): WriteOperation => ({ kind: 'delete', key: chunkKey(digest) })),
    ...old.map((manifest): WriteOperation => ({ kind: 'delete', key: historyKey(document, manifest.version) }))
  ]
  // A version accepted after the heads were read may name one of these chunks again.
  const compares = [...heads.val].map(([name, { modRevision }]): Compare => ({ key: headKey(name), target: 'mod', equals: modRevision }))
  const dropped = await store.transact({ compares, writes: writes.slice(0, MAX_TRANSACTION_OPERATIONS) }, { priority: 'ledger' })
  if (dropped.ok && dropped.val.succeeded) logger.info('config-history-cleared', { document, versions: old.length, chunks: unused.length })
}
