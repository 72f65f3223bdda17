/**
 * Accepts a change by one compare-and-swap against the version that the operator saw, and against
 * every document that the change was checked with.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import { MAX_STORE_VALUE_BYTES } from '../constants'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { Compare, PutOperation, Store, StoreError } from '../store'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import type { DocumentBody } from './documentBody'
import { BASE_DOCUMENT, chunkKey, digestsOf, documentFileName, headKey, historyKey, parseManifest } from './documents'
import type { ChunkContents, Head, Manifest } from './documents'
import { dropOldVersions } from './dropOldVersions'
import { headOf } from './loadedDocument'
import type { ConfigProvider } from './configProvider'
import { readHeads, readVersion } from './queries'
import type { ReadError, StoredHead } from './queries'
import { resolveFleet } from './resolveFleet'
import type { ResolvedFleet } from './resolveFleet'
import type { ConfigError } from './schema'

export interface ApplyRequest {
  document: string
  /** Version that the operator saw; 0 if there was none. */
  expectedVersion: number
  /** Chosen by the operator's program; a request with the same id is a repetition of the same change. */
  changeId: string
  operator: string
  note: string
  core: string
  adapters: readonly string[]
  /** Chunks that the operator's program did not find on this instance. */
  chunks: ChunkContents
}

/**
 * `conflict`: another version was accepted. `unknown`: no conclusive response of the store before the timeout;
 * the same change may be sent again. `store`: certainly not accepted.
 */
export type ApplyError =
  | { kind: 'conflict', expectedVersion: number, current: Manifest }
  | { kind: 'config', cause: ConfigError }
  | { kind: 'missing-chunks', digests: readonly string[] }
  | { kind: 'unknown', changeId: string, cause: StoreError }
  | { kind: 'store', cause: StoreError }

export interface ConfigCommitter {
  apply (req: ApplyRequest): Promise<Result<Manifest, ApplyError>>
}

export interface ConfigCommitterOptions {
  store: Store
  peers: Peers
  configProvider: ConfigProvider
  /** Returns the audit record, which names the operator and is written together with the change. */
  audit: (manifest: Manifest) => PutOperation
  clock: Clock
  logger: Logger
}

/** Time after which a change that is still undecided is answered with an error, in milliseconds. */
const APPLY_TIMEOUT_MS = 8000
const RETRY_DELAY_MS = 250
/** Bytes written in one transaction: the platform's service accepts little more than one value. */
const MAX_TRANSACTION_BYTES = MAX_STORE_VALUE_BYTES

/** Outcome of one attempt: a final result, or the error after which another attempt may succeed. */
type Attempt =
  | { kind: 'settled', result: Result<Manifest, ApplyError> }
  | { kind: 'again', mayHaveWritten: boolean, cause: StoreError }

export function createConfigCommitter (options: ConfigCommitterOptions): ConfigCommitter {
  const { store, configProvider, clock, logger } = options

  /**
   * Retries until the timeout. An attempt whose response was lost may still take effect later. The next attempt
   * looks for the id of the change first and writes with the same compares, so that at most one attempt of a
   * change takes effect, and none after another version was accepted.
   */
  const apply = async (req: ApplyRequest): Promise<Result<Manifest, ApplyError>> => {
    const startedMs = clock.monotonic()
    let mayHaveWritten = false
    let cause: StoreError = { kind: 'unavailable', message: 'not tried' }
    while (clock.monotonic() - startedMs < APPLY_TIMEOUT_MS) {
      const attempt = await attemptOnce(req)
      if (attempt.kind === 'settled') return attempt.result
      mayHaveWritten ||= attempt.mayHaveWritten
      cause = attempt.cause
      await sleep(clock, RETRY_DELAY_MS)
    }
    logger.warn('config-not-accepted', { document: req.document, change: req.changeId, reason: cause.message })
    return Err(mayHaveWritten ? { kind: 'unknown', changeId: req.changeId, cause } : { kind: 'store', cause })
  }

  const attemptOnce = async (req: ApplyRequest): Promise<Attempt> => {
    const heads = await readHeads(store)
    if (heads.err) return retryAttempt(heads.val, false)
    const current = heads.val.get(req.document)
    const earlier = await findAcceptedChange(req, current?.head)
    if (earlier.err) return retryAttempt(earlier.val, false)
    if (earlier.val !== undefined) return settledAttempt(Ok(publishEarlier(earlier.val, req, current)))
    // A damaged head names no version, and overwriting it is the way to repair it.
    const currentVersion = current?.head?.manifest.version ?? 0
    if (current?.head !== undefined && currentVersion !== req.expectedVersion) {
      return settledAttempt(Err({ kind: 'conflict', expectedVersion: req.expectedVersion, current: current.head.manifest }))
    }
    const checked = await check(req, heads.val)
    if (checked.err) return checked.val
    return await write(req, heads.val, checked.val)
  }

  const findAcceptedChange = async (req: ApplyRequest, head: Head | undefined): Promise<Result<Manifest | undefined, StoreError>> => {
    if (head === undefined || head.manifest.version <= req.expectedVersion) return Ok(undefined)
    if (head.manifest.changeId === req.changeId) return Ok(head.manifest)
    const entry = await store.get(historyKey(req.document, req.expectedVersion + 1), { priority: 'config' })
    if (entry.err) return entry
    const manifest = entry.val === undefined ? undefined : parseManifest(entry.val.value)
    return Ok(manifest?.changeId === req.changeId ? manifest : undefined)
  }

  /** Resolves the changed document with each document that it is combined with: the base with every overlay, an overlay with the base. */
  const check = async (req: ApplyRequest, heads: ReadonlyMap<string, StoredHead>): Promise<Result<CheckedChange, Attempt>> => {
    const known = heads.get(req.document)?.head
    const manifest = manifestOf(req, nextVersion(req, known))
    const changed = await readVersion({ store, configProvider, clock }, manifest, req.chunks)
    if (changed.err) return Err(attemptOf(changed.val))
    const others = [...heads.values()].flatMap(({ head }) => head === undefined || head.manifest.document === req.document ? [] : [head])
    const relatedHeads = others.filter(head => req.document === BASE_DOCUMENT || head.manifest.document === BASE_DOCUMENT)
    const bodies: DocumentBody[] = []
    for (const head of relatedHeads) {
      const related = await readVersion({ store, configProvider, clock }, head.manifest, head.inline)
      if (related.err) return Err(attemptOf(related.val))
      bodies.push(related.val.body)
    }
    const problems = checkTogether(req.document, changed.val.body, bodies, configProvider.resolvedFleet())
    if (problems.length > 0) return Err(settledAttempt(Err({ kind: 'config', cause: { kind: 'schema', problems } })))
    return Ok({ manifest, contents: changed.val.contents, checkedWith: relatedHeads.map(head => head.manifest.document) })
  }

  const write = async (req: ApplyRequest, heads: ReadonlyMap<string, StoredHead>, change: CheckedChange): Promise<Attempt> => {
    const { manifest, contents } = change
    const stored = new Set([...heads.values()].flatMap(({ head }) => head === undefined ? [] : digestsOf(head.manifest)))
    const newDigests = [...new Set(digestsOf(manifest))].filter(digest => !stored.has(digest))
    const puts = newDigests.map((digest): PutOperation => ({ kind: 'put', key: chunkKey(digest), value: contents.get(digest)! }))
    const head = headOf(manifest, contents, heads.get(req.document)?.head?.manifest)
    const text = JSON.stringify(head)
    const headPuts: PutOperation[] = [
      { kind: 'put', key: headKey(req.document), value: text },
      { kind: 'put', key: historyKey(req.document, manifest.version), value: JSON.stringify(manifest) },
      options.audit(manifest)
    ]
    const compares = [req.document, ...change.checkedWith].map((document): Compare => {
      const seen = heads.get(document)
      return { key: headKey(document), target: 'mod', equals: seen?.modRevision ?? 0 }
    })
    const fitsInOneTransaction = sizeOf([...puts, ...headPuts]) <= MAX_TRANSACTION_BYTES
    if (!fitsInOneTransaction) {
      const chunks = await writeChunks(puts)
      if (chunks.err) return retryAttempt(chunks.val, false)
      // The removal of old versions may delete a chunk that no version names yet. The head is then not written,
      // and the next attempt writes the chunk again.
      compares.push(...chunks.val)
    }
    const written = await store.transact({ compares, writes: fitsInOneTransaction ? [...puts, ...headPuts] : headPuts }, { priority: 'config' })
    if (written.err) return retryAttempt(written.val, written.val.kind === 'unknown')
    if (!written.val.succeeded) return retryAttempt({ kind: 'unavailable', message: 'The configuration changed meanwhile.' }, false)
    logger.info('config-accepted', { document: req.document, version: manifest.version, change: req.changeId, operator: req.operator })
    configProvider.publish(head)
    inBackground('drop-old-versions', dropOldVersions({ store, logger }, req.document))
    return settledAttempt(Ok(manifest))
  }

  const writeChunks = async (puts: readonly PutOperation[]): Promise<Result<Compare[], StoreError>> => {
    const compares: Compare[] = []
    for (const batch of batchesOf(puts)) {
      const written = await store.transact({ compares: [], writes: batch }, { priority: 'config' })
      if (written.err) return written
      compares.push(...batch.map((put): Compare => ({ key: put.key, target: 'mod', equals: written.val.revision })))
    }
    return Ok(compares)
  }

  const publishEarlier = (manifest: Manifest, req: ApplyRequest, current: StoredHead | undefined): Manifest => {
    logger.info('config-accepted-before', { document: req.document, version: manifest.version, change: req.changeId })
    if (current?.head !== undefined) configProvider.publish(current.head)
    return manifest
  }
  const nextVersion = (req: ApplyRequest, head: Head | undefined): number =>
    // Also above the version loaded here: after a restore of the store from an older copy, no version may be assigned twice.
    Math.max(head?.manifest.version ?? 0, configProvider.latestDocument(req.document)?.manifest.version ?? 0, req.expectedVersion) + 1
  const manifestOf = (req: ApplyRequest, version: number): Manifest => ({
    document: req.document,
    version,
    changeId: req.changeId,
    core: req.core,
    adapters: [...req.adapters],
    operator: req.operator,
    acceptedBy: options.peers.self.id,
    acceptedAtMs: clock.now(),
    fromVersion: req.expectedVersion,
    note: req.note
  })
  return { apply }
}

interface CheckedChange {
  manifest: Manifest
  contents: ReadonlyMap<string, string>
  /** Documents that the change was checked together with. */
  checkedWith: readonly string[]
}

function checkTogether (document: string, changed: DocumentBody, relatedBodies: readonly DocumentBody[], activeFleet: ResolvedFleet | undefined): ConfigError['problems'] {
  if (document !== BASE_DOCUMENT) {
    const base = relatedBodies[0]
    if (base === undefined) return [{ file: documentFileName(document), path: '', found: 'an overlay without a base', allowed: `an accepted ${documentFileName(BASE_DOCUMENT)} first` }]
    const resolved = resolveFleet(base, changed, activeFleet)
    return resolved.err ? resolved.val.problems : []
  }
  const all = [undefined, ...relatedBodies].map(overlay => resolveFleet(changed, overlay, activeFleet))
  return all.flatMap(resolved => resolved.err ? resolved.val.problems : [])
}

function settledAttempt (result: Result<Manifest, ApplyError>): Attempt {
  return { kind: 'settled', result }
}

function retryAttempt (cause: StoreError, mayHaveWritten: boolean): Attempt {
  return { kind: 'again', cause, mayHaveWritten }
}

const ATTEMPT_OF_READ_ERROR: { [Kind in ReadError['kind']]: (err: Extract<ReadError, { kind: Kind }>) => Attempt } = {
  store: err => retryAttempt(err.cause, false),
  config: err => settledAttempt(Err({ kind: 'config', cause: err.cause })),
  'missing-chunks': err => settledAttempt(Err({ kind: 'missing-chunks', digests: err.digests }))
}

function attemptOf (err: ReadError): Attempt {
  return (ATTEMPT_OF_READ_ERROR[err.kind] as (err: ReadError) => Attempt)(err)
}

function sizeOf (puts: readonly PutOperation[]): number {
  return puts.reduce((sum, put) => sum + put.key.length + put.value.length, 0)
}

function batchesOf (puts: readonly PutOperation[]): PutOperation[][] {
  return puts.reduce<PutOperation[][]>((batches, put) => {
    const last = batches.at(-1)
    if (last === undefined || sizeOf([...last, put]) > MAX_TRANSACTION_BYTES) return [...batches, [put]]
    last.push(put)
    return batches
  }, [])
}
