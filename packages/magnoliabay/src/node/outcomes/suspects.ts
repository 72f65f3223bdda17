/**
 * Tracks requests that were running on an engine when its process died. A request that crashes every engine
 * it runs on, and that its caller retries, could otherwise take down the whole fleet of engines.
 */
import { createHash } from 'node:crypto'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerNotice } from '../members'
import type { Peers } from '../members'
import type { CrashCheck } from './crashCheck'
import { createMutex } from './mutex'

/**
 * `suspect`: was running when an engine died, so it runs in isolation. `refused`: was running at `refuseAfterCrashes`
 * crashes, so it is not run again.
 */
export type SuspectAssessment = 'clear' | 'suspect' | 'refused'

export interface Suspects {
  assess (fingerprint: string): SuspectAssessment
  /** Checks whether the engine's process died, after a connection to it broke. */
  hasCrashed: CrashCheck
  /** Records that the request was running when an engine died. `crashId` is unique to each such run. */
  recordCrash (fingerprint: string, crashId: string): void
  /** Clears a suspect that ran to completion, since another request crashed the engine. */
  clear (fingerprint: string): void
  /** Waits until no other suspect runs on this instance; resolves to a function that releases the isolation. */
  acquireIsolation (signal: AbortSignal): Promise<() => void>
}

/** All known crashes of the request. Receivers merge them as a set, so a duplicate or late notice counts once. */
interface SuspectNotice {
  fingerprint: string
  crashIds: readonly string[]
}

export const suspectNoted = definePeerNotice<SuspectNotice>('outcomes.suspect')
export const suspectCleared = definePeerNotice<{ fingerprint: string }>('outcomes.suspect-cleared')

export interface SuspectsOptions {
  peers: Pick<Peers, 'listen' | 'notifyAll'>
  clock: Clock
  logger: Logger
  hasCrashed: CrashCheck
  /** How long a crash is kept, milliseconds. @default 600000 */
  retentionMs?: number
  /** Maximum number of fingerprints kept; the oldest is evicted first. @default 10000 */
  maxFingerprints?: number
  /** Crashes after which a request is refused. @default 2 */
  refuseAfterCrashes?: number
}

const DEFAULT_RETENTION_MS = 600_000
const DEFAULT_MAX_FINGERPRINTS = 10_000
const DEFAULT_REFUSE_AFTER_CRASHES = 2

interface SuspectRecord {
  crashIds: Set<string>
  expiresAtMs: number
}

/** Returns a hash that is equal for requests with the same team, model and body. */
export function fingerprintOf (team: string, model: string, body: Buffer): string {
  return createHash('sha256').update(`${team}\0${model}\0`).update(body).digest('base64url')
}

export function createSuspects (options: SuspectsOptions): Suspects {
  const { peers, clock, logger } = options
  const retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS
  const maxFingerprints = options.maxFingerprints ?? DEFAULT_MAX_FINGERPRINTS
  const refuseAfterCrashes = options.refuseAfterCrashes ?? DEFAULT_REFUSE_AFTER_CRASHES
  const records = new Map<string, SuspectRecord>()
  const isolation = createMutex()

  const findRecord = (fingerprint: string): SuspectRecord | undefined => {
    const found = records.get(fingerprint)
    if (found === undefined || found.expiresAtMs > clock.monotonic()) return found
    records.delete(fingerprint)
    return undefined
  }
  const addCrashes = (fingerprint: string, crashIds: readonly string[]): SuspectRecord => {
    const knownCrashIds = findRecord(fingerprint)?.crashIds ?? new Set<string>()
    const record = { crashIds: new Set([...knownCrashIds, ...crashIds]), expiresAtMs: clock.monotonic() + retentionMs }
    records.delete(fingerprint)
    records.set(fingerprint, record)
    const [oldest] = records.keys()
    if (records.size > maxFingerprints && oldest !== undefined) records.delete(oldest)
    return record
  }
  const removeUnlessRefused = (fingerprint: string): void => {
    const found = findRecord(fingerprint)
    if (found !== undefined && found.crashIds.size < refuseAfterCrashes) records.delete(fingerprint)
  }
  peers.listen(suspectNoted, notice => { addCrashes(notice.fingerprint, notice.crashIds) })
  peers.listen(suspectCleared, notice => removeUnlessRefused(notice.fingerprint))

  return {
    hasCrashed: options.hasCrashed,
    acquireIsolation: isolation.acquire,
    assess: fingerprint => {
      const found = findRecord(fingerprint)
      if (found === undefined) return 'clear'
      return found.crashIds.size >= refuseAfterCrashes ? 'refused' : 'suspect'
    },
    recordCrash: (fingerprint, crashId) => {
      const crashIds = [...addCrashes(fingerprint, [crashId]).crashIds]
      peers.notifyAll(suspectNoted, { fingerprint, crashIds })
      logger.warn('suspect-noted', { fingerprint, crashes: crashIds.length, reason: 'an engine died while it ran this request' })
    },
    clear: fingerprint => {
      removeUnlessRefused(fingerprint)
      peers.notifyAll(suspectCleared, { fingerprint })
    }
  }
}
