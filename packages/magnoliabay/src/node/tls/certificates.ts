/**
 * Certificates from files, read anew while the process runs: a certificate is renewed by writing its files,
 * and no connection is cut for it.
 */
import { readFile, stat } from 'node:fs/promises'
import { createSecureContext } from 'node:tls'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Logger } from '../logger'
import { createListeners } from '../members/dispatch'
import type { Disposer } from '../members/peers'
import { messageOf } from '../utils'

/** Files in PEM form. */
export interface CertificateFiles {
  cert?: string
  key?: string
  /** Authorities that the other side's certificate must come from. */
  ca?: string
}

/** Texts in PEM form. */
export type CertificateTexts = CertificateFiles

export interface Certificates {
  /** Empty before the first `load`. */
  current (): CertificateTexts
  onChanged (listener: (texts: CertificateTexts) => void): Disposer
  /** Reads the files for the first time. Rejects when they can't be used: an instance must not start without. */
  load (): Promise<void>
  /** Looks for changed files until `signal` aborts. */
  start (signal: AbortSignal): void
}

export interface CertificatesOptions {
  /** What they are for, as shown in logs. */
  use: string
  files: CertificateFiles
  /** Between two looks at the files, milliseconds. @default 30000 */
  periodMs?: number
  clock: Clock
  logger: Logger
}

const PERIOD_MS = 30_000
type FileName = keyof CertificateFiles

export function createCertificates (options: CertificatesOptions): Certificates {
  const { files, clock, logger, use } = options
  const changed = createListeners<[CertificateTexts]>()
  const paths = Object.entries(files).flatMap(([name, path]) => path === undefined ? [] : [{ name: name as FileName, path }])
  let texts: CertificateTexts = {}
  let stamp = ''

  const stampNow = async (): Promise<string> => {
    const stats = await Promise.all(paths.map(({ path }) => stat(path)))
    return stats.map(({ mtimeMs, size, ino }) => `${mtimeMs} ${size} ${ino}`).join(';')
  }
  const load = async (): Promise<void> => {
    const nextStamp = await stampNow()
    if (nextStamp === stamp) return
    const read = await Promise.all(paths.map(async ({ name, path }) => [name, await readFile(path, 'utf8')] as const))
    const next = Object.fromEntries(read) as CertificateTexts
    createSecureContext(next)
    texts = next
    stamp = nextStamp
    logger.info('certificate-in-use', { use, files: paths.map(({ path }) => path) })
    changed.emit(texts)
  }
  /**
   * Certificate and key are two files, and are not written at one moment: read in between they don't fit.
   * The old pair stays in use and the next look finds both.
   */
  const look = async (): Promise<void> => {
    try {
      await load()
    } catch (err) {
      logger.error('certificate-not-read', { use, reason: messageOf(err) })
    }
  }
  return {
    current: () => texts,
    onChanged: changed.add,
    load,
    start: signal => { repeat(clock, options.periodMs ?? PERIOD_MS, signal, look) }
  }
}
