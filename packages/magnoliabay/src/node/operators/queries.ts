/** Operator calls that only read. */
import { KEY_RECORDS_PREFIX } from '../admission'
import type { CallerKeyRecord } from '../admission'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import type { AdapterConfig, ConfigProvider, DocumentVersion, Manifest, ModelConfig, ServiceConfig, TeamConfig } from '../config'
import type { EntryKind } from '../config/documentBody'
import { readHeads, readHistory, readManifest, readVersion } from '../config/queries'
import { configActiveVersionsCall } from '../config/messages'
import type { Peers } from '../members'
import type { Store, StoreError } from '../store'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { parseJson } from '../utils'
import { readAudit } from './audit'
import type { AuditRecord } from './audit'
import type { OperatorError } from './commands'

export interface ConfigOverview {
  documents: Manifest[]
  /** Documents whose record in the store is damaged. */
  damaged: string[]
  /** Versions that are active on the responding instance. */
  inForce: readonly DocumentVersion[]
}

/** A version with the contents of its chunks, which the command line decodes. */
export interface DocumentContents {
  manifest: Manifest
  contents: Record<string, string>
}

export interface InstanceRollout {
  instance: string
  failureDomain: string
  isInForce: boolean
  /** Version active on the instance; undefined if it did not respond. */
  version?: number
  /** Why the requested version is not active, as far as known. */
  reason?: string
}

/** A key record without its digest, as operators may see it. */
export type KeySummary = Omit<CallerKeyRecord, 'digest'>

export type ConfigEntry = TeamConfig | ModelConfig | AdapterConfig | ServiceConfig

export interface EntryList {
  version: number
  /** Number of entries, including those left out of `entries`. */
  total: number
  entries: readonly ConfigEntry[]
}

/** Maximum number of entries in a response: a fleet may have 80,000 adapters. */
const MAX_ENTRIES = 1000

const ENTRY_LOOKUPS: Record<EntryKind, (cfg: ConfigProvider, name: string) => ConfigEntry | undefined> = {
  team: (cfg, name) => cfg.team(name),
  model: (cfg, name) => cfg.model(name),
  adapter: (cfg, name) => cfg.adapter(name),
  service: (cfg, name) => cfg.service(name)
}

export interface OperatorQueries {
  config (): Promise<Result<ConfigOverview, OperatorError>>
  /** Reads a version; 0 stands for the newest. */
  document (document: string, version: number): Promise<Result<DocumentContents, OperatorError>>
  history (document: string): Promise<Result<Manifest[], OperatorError>>
  /** Returns on which instances the version is active; waits up to `timeoutMs` until it is active on all of them. */
  rollout (document: string, version: number, timeoutMs: number): Promise<InstanceRollout[]>
  keys (team: string | undefined): Promise<Result<KeySummary[], OperatorError>>
  /** Returns the active entries of the responding instance: the one of that name, or the first ones. */
  entries (kind: EntryKind, name: string | undefined): EntryList
  audit (): Promise<Result<AuditRecord[], OperatorError>>
}

export interface OperatorQueriesOptions {
  store: Store
  cfg: ConfigProvider
  peers: Peers
  clock: Clock
}

const ROLLOUT_POLL_INTERVAL_MS = 100

export function createOperatorQueries (options: OperatorQueriesOptions): OperatorQueries {
  const { store, cfg, peers, clock } = options
  const sources = { store, configProvider: cfg, clock }

  const findManifest = async (document: string, version: number): Promise<Result<Manifest, OperatorError>> => {
    const unknownVersion: OperatorError = { kind: 'unknown-version', document, version }
    const latest = cfg.latestDocument(document)?.manifest
    if (latest !== undefined && latest.version === version) return Ok(latest)
    if (version > 0) {
      const manifest = await readManifest(store, document, version)
      if (manifest.err) return Err(storeError(manifest.val))
      return manifest.val === undefined ? Err(unknownVersion) : Ok(manifest.val)
    }
    const heads = await readHeads(store)
    // While the store is unavailable, the newest version known to this instance is returned.
    if (heads.err) return latest === undefined ? Err(storeError(heads.val)) : Ok(latest)
    const head = heads.val.get(document)?.head
    return head === undefined ? Err(unknownVersion) : Ok(head.manifest)
  }
  const queryInstance = async (id: string, failureDomain: string, document: string, version: number): Promise<InstanceRollout | undefined> => {
    const answer = await peers.call(id, configActiveVersionsCall, {})
    if (answer.err) return { instance: id, failureDomain, isInForce: false, reason: answer.val.message }
    if (!answer.val.follows.includes(document)) return undefined
    const found = answer.val.versions.find(one => one.document === document)?.version
    if (found !== undefined && found >= version) return { instance: id, failureDomain, isInForce: true, version: found }
    return { instance: id, failureDomain, isInForce: false, version: found ?? 0, reason: 'an older version is in force there' }
  }
  /** Leaves out instances of other sites: they never apply this site's overlay, so waiting for them would always time out. */
  const queryAllInstances = async (document: string, version: number): Promise<InstanceRollout[]> => {
    const rollouts = await Promise.all(peers.members().map(member => queryInstance(member.id, member.failureDomain, document, version)))
    return rollouts.filter(one => one !== undefined)
  }

  return {
    config: async () => {
      const heads = await readHeads(store)
      if (heads.err) return Err(storeError(heads.val))
      const all = [...heads.val]
      return Ok({
        documents: all.flatMap(([, { head }]) => head === undefined ? [] : [head.manifest]),
        damaged: all.filter(([, { head }]) => head === undefined).map(([document]) => document),
        inForce: cfg.active().documents
      })
    },
    document: async (document, version) => {
      const manifest = await findManifest(document, version)
      if (manifest.err) return manifest
      const read = await readVersion(sources, manifest.val, {})
      return read.ok ? Ok({ manifest: manifest.val, contents: Object.fromEntries(read.val.contents) }) : read
    },
    history: async document => (await readHistory(store, document)).mapErr(storeError),
    rollout: async (document, version, timeoutMs) => {
      const startedMs = clock.monotonic()
      for (;;) {
        const found = await queryAllInstances(document, version)
        if (found.every(one => one.isInForce) || clock.monotonic() - startedMs >= timeoutMs) return found
        await sleep(clock, ROLLOUT_POLL_INTERVAL_MS)
      }
    },
    keys: async team => {
      const range = await store.range(KEY_RECORDS_PREFIX, { priority: 'ledger' })
      if (range.err) return Err(storeError(range.val))
      const records = range.val.entries.flatMap(entry => parseJson(entry.value) as CallerKeyRecord | undefined ?? [])
      return Ok(records
        .filter(record => team === undefined || record.team === team)
        .map(({ digest, ...summary }) => summary))
    },
    entries: (kind, name) => {
      const { version, fleet } = cfg.active()
      const all: readonly ConfigEntry[] = name === undefined ? fleet[kind] : [ENTRY_LOOKUPS[kind](cfg, name) ?? []].flat()
      return { version, total: all.length, entries: all.slice(0, MAX_ENTRIES) }
    },
    audit: async () => (await readAudit(store)).mapErr(storeError)
  }
}

function storeError (cause: StoreError): OperatorError {
  return { kind: 'store', cause }
}
