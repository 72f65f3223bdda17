/**
 * The documents of the configuration and their keys in the store: the base and one overlay for each
 * site, each with its own versions.
 *
 * A version is a {@link Manifest} that names chunks by the digest of their content. It is created
 * by one compare-and-swap of the document's head; chunks written before that are not visible.
 */
import * as v from 'valibot'
import { STORE_KEY_PREFIX } from '../constants'
import { parseJson } from '../utils'

export const BASE_DOCUMENT = 'base'
const SITE_PREFIX = 'sites/'
const DOCUMENT_NAME = /^(base|sites\/[a-z0-9][a-z0-9._-]*)$/

export const CONFIG_ROOT = `${STORE_KEY_PREFIX}/config/`
export const HEADS_PREFIX = `${CONFIG_ROOT}heads/`
const CHUNKS_PREFIX = `${CONFIG_ROOT}chunks/`
const HISTORY_PREFIX = `${CONFIG_ROOT}history/`
/** Versions are padded to this many digits, so that they sort as text up to the largest safe integer. */
const VERSION_DIGITS = 16

const digest = v.pipe(v.string(), v.regex(/^[A-Za-z0-9_-]{43}$/))

export const manifestSchema = v.strictObject({
  document: v.pipe(v.string(), v.regex(DOCUMENT_NAME)),
  version: v.pipe(v.number(), v.integer(), v.minValue(1)),
  /** Unique for each change; shows after a lost response whether this change was accepted. */
  changeId: v.string(),
  /** Digest of the chunk with everything but the adapters. */
  core: digest,
  /** Digests of the adapter buckets, in order; their count is zero or a power of two. */
  adapters: v.array(digest),
  /** Name of the operator key that was used for the change. */
  operator: v.string(),
  /** Instance that accepted the change. */
  acceptedBy: v.string(),
  acceptedAtMs: v.number(),
  /** The version that the operator saw. */
  fromVersion: v.number(),
  /** The operator's note on the change. */
  note: v.optional(v.string(), '')
})

export type Manifest = v.InferOutput<typeof manifestSchema>

export const headSchema = v.strictObject({
  manifest: manifestSchema,
  /** Small new chunks, by digest, so that a receiver of the head need not request them. */
  inline: v.record(v.string(), v.string())
})

/** The stored value of a document's head, and the body of messages between peers. */
export type Head = v.InferOutput<typeof headSchema>

/** Contents of chunks by digest. */
export type ChunkContents = Readonly<Record<string, string>>

export interface DocumentVersion {
  document: string
  version: number
}

export function siteDocument (site: string): string {
  return SITE_PREFIX + site
}

export function isDocumentName (text: string): boolean {
  return DOCUMENT_NAME.test(text)
}

/** File name of a document, as operators know it. */
export function documentFileName (document: string): string {
  return `${document}.toml`
}

export function headKey (document: string): string {
  return HEADS_PREFIX + document
}

export function chunkKey (chunkDigest: string): string {
  return CHUNKS_PREFIX + chunkDigest
}

export function historyPrefix (document: string): string {
  return `${HISTORY_PREFIX}${document}/`
}

export function historyKey (document: string, version: number): string {
  return historyPrefix(document) + String(version).padStart(VERSION_DIGITS, '0')
}

export function digestsOf (manifest: Manifest): string[] {
  return [manifest.core, ...manifest.adapters]
}

/** Returns the head in `text`, or undefined if the record is damaged. */
export function parseHead (text: string): Head | undefined {
  return checkHead(parseJson(text))
}

export function checkHead (value: unknown): Head | undefined {
  const checked = v.safeParse(headSchema, value)
  return checked.success ? checked.output : undefined
}

export function parseManifest (text: string): Manifest | undefined {
  const checked = v.safeParse(manifestSchema, parseJson(text))
  return checked.success ? checked.output : undefined
}
