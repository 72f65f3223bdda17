/** What operators ask. Nothing here changes anything. */
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
  /** Documents whose record in the store cannot be read. */
  damaged: string[]
  /** In force on the instance that answers. */
  inForce: readonly DocumentVersion[]
}

/** A version with the contents of its chunks, for the command line to decode. */
export interface DocumentContents {
  manifest: Manifest
  contents: Record<string, string>
}

export interface InstanceRollout {
  instance: string
  failureDomain: string
  isInForce: boolean
  /** In force there; undefined when it did not answer. */
  version?: number
  /** Why it is not in force, as far as known. */
  reason?: string
}

/** A key as operators may see it: without its digest. */
export type KeySummary = Omit<CallerKeyRecord, 'digest'>

export type ConfigEntry = TeamConfig | ModelConfig | AdapterConfig | ServiceConfig

export interface EntryList {
  version: number
  /** Entries there are, also those left out. */
  total: number
  entries: readonly ConfigEntry[]
}

/** 80,000 adapters are no answer to anybody. */
const MAX_ENTRIES = 1000

const FINDERS: Record<EntryKind, (cfg: ConfigProvider, name: string) => ConfigEntry | undefined> = {
  team: (cfg, name) => cfg.team(name),
  model: (cfg, name) => cfg.model(name),
  adapter: (cfg, name) => cfg.adapter(name),
  service: (cfg, name) => cfg.service(name)
}

export interface OperatorQueries {
  config (): Promise<Result<ConfigOverview, OperatorError>>
  /** Version 0 stands for the newest. */
  document (document: string, version: number): Promise<Result<DocumentContents, OperatorError>>
  history (document: string): Promise<Result<Manifest[], OperatorError>>
  /** Where the version is in force; waits for that up to `timeoutMs`. */
  rollout (document: string, version: number, timeoutMs: number): Promise<InstanceRollout[]>
  keys (team: string | undefined): Promise<Result<KeySummary[], OperatorError>>
  /** Entries in force on the instance that answers; of one name, or the first ones. */
  entries (kind: EntryKind, name: string | undefined): EntryList
  audit (): Promise<Result<AuditRecord[], OperatorError>>
}

export interface OperatorQueriesOptions {
  store: Store
  cfg: ConfigProvider
  peers: Peers
  clock: Clock
}

const SPREAD_POLL_MS = 100

export function createOperatorQueries (options: OperatorQueriesOptions): OperatorQueries {
  const { store, cfg, peers, clock } = options
  const sources = { store, configProvider: cfg, clock }

  const manifestOf = async (document: string, version: number): Promise<Result<Manifest, OperatorError>> => {
    const unknown: OperatorError = { kind: 'unknown-version', document, version }
    const held = cfg.latestDocument(document)?.manifest
    if (held !== undefined && held.version === version) return Ok(held)
    if (version > 0) {
      const manifest = await readManifest(store, document, version)
      if (manifest.err) return Err(storeError(manifest.val))
      return manifest.val === undefined ? Err(unknown) : Ok(manifest.val)
    }
    const heads = await readHeads(store)
    // With the store dark, the newest that this instance knows is the best answer there is.
    if (heads.err) return held === undefined ? Err(storeError(heads.val)) : Ok(held)
    const head = heads.val.get(document)?.head
    return head === undefined ? Err(unknown) : Ok(head.manifest)
  }
  const askInstance = async (id: string, failureDomain: string, document: string, version: number): Promise<InstanceRollout | undefined> => {
    const answer = await peers.call(id, configActiveVersionsCall, {})
    if (answer.err) return { instance: id, failureDomain, isInForce: false, reason: answer.val.message }
    if (!answer.val.follows.includes(document)) return undefined
    const found = answer.val.versions.find(one => one.document === document)?.version
    if (found !== undefined && found >= version) return { instance: id, failureDomain, isInForce: true, version: found }
    return { instance: id, failureDomain, isInForce: false, version: found ?? 0, reason: 'an older version is in force there' }
  }
  /** Another site's instances never take this site's overlay: waiting for them would always end as a failure. */
  const askAll = async (document: string, version: number): Promise<InstanceRollout[]> => {
    const asked = await Promise.all(peers.members().map(member => askInstance(member.id, member.failureDomain, document, version)))
    return asked.filter(one => one !== undefined)
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
      const manifest = await manifestOf(document, version)
      if (manifest.err) return manifest
      const read = await readVersion(sources, manifest.val, {})
      return read.ok ? Ok({ manifest: manifest.val, contents: Object.fromEntries(read.val.contents) }) : read
    },
    history: async document => (await readHistory(store, document)).mapErr(storeError),
    rollout: async (document, version, timeoutMs) => {
      const startedMs = clock.monotonic()
      for (;;) {
        const found = await askAll(document, version)
        if (found.every(one => one.isInForce) || clock.monotonic() - startedMs >= timeoutMs) return found
        await sleep(clock, SPREAD_POLL_MS)
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
      const all: readonly ConfigEntry[] = name === undefined ? fleet[kind] : [FINDERS[kind](cfg, name) ?? []].flat()
      return { version, total: all.length, entries: all.slice(0, MAX_ENTRIES) }
    },
    audit: async () => (await readAudit(store)).mapErr(storeError)
  }
}

function storeError (cause: StoreError): OperatorError {
  return { kind: 'store', cause }
}
