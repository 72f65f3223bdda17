/**
 * The active configuration of this instance: the newest accepted version that it received from the store's watch or
 * from a peer, whichever came first. It never returns to an older version.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { repeat, sleep } from '../clock'
import type { Logger } from '../logger'
import type { MemberRecord, Peers } from '../members'
import { createListeners } from '../members/dispatch'
import type { Disposer } from '../members/peers'
import type { Store } from '../store'
import { isIntact } from './chunks'
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
import { MAX_CHUNK_RESPONSE_BYTES, configAcceptedNotice, configChunksCall, configHeadCall, configActiveVersionsCall, configVersionsNotice } from './messages'

export interface ActiveConfig {
  /** Sum of the documents' versions, which increases with every change; 0 before the first. */
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
  /** Adds a listener that is called after a newer configuration became active. */
  onChanged (listener: () => void): Disposer
  /** Returns the newest version of a document that is loaded in full, active or not. */
  latestDocument (document: string): LoadedDocument | undefined
  /** Returns the active fleet, whose unchanged parts are reused when a change is checked. */
  resolvedFleet (): ResolvedFleet | undefined
  /** Applies a version that this instance has accepted itself, and sends it to the peers. */
  publish (head: Head): void
  start (signal: AbortSignal): void
}

export interface ConfigProviderOptions {
  store: Store
  peers: Peers
  /** Site whose overlay this instance applies. */
  site: string
  clock: Clock
  logger: Logger
}

/** Source of a version: the store, this instance itself, or a peer. */
type Source = { kind: 'store' } | { kind: 'self' } | { kind: 'peer', id: string }

interface PendingVersion {
  head: Head
  source: Source
}

/** Delay between attempts to fetch the chunks of a version, in milliseconds. */
const FETCH_RETRY_DELAY_MS = 500
/** Interval at which one peer, in rotation, receives the versions loaded here, in milliseconds: bounds the delay after a lost notice. */
const VERSIONS_INTERVAL_MS = 2000

export function createConfigProvider (options: ConfigProviderOptions): ConfigProvider {
  const { store, peers, clock, logger } = options
  const documents = [BASE_DOCUMENT, siteDocument(options.site)]
  const changeListeners = createListeners<[]>()
  const loaded = new Map<string, LoadedDocument>()
  const pendingVersions = new Map<string, PendingVersion>()
  const fetching = new Set<string>()
  const stopped = new AbortController()
  let active: ActiveConfig = { version: 0, documents: [], fleet: EMPTY_FLEET }
  let resolvedFleet: ResolvedFleet | undefined
  let nextPeer = 0

  const loadedVersion = (document: string): number => loaded.get(document)?.manifest.version ?? 0
  const loadedVersions = (): DocumentVersion[] => documents
    .map(document => ({ document, version: loadedVersion(document) }))
    .filter(({ version }) => version > 0)

  /**
   * Applies a version only if it is newer than the known ones. An older one (a snapshot from a lagging store, a
   * late event, a slow peer) would take effect as a change that no operator made. Versions only increase, so a
   * comparison suffices.
   */
  const applyHead = (head: Head, source: Source): void => {
    const { document, version } = head.manifest
    if (!documents.includes(document)) return
    const known = Math.max(loadedVersion(document), pendingVersions.get(document)?.head.manifest.version ?? 0)
    if (version < known) logger.debug('config-older-ignored', { document, version, known, source: source.kind })
    if (version <= known) return
    pendingVersions.set(document, { head, source })
    if (!fetching.has(document)) inBackground('fetch-pending-versions', fetchPendingVersions(document))
  }
  const fetchPendingVersions = async (document: string): Promise<void> => {
    fetching.add(document)
    const found = new Map<string, string>()
    for (let next = pendingVersions.get(document); next !== undefined && !stopped.signal.aborted; next = pendingVersions.get(document)) {
      const { head, source } = next
      addInlineChunks(head, found)
      const missing = missingChunks(head.manifest, loaded.get(document), found)
      if (missing.length > 0) await fetchChunks({ store, peers }, missing, found, source.kind === 'peer' ? source.id : undefined)
      const missingCount = missingChunks(head.manifest, loaded.get(document), found).length
      if (missingCount > 0) {
        logger.warn('config-incomplete', { document, version: head.manifest.version, missing: missingCount })
        await sleep(clock, FETCH_RETRY_DELAY_MS, stopped.signal)
        continue
      }
      await loadVersion(head, source, found)
    }
    fetching.delete(document)
  }
  const loadVersion = async (head: Head, source: Source, found: ReadonlyMap<string, string>): Promise<void> => {
    const { document, version } = head.manifest
    const before = loaded.get(document)
    const read = await loadDocument(head.manifest, before, found, () => sleep(clock, 0))
    if (pendingVersions.get(document)?.head === head) pendingVersions.delete(document)
    if (read.err) {
      return logger.error('config-refused', { document, version, reason: read.val.problems.slice(0, 1).map(formatProblem)[0] })
    }
    loaded.set(document, read.val)
    logger.info('config-held', { document, version, source: source.kind, from: source.kind === 'peer' ? source.id : undefined })
    // Only the instance that accepted the version notifies all: if each of 420 instances did, there would be 420 times as many notices.
    if (source.kind === 'self') peers.notifyAll(configAcceptedNotice, headOf(head.manifest, read.val.contents, before?.manifest))
    activate()
  }
  /** Activates the loaded documents if they fit. They may arrive in a different order than they were accepted, so the old pair stays active until then. */
  const activate = (): void => {
    const base = loaded.get(BASE_DOCUMENT)
    if (base === undefined) return
    const next = resolveFleet(base.body, loaded.get(documents[1]!)?.body, resolvedFleet)
    if (next.err) {
      return logger.warn('config-held-back', { reason: next.val.problems.slice(0, 1).map(formatProblem)[0] })
    }
    resolvedFleet = next.val
    const pair = loadedVersions()
    active = { version: pair.reduce((sum, { version }) => sum + version, 0), documents: pair, fleet: next.val.fleet }
    logger.info('config-in-force', { version: active.version, documents: pair.map(({ document, version }) => `${document}:${version}`) })
    changeListeners.emit()
  }
  const applyRecord = (record: { key: string, value: string }): void => {
    const head = parseHead(record.value)
    if (head === undefined || record.key !== HEADS_PREFIX + head.manifest.document) {
      return logger.error('config-record-damaged', { key: record.key })
    }
    applyHead(head, { kind: 'store' })
  }
  const loadedHead = (document: string): Head | undefined => {
    const current = loaded.get(document)
    return current === undefined ? undefined : headOf(current.manifest, current.contents, undefined)
  }
  const sendVersions = (): void => {
    const partners = exchangePartners(peers)
    const partner = partners[nextPeer++ % Math.max(1, partners.length)]
    if (partner !== undefined) peers.notify(partner.id, configVersionsNotice, { versions: loadedVersions() })
  }
  const compareVersions = async (remoteVersions: readonly DocumentVersion[], from: string): Promise<void> => {
    const remoteVersion = (document: string): number => remoteVersions.find(one => one.document === document)?.version ?? 0
    documents
      .filter(document => remoteVersion(document) < loadedVersion(document))
      .forEach(document => peers.notify(from, configAcceptedNotice, loadedHead(document)!))
    for (const document of documents.filter(document => remoteVersion(document) > loadedVersion(document))) {
      const response = await peers.call(from, configHeadCall, { document })
      const head = response.ok ? checkHead(response.val.head) : undefined
      if (head !== undefined) applyHead(head, { kind: 'peer', id: from })
    }
  }

  peers.listen(configAcceptedNotice, (body, from) => {
    const head = checkHead(body)
    if (head !== undefined) applyHead(head, { kind: 'peer', id: from.id })
  })
  peers.listen(configVersionsNotice, (body, from) => { inBackground('compare-versions', compareVersions(body.versions, from.id)) })
  peers.serve(configHeadCall, ({ document }) => ({ head: loadedHead(document) }))
  peers.serve(configChunksCall, ({ digests }) => ({
    contents: pickContents(digests, digest => loadedContent(loaded, digest), MAX_CHUNK_RESPONSE_BYTES)
  }))
  peers.serve(configActiveVersionsCall, () => ({ versions: [...active.documents], follows: documents }))
  peers.onConnected(member => peers.notify(member.id, configVersionsNotice, { versions: loadedVersions() }))

  return {
    active: () => active,
    team: name => resolvedFleet?.teams.get(name),
    model: name => resolvedFleet?.models.get(name),
    adapter: name => resolvedFleet?.adapter(name),
    service: name => resolvedFleet?.services.get(name),
    onChanged: changeListeners.add,
    latestDocument: document => loaded.get(document),
    resolvedFleet: () => resolvedFleet,
    publish: head => applyHead(head, { kind: 'self' }),
    start: signal => {
      signal.addEventListener('abort', () => stopped.abort(), { once: true })
      store.watch(HEADS_PREFIX, {
        onSnapshot: snapshot => snapshot.entries.forEach(applyRecord),
        onEvent: event => { if (event.kind === 'put') applyRecord(event) }
      }, signal)
      inBackground('config-provider-loop', repeat(clock, VERSIONS_INTERVAL_MS, signal, sendVersions))
    }
  }
}

function loadedContent (loaded: ReadonlyMap<string, LoadedDocument>, digest: string): string | undefined {
  return [...loaded.values()].map(document => document.contents.get(digest)).find(content => content !== undefined)
}

function addInlineChunks (head: Head, found: Map<string, string>): void {
  Object.entries(head.inline)
    .filter(([digest, content]) => isIntact(digest, content))
    .forEach(([digest, content]) => found.set(digest, content))
}

/**
 * Returns the connected members 1, 2, 4, 8 … places after this one. Exchanges with them use few links, and any
 * member reaches any other in a few steps.
 */
function exchangePartners (peers: Peers): MemberRecord[] {
  const all = peers.members()
  const own = all.findIndex(member => member.id === peers.self.id)
  const offsets = Array.from({ length: Math.ceil(Math.log2(Math.max(1, all.length))) }, (_, power) => 2 ** power)
  return offsets.map(offset => all[(own + offset) % all.length]!).filter(member => peers.isConnected(member.id))
}
