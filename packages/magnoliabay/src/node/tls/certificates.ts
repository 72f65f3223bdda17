/**
 * Certificates from files, which are reloaded while the process runs: a certificate is renewed by overwriting its
 * files, without closing any connection.
 */
import { inBackground } from '../background'
import { readFile, stat } from 'node:fs/promises'
import { createSecureContext } from 'node:tls'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import { createListeners } from '../members/dispatch'
import type { Disposer } from '../members/peers'
import { messageOf } from '../utils'

/** Paths of PEM files. */
export interface CertificateFiles {
  cert?: string
  key?: string
  /** Certificate authorities that must have signed the other side's certificate. */
  ca?: string
}

/** Contents of the files, in PEM format. */
export type CertificateContents = CertificateFiles

export interface Certificates {
  /** Empty before the first `load`. */
  current (): CertificateContents
  onChanged (listener: (contents: CertificateContents) => void): Disposer
  /** Reads the files for the first time. Rejects when they can't be used: an instance must not start without them. */
  load (): Promise<void>
  /** Checks for changed files at an interval until `signal` aborts. */
  start (signal: AbortSignal): void
}

export interface CertificatesOptions {
  /** What the certificates are for, as shown in logs. */
  use: string
  files: CertificateFiles
  /** How often the files are checked, milliseconds. @default 30000 */
  intervalMs?: number
  clock: Clock
  logger: Logger
}

const DEFAULT_INTERVAL_MS = 30_000
type FileName = keyof CertificateFiles

export function createCertificates (options: CertificatesOptions): Certificates {
  const { files, clock, logger, use } = options
  const changeListeners = createListeners<[CertificateContents]>()
  const paths = Object.entries(files).flatMap(([name, path]) => path === undefined ? [] : [{ name: name as FileName, path }])
  let contents: CertificateContents = {}
  let fingerprint = ''

  const readFingerprint = async (): Promise<string> => {
    const stats = await Promise.all(paths.map(({ path }) => stat(path)))
    return stats.map(({ mtimeMs, size, ino }) => `${mtimeMs} ${size} ${ino}`).join(';')
  }
  const load = async (): Promise<void> => {
    const nextFingerprint = await readFingerprint()
    if (nextFingerprint === fingerprint) return
    const read = await Promise.all(paths.map(async ({ name, path }) => [name, await readFile(path, 'utf8')] as const))
    const next = Object.fromEntries(read) as CertificateContents
    // A file that is being written may be empty; the runtime takes that for no certificate at all.
    read.filter(([, text]) => text.trim() === '').forEach(([name]) => { throw new Error(`${name} is empty`) })
    createSecureContext(next)
    contents = next
    fingerprint = nextFingerprint
    logger.info('certificate-in-use', { use, files: paths.map(({ path }) => path) })
    changeListeners.emit(contents)
  }
  /**
   * Reloads changed files. Certificate and key are two files that are not written at the same moment: read in between,
   * they don't match. The old pair then stays in use, and the next check finds both files.
   */
  const reload = async (): Promise<void> => {
    try {
      await load()
    } catch (err) {
      logger.error('certificate-not-read', { use, reason: messageOf(err) })
    }
  }
  return {
    current: () => contents,
    onChanged: changeListeners.add,
    load,
    start: signal => { inBackground('certificates-loop', repeat(clock, options.intervalMs ?? DEFAULT_INTERVAL_MS, signal, reload)) }
  }
}
