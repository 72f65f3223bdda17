/** Content of a document: encodes, decodes and checks what operators wrote. */
import * as v from 'valibot'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { bucketOf, encodeChunk, decodeChunk, splitIntoBuckets } from './chunks'
import type { Chunk } from './chunks'
import { BASE_DOCUMENT, documentFileName } from './documents'
import type { ChunkContents, Manifest } from './documents'
import { adapterSchema, baseSchema, overlayAdapterSchema, overlaySchema } from './fleet'
import type { AdapterConfig, FleetConfig, ModelConfig, ServiceConfig, TeamConfig } from './fleet'
import { checkConfig } from './schema'
import type { ConfigError, ConfigProblem } from './schema'

type PartialEntry<T extends { name: string }> = Partial<T> & { name: string }

/** A document without its adapters, as written; defaults are applied when it is resolved. */
export interface DocumentCore {
  cells?: number
  capacityTokensPerSecond?: number
  coldStartWorth?: number
  weightStore?: Partial<FleetConfig['weightStore']>
  objective?: Partial<FleetConfig['objective']>
  without?: Partial<Record<EntryKind, string[]>>
  team?: Array<PartialEntry<TeamConfig>>
  model?: Array<PartialEntry<ModelConfig>>
  service?: Array<PartialEntry<ServiceConfig>>
}

export type EntryKind = 'team' | 'model' | 'adapter' | 'service'
export const ENTRY_KINDS: readonly EntryKind[] = ['team', 'model', 'adapter', 'service']

export type AdapterEntry = PartialEntry<AdapterConfig>

export interface AdapterBucket {
  digest: string
  byName: ReadonlyMap<string, AdapterEntry>
}

export interface DocumentBody {
  document: string
  core: DocumentCore
  adapters: readonly AdapterBucket[]
}

export interface EncodedDocument {
  core: string
  adapters: string[]
  chunks: ChunkContents
}

/** Checks a whole file as parsed from TOML and splits it into chunks. */
export function encodeDocument (document: string, value: Record<string, unknown>): Result<EncodedDocument, ConfigError> {
  const file = documentFileName(document)
  const { adapter, ...rest } = value
  const core = checkConfig(file, rest, coreSchemaOf(document))
  const adapters = checkConfig(file, { adapter }, v.strictObject({ adapter: v.optional(v.array(adapterSchemaOf(document)), []) }))
  const problems = [core, adapters].flatMap(checked => checked.err ? checked.val.problems : [])
  if (problems.length > 0) return Err({ kind: 'schema', problems })
  const written = adapter as AdapterEntry[] | undefined ?? []
  const duplicates = [...duplicatesOf(file, rest as DocumentCore), ...duplicateNames(file, 'adapter', written)]
  if (duplicates.length > 0) return Err({ kind: 'schema', problems: duplicates })
  return toChunks(file, rest as DocumentCore, written)
}

function toChunks (file: string, core: DocumentCore, adapters: readonly AdapterEntry[]): Result<EncodedDocument, ConfigError> {
  const encoded = [core, ...splitIntoBuckets(adapters)].map(encodeChunk)
  const chunks: Chunk[] = []
  for (const chunk of encoded) {
    if (chunk.err) return Err({ kind: 'schema', problems: [{ file, path: '', found: 'a file that is too large to store', allowed: 'at most 1 MB, compressed, without the adapters' }] })
    chunks.push(chunk.val)
  }
  const [first, ...others] = chunks
  return Ok({
    core: first!.digest,
    adapters: others.map(chunk => chunk.digest),
    chunks: Object.fromEntries(chunks.map(chunk => [chunk.digest, chunk.content]))
  })
}

/** Reads and checks the chunk that contains everything but the adapters. */
export function readCore (document: string, chunk: Chunk): Result<DocumentCore, ConfigError> {
  const file = documentFileName(document)
  const value = decodeChunk(chunk)
  if (value.err) return Err(damagedChunk(file, chunk.digest, value.val.kind))
  const checked = checkConfig(file, value.val, coreSchemaOf(document))
  if (checked.err) return checked
  const problems = duplicatesOf(file, value.val as DocumentCore)
  return problems.length > 0 ? Err({ kind: 'schema', problems }) : Ok(value.val as DocumentCore)
}

export interface BucketPosition {
  index: number
  count: number
}

/** Reads and checks one bucket of adapters. A name in the wrong bucket would never be found by lookups. */
export function readBucket (document: string, chunk: Chunk, position: BucketPosition): Result<AdapterBucket, ConfigError> {
  const file = documentFileName(document)
  const value = decodeChunk(chunk)
  if (value.err) return Err(damagedChunk(file, chunk.digest, value.val.kind))
  const checked = checkAdapters(document, value.val)
  if (checked.err) return checked
  const items = checked.val
  items.forEach(internModelName)
  const isMisplaced = items.some(item => bucketOf(item.name, position.count) !== position.index)
  const problems = duplicateNames(file, 'adapter', items)
  if (isMisplaced) return Err(damagedChunk(file, chunk.digest, 'wrong bucket'))
  if (problems.length > 0) return Err({ kind: 'schema', problems })
  return Ok({ digest: chunk.digest, byName: new Map(items.map(item => [item.name, item])) })
}

export function chunkOf (manifest: Manifest, digest: string, contents: ReadonlyMap<string, string>): Chunk | undefined {
  const content = contents.get(digest)
  return content === undefined ? undefined : { digest, content }
}

/** Model names repeat many times; sharing one string per name saves memory with 80,000 adapters. */
const internedNames = new Map<string, string>()

function internModelName (item: AdapterEntry): void {
  if (item.model === undefined) return
  const known = internedNames.get(item.model)
  if (known === undefined) internedNames.set(item.model, item.model)
  else item.model = known
}

/**
 * Checks adapters without the schema if they are obviously valid, since the schema allocates a dozen objects per
 * adapter; with 80,000 adapters these took 30 MB of heap that was not released. All others are checked by the
 * schema, which decides and words the problems.
 */
function checkAdapters (document: string, value: unknown): Result<AdapterEntry[], ConfigError> {
  if (Array.isArray(value) && value.every(isValidAdapter)) return Ok(value as AdapterEntry[])
  return checkConfig(documentFileName(document), value, v.array(adapterSchemaOf(document))) as Result<AdapterEntry[], ConfigError>
}

const PLAIN_NAME = /^[a-z0-9][a-z0-9._-]*$/
const ADAPTER_FIELDS = 3

function isValidAdapter (value: unknown): value is AdapterConfig {
  if (typeof value !== 'object' || value === null) return false
  const item = value as Partial<AdapterConfig>
  return typeof item.name === 'string' && PLAIN_NAME.test(item.name) &&
    typeof item.model === 'string' && PLAIN_NAME.test(item.model) &&
    typeof item.memoryMiB === 'number' && item.memoryMiB >= 1 &&
    Object.keys(item).length === ADAPTER_FIELDS
}

function coreSchemaOf (document: string): v.GenericSchema {
  return document === BASE_DOCUMENT ? baseSchema : overlaySchema
}

function adapterSchemaOf (document: string): v.GenericSchema {
  return document === BASE_DOCUMENT ? adapterSchema : overlayAdapterSchema
}

function duplicatesOf (file: string, core: DocumentCore): ConfigProblem[] {
  return (['team', 'model', 'service'] as const).flatMap(kind => duplicateNames(file, kind, core[kind] ?? []))
}

function duplicateNames (file: string, kind: EntryKind, items: readonly { name: string }[]): ConfigProblem[] {
  const seen = new Set<string>()
  return items.flatMap(({ name }, index) => {
    if (!seen.has(name)) {
      seen.add(name)
      return []
    }
    return [{ file, path: `${kind}.${index}.name`, found: `${name} a second time`, allowed: `one ${kind} of each name` }]
  })
}

function damagedChunk (file: string, digest: string, found: string): ConfigError {
  return { kind: 'schema', problems: [{ file, path: `chunk ${digest}`, found, allowed: 'the chunk as it was written' }] }
}
