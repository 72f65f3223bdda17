/**
 * Requests that were on an engine when its process died. Now and then one request kills every engine that
 * runs it, and its caller sends it again elsewhere: without this, one caller takes down a fleet of engines.
 */
import { createHash } from 'node:crypto'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerNotice } from '../members'
import type { Peers } from '../members'
import type { CrashCheck } from './crashCheck'
import { createLane } from './mutex'

/** `suspect`: was there when one engine died; run it apart. `refused`: there twice, never run it again. */
export type SuspectAssessment = 'clear' | 'suspect' | 'refused'

export interface Suspects {
  assess (fingerprint: string): SuspectAssessment
  /** Whether the engine's process died, asked after a connection to it broke. */
  hasCrashed: CrashCheck
  /** The request was running when an engine died. `crashId` is unique for each run that ended so. */
  recordCrash (fingerprint: string, crashId: string): void
  /** It ran to its end: what killed the engine was another. */
  clear (fingerprint: string): void
  /** Waits for the lane in which suspects run one at a time; call what it resolves to when the run has ended. */
  acquireIsolation (signal: AbortSignal): Promise<() => void>
}

/** Crashes seen with the request. Taken as a set, so that a doubled or late notice counts once. */
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
  /** How long a crash is remembered, milliseconds. @default 600000 */
  retentionMs?: number
  /** Fingerprints remembered at most; the oldest goes first. @default 10000 */
  maxFingerprints?: number
  /** Crashes after which a request is refused. @default 2 */
  refuseAfterCrashes?: number
}

const HOLD_MS = 600_000
const MAX_HELD = 10_000
const CRASHES_TO_REFUSE = 2

interface Held {
  crashIds: Set<string>
  untilMs: number
}

/** The same team sending the same body for the same model is the same request sent again. */
export function fingerprintOf (team: string, model: string, body: Buffer): string {
  return createHash('sha256').update(`${team}\0${model}\0`).update(body).digest('base64url')
}

export function createSuspects (options: SuspectsOptions): Suspects {
  const { peers, clock, logger } = options
  const holdMs = options.retentionMs ?? HOLD_MS
  const maxHeld = options.maxFingerprints ?? MAX_HELD
  const crashesToRefuse = options.refuseAfterCrashes ?? CRASHES_TO_REFUSE
  const held = new Map<string, Held>()
  const lane = createLane()

  const find = (fingerprint: string): Held | undefined => {
    const found = held.get(fingerprint)
    if (found === undefined || found.untilMs > clock.monotonic()) return found
    held.delete(fingerprint)
    return undefined
  }
  const take = (fingerprint: string, crashIds: readonly string[]): Held => {
    const known = find(fingerprint)?.crashIds ?? new Set<string>()
    const next = { crashIds: new Set([...known, ...crashIds]), untilMs: clock.monotonic() + holdMs }
    held.delete(fingerprint)
    held.set(fingerprint, next)
    const [oldest] = held.keys()
    if (held.size > maxHeld && oldest !== undefined) held.delete(oldest)
    return next
  }
  const drop = (fingerprint: string): void => {
    const found = find(fingerprint)
    if (found !== undefined && found.crashIds.size < crashesToRefuse) held.delete(fingerprint)
  }
  peers.listen(suspectNoted, notice => { take(notice.fingerprint, notice.crashIds) })
  peers.listen(suspectCleared, notice => drop(notice.fingerprint))

  return {
    hasCrashed: options.hasCrashed,
    acquireIsolation: lane.enter,
    assess: fingerprint => {
      const found = find(fingerprint)
      if (found === undefined) return 'clear'
      return found.crashIds.size >= crashesToRefuse ? 'refused' : 'suspect'
    },
    recordCrash: (fingerprint, crashId) => {
      const crashIds = [...take(fingerprint, [crashId]).crashIds]
      peers.notifyAll(suspectNoted, { fingerprint, crashIds })
      logger.warn('suspect-noted', { fingerprint, crashes: crashIds.length, reason: 'an engine died while it ran this request' })
    },
    clear: fingerprint => {
      drop(fingerprint)
      peers.notifyAll(suspectCleared, { fingerprint })
    }
  }
}
