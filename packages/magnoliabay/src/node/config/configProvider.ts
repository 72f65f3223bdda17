/**
 * The configuration in force on this instance: the newest accepted one that it has heard of, by the
 * store's watch or from a peer, whichever comes first. It never goes back to an older version.
 */
import type { Clock } from '../clock'
import { repeat, sleep } from '../clock'
import type { Logger } from '../logger'
import type { MemberRecord, Peers } from '../members'
import { createListeners } from '../members/dispatch'
import type { Disposer } from '../members/peers'
import type { Store } from '../store'
import { isWhole } from './chunks'
import { BASE_DOCUMENT, HEADS_PREFIX, checkHead, parseHead, siteDocument } from './documents'
import type { DocumentVersion, Head } from './documents'
import { fetchChunks } from './fetchChunks'
import { EMPTY_FLEET } from './fleet'
import type { AdapterConfig, FleetConfig, ModelConfig, ServiceConfig, TeamConfig } from './fleet'
import { headOf, missingChunks, pickContents, loadDocument } from './loadedDocument'
import type { LoadedDocument } from './loadedDocument'
import { resolveFleet } from './resolveFleet'
import type { ResolvedFleet } from './resolveFleet'
import { formatProblem } from './schema'
import { MAX_CHUNK_ANSWER_BYTES, configAcceptedNotice, configChunksCall, configHeadCall, configInForceCall, configVersionsNotice } from './messages'

export interface ActiveConfig {
  /** Grows with every change in force; 0 before the first. The sum of the documents' versions. */
  version: number
  /** Versions of the base and of the site's overlay. */
  documents: readonly DocumentVersion[]
  fleet: FleetConfig
}

export interface ConfigProvider {
  active (): ActiveConfig
  team (name: string): TeamConfig | undefined
  model (name: string): ModelConfig | undefined
  adapter (name: string): AdapterConfig | undefined
  service (name: string): ServiceConfig | undefined
  /** Called after a newer configuration came into force. */
  onChanged (listener: () => void): Disposer
  /** The newest version of a document held in full, in force or not. */
  latestDocument (document: string): LoadedDocument | undefined
  /** What is in force, for checks of a change that leaves most of it as it is. */
  resolvedFleet (): ResolvedFleet | undefined
  /** Takes a version that this instance has accepted itself, and tells the peers. */
  publish (head: Head): void
  start (signal: AbortSignal): void
}

export interface ConfigHolderOptions {
  store: Store
  peers: Peers
  /** Site whose overlay holds here. */
  site: string
  clock: Clock
  logger: Logger
}

/** Who told of a version: the store, this instance itself, or a peer. */
type Source = { kind: 'store' } | { kind: 'self' } | { kind: 'peer', id: string }

interface WantedVersion {
  head: Head
  source: Source
}

/** Between tries to get the chunks of a version, in milliseconds. */
const FETCH_RETRY_MS = 500
/** Every so often one peer in turn is told what is held here: what a lost notice costs at most. */
const VERSIONS_PERIOD_MS = 2000

export function createConfigProvider (options: ConfigHolderOptions): ConfigProvider {
  const { store, peers, clock, logger } = options
  const documents = [BASE_DOCUMENT, siteDocument(options.site)]
  const changed = createListeners<[]>()
  const held = new Map<string, LoadedDocument>()
  const wanted = new Map<string, WantedVersion>()
  const fetching = new Set<string>()
  const stopped = new AbortController()
  let inForce: ActiveConfig = { version: 0, documents: [], fleet: EMPTY_FLEET }
  let resolved: ResolvedFleet | undefined
  let nextPeer = 0

  const heldVersion = (document: string): number => held.get(document)?.manifest.version ?? 0
  const versions = (): DocumentVersion[] => documents
    .map(document => ({ document, version: heldVersion(document) }))
    .filter(({ version }) => version > 0)

  /**
   * The one gate for versions. An older one (a snapshot from a store that lags, a late event, a slow
   * peer) would take effect as a change that nobody made; versions only grow, so comparing is enough.
   */
  const take = (head: Head, source: Source): void => {
    const { document, version } = head.manifest
    if (!documents.includes(document)) return
    const known = Math.max(heldVersion(document), wanted.get(document)?.head.manifest.version ?? 0)
    if (version < known) logger.debug('config-older-ignored', { document, version, known, source: source.kind })
    if (version <= known) return
    wanted.set(document, { head, source })
    if (!fetching.has(document)) fetchWanted(document)
  }
  const fetchWanted = async (document: string): Promise<void> => {
    fetching.add(document)
    const found = new Map<string, string>()
    for (let next = wanted.get(document); next !== undefined && !stopped.signal.aborted; next = wanted.get(document)) {
      const { head, source } = next
      addInline(head, found)
      const missing = missingChunks(head.manifest, held.get(document), found)
      if (missing.length > 0) await fetchChunks({ store, peers }, missing, found, source.kind === 'peer' ? source.id : undefined)
      const lacking = missingChunks(head.manifest, held.get(document), found).length
      if (lacking > 0) {
        logger.warn('config-incomplete', { document, version: head.manifest.version, missing: lacking })
        await sleep(clock, FETCH_RETRY_MS, stopped.signal)
        continue
      }
      await adopt(head, source, found)
    }
    fetching.delete(document)
  }
  const adopt = async (head: Head, source: Source, found: ReadonlyMap<string, string>): Promise<void> => {
    const { document, version } = head.manifest
    const before = held.get(document)
    const read = await loadDocument(head.manifest, before, found, () => sleep(clock, 0))
    if (wanted.get(document)?.head === head) wanted.delete(document)
    if (read.err) {
      return logger.error('config-refused', { document, version, reason: read.val.problems.slice(0, 1).map(formatProblem)[0] })
    }
    held.set(document, read.val)
    logger.info('config-held', { document, version, source: source.kind, from: source.kind === 'peer' ? source.id : undefined })
    // Only the instance that accepted it tells everybody: were each to pass it on, 420 would send 420 times that.
    if (source.kind === 'self') peers.notifyAll(configAcceptedNotice, headOf(head.manifest, read.val.contents, before?.manifest))
    bringIntoForce()
  }
  /** Two documents may arrive in the other order than they were accepted: the old pair holds until the new one fits. */
  const bringIntoForce = (): void => {
    const base = held.get(BASE_DOCUMENT)
    if (base === undefined) return
    const next = resolveFleet(base.body, held.get(documents[1]!)?.body, resolved)
    if (next.err) {
      return logger.warn('config-held-back', { reason: next.val.problems.slice(0, 1).map(formatProblem)[0] })
    }
    resolved = next.val
    const pair = versions()
    inForce = { version: pair.reduce((sum, { version }) => sum + version, 0), documents: pair, fleet: next.val.fleet }
    logger.info('config-in-force', { version: inForce.version, documents: pair.map(({ document, version }) => `${document}:${version}`) })
    changed.emit()
  }
  const takeRecord = (record: { key: string, value: string }): void => {
    const head = parseHead(record.value)
    if (head === undefined || record.key !== HEADS_PREFIX + head.manifest.document) {
      return logger.error('config-record-damaged', { key: record.key })
    }
    take(head, { kind: 'store' })
  }
  const headHeld = (document: string): Head | undefined => {
    const own = held.get(document)
    return own === undefined ? undefined : headOf(own.manifest, own.contents, undefined)
  }
  const tellVersions = (): void => {
    const others = partnersOf(peers)
    const partner = others[nextPeer++ % Math.max(1, others.length)]
    if (partner !== undefined) peers.notify(partner.id, configVersionsNotice, { versions: versions() })
  }
  const compareVersions = async (theirs: readonly DocumentVersion[], from: string): Promise<void> => {
    const theirVersion = (document: string): number => theirs.find(one => one.document === document)?.version ?? 0
    documents
      .filter(document => theirVersion(document) < heldVersion(document))
      .forEach(document => peers.notify(from, configAcceptedNotice, headHeld(document)!))
    for (const document of documents.filter(document => theirVersion(document) > heldVersion(document))) {
      const answer = await peers.call(from, configHeadCall, { document })
      const head = answer.ok ? checkHead(answer.val.head) : undefined
      if (head !== undefined) take(head, { kind: 'peer', id: from })
    }
  }

  peers.listen(configAcceptedNotice, (body, from) => {
    const head = checkHead(body)
    if (head !== undefined) take(head, { kind: 'peer', id: from.id })
  })
  peers.listen(configVersionsNotice, (body, from) => { compareVersions(body.versions, from.id) })
  peers.serve(configHeadCall, ({ document }) => ({ head: headHeld(document) }))
  peers.serve(configChunksCall, ({ digests }) => ({
    contents: pickContents(digests, digest => contentHeld(held, digest), MAX_CHUNK_ANSWER_BYTES)
  }))
  peers.serve(configInForceCall, () => ({ versions: [...inForce.documents], follows: documents }))
  peers.onConnected(member => peers.notify(member.id, configVersionsNotice, { versions: versions() }))

  return {
    active: () => inForce,
    team: name => resolved?.teams.get(name),
    model: name => resolved?.models.get(name),
    adapter: name => resolved?.adapter(name),
    service: name => resolved?.services.get(name),
    onChanged: changed.add,
    latestDocument: document => held.get(document),
    resolvedFleet: () => resolved,
    publish: head => take(head, { kind: 'self' }),
    start: signal => {
      signal.addEventListener('abort', () => stopped.abort(), { once: true })
      store.watch(HEADS_PREFIX, {
        onSnapshot: snapshot => snapshot.entries.forEach(takeRecord),
        onEvent: event => { if (event.kind === 'put') takeRecord(event) }
      }, signal)
      repeat(clock, VERSIONS_PERIOD_MS, signal, tellVersions)
    }
  }
}

function contentHeld (held: ReadonlyMap<string, LoadedDocument>, digest: string): string | undefined {
  return [...held.values()].map(document => document.contents.get(digest)).find(content => content !== undefined)
}

function addInline (head: Head, found: Map<string, string>): void {
  Object.entries(head.inline)
    .filter(([digest, content]) => isWhole(digest, content))
    .forEach(([digest, content]) => found.set(digest, content))
}

/**
 * The members 1, 2, 4, 8 … places after this one: few links, and from any of them to any other it is a few steps.
 */
function partnersOf (peers: Peers): MemberRecord[] {
  const all = peers.members()
  const own = all.findIndex(member => member.id === peers.self.id)
  const offsets = Array.from({ length: Math.ceil(Math.log2(Math.max(1, all.length))) }, (_, power) => 2 ** power)
  return offsets.map(offset => all[(own + offset) % all.length]!).filter(member => peers.isConnected(member.id))
}
