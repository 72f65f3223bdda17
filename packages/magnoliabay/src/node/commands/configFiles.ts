/** Reads and writes the configuration as files: `base.toml`, and `sites/<site>.toml` in the same directory. */
import { mkdir, readFile, readdir, writeFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { stringify } from 'smol-toml'
import { BASE_DOCUMENT, documentFileName, siteDocument } from '../config'
import { adapterEntries } from '../config/resolveFleet'
import type { DocumentBody } from '../config/documentBody'
import { ConfigFileError } from '../operators/client'

export interface ConfigFile {
  document: string
  text: string
  /** The version from which the file was exported, if the file has a version line. */
  version?: number
}

const TOML_FILE = /^(.+)\.toml$/
const VERSION_LINE = /^# magnoliabay version (\d+)$/m

/** Reads all configuration files in `directory`, the base first. */
export async function readConfigFiles (directory: string): Promise<ConfigFile[]> {
  const sites = (await readdir(join(directory, 'sites')).catch(() => []))
    .flatMap(file => TOML_FILE.exec(file)?.[1] ?? [])
    .sort()
    .map(siteDocument)
  return await Promise.all([BASE_DOCUMENT, ...sites].map(document => readConfigFile(directory, document)))
}

async function readConfigFile (directory: string, document: string): Promise<ConfigFile> {
  const bytes = await readFile(join(directory, documentFileName(document)))
  const text = decodeText(document, bytes)
  const version = VERSION_LINE.exec(text)?.[1]
  return { document, text, version: version === undefined ? undefined : Number(version) }
}

/** Rejects bytes that are not UTF-8: replacement characters would change names. */
function decodeText (document: string, bytes: Buffer): string {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(bytes)
  } catch {
    throw new ConfigFileError(`${documentFileName(document)}: found bytes that are not UTF-8, allowed is UTF-8 text`)
  }
}

/** Writes one document; a later `apply` expects the version in its first line to be the newest. */
export async function writeConfigFile (directory: string, body: DocumentBody, version: number): Promise<string> {
  const file = join(directory, documentFileName(body.document))
  await mkdir(dirname(file), { recursive: true })
  await writeFile(file, formatDocument(body, version))
  return file
}

export function formatDocument (body: DocumentBody, version: number): string {
  const adapter = adapterEntries(body.adapters)
  const content = { ...body.core, ...(adapter.length > 0 && { adapter }) }
  return `# magnoliabay version ${version}\n${stringify(content)}\n`
}
