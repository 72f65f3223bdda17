/** Reads documents from the fleet and from files, and decodes them so that they can be compared. */
import { sleep, createSystemClock } from '../clock'
import type { Manifest } from '../config'
import type { DocumentBody, EncodedDocument } from '../config/documentBody'
import type { ChunkContents } from '../config/documents'
import { loadDocument } from '../config/loadedDocument'
import { formatProblem } from '../config'
import { ConfigFileError, prepareTomlDocument } from '../operators/client'
import type { OperatorClient } from '../operators/client'
import type { ConfigFile } from './configFiles'

export interface PreparedFile {
  document: string
  prepared: EncodedDocument
  body: DocumentBody
  version?: number
}

export interface CurrentDocument {
  manifest: Manifest
  body: DocumentBody
}

/** Validates a file. Throws {@link ConfigFileError} with all problems. */
export async function prepareFile ({ document, text, version }: ConfigFile): Promise<PreparedFile> {
  const prepared = prepareTomlDocument(document, text)
  return { document, prepared, version, body: await decodeBody(document, prepared, prepared.chunks) }
}

export async function readCurrent (client: OperatorClient, document: string, version?: number): Promise<CurrentDocument> {
  const { manifest, contents } = await client.document(document, version)
  return { manifest, body: await decodeBody(document, manifest, contents) }
}

/** Reads the newest version of every document. */
export async function readAllCurrent (client: OperatorClient): Promise<Map<string, CurrentDocument>> {
  const { documents } = await client.config()
  const all = await Promise.all(documents.map(({ document }) => readCurrent(client, document)))
  return new Map(all.map(current => [current.manifest.document, current]))
}

async function decodeBody (document: string, { core, adapters }: Pick<Manifest, 'core' | 'adapters'>, contents: ChunkContents): Promise<DocumentBody> {
  const clock = createSystemClock()
  const manifest: Manifest = { document, core, adapters, version: 1, changeId: '', operator: '', acceptedBy: '', acceptedAtMs: 0, fromVersion: 0, note: '' }
  const loaded = await loadDocument(manifest, undefined, new Map(Object.entries(contents)), () => sleep(clock, 0))
  if (loaded.err) throw new ConfigFileError(loaded.val.problems.map(formatProblem).join('\n'))
  return loaded.val.body
}

export function hasSameContent (file: PreparedFile, current: CurrentDocument | undefined): boolean {
  if (current === undefined) return false
  return [file.prepared.core, ...file.prepared.adapters].join() === [current.manifest.core, ...current.manifest.adapters].join()
}
