/**
 * Keeps requests away from servers that crash on them. Each instance tells the others which suspects a crash may be due to, and
 * what an answer has cleared; all decide alike from the same records. Without crashes, nothing is sent and little is done.
 */
import * as v from 'valibot'
import type { Registry } from 'prom-client'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { definePeerNotice } from '../members'
import type { Peers } from '../members'
import type { Store } from '../store'
import { attribute } from './attribution'
import type { Blame } from './attribution'
import { createCrashRecords } from './crashRecords'
import type { ClearedNotice, CrashNotice, CrashRecord } from './crashRecords'
import { createCrashStore } from './crashStore'
import { createCrashMetrics } from './metrics'
import type { RequestSuspects, Suspect } from './suspects'
import { createTrialGrants } from './trialGrants'
import { chooseTrial, isProven } from './trialPolicy'

/** A server that has crashed while it had a request whose answer had not begun. */
export interface CutRequest {
  /** The server process. */
  process: string
  softwareVersion: string
  /** When the request was sent to it, and when its connection broke, monotonic milliseconds. */
  sentMs: number
  brokeMs: number
  /** Suspects that it was let through to try. */
  trial: readonly Suspect[]
}

/** Suspects of a request that are blamed, and the servers that crashed on them. */
export interface Accusation {
  suspects: readonly Suspect[]
  servers: readonly string[]
}

/**
 * `clear`: nothing in the request is blamed. `trial`: something is, and the request is let through to try it;
 * {@link CrashAttribution.endTrial} is to be called at its end. `refused`: it must not be sent.
 */
export type Admission =
  | { kind: 'clear' }
  | { kind: 'trial', suspects: readonly Suspect[] }
  | { kind: 'refused', accusation: Accusation }

export interface CrashAttribution {
  /** Whether the request may be sent; asks another instance only where something in it is blamed. */
  admit (req: RequestSuspects, requestId: string): Promise<Admission>
  /** Returns what is blamed in the request; undefined if nothing is. */
  accusationOf (req: RequestSuspects): Accusation | undefined
  /** Whether the request holds a suspect that has crashed a server by itself: such a request is not even left in a server's queue. */
  isProven (req: RequestSuspects): boolean
  /** Whether the server at the address has crashed, after a connection to it broke. */
  hasCrashed (address: string): Promise<boolean>
  /** Records that a server crashed before its answer to the request began. */
  recordCrash (req: RequestSuspects, cut: CutRequest): void
  /** Records that the answer to the request has begun, which clears its suspects. */
  recordBegun (req: RequestSuspects, softwareVersion: string): void
  /** Ends the trial of a request, whatever its result. */
  endTrial (req: RequestSuspects, suspects: readonly Suspect[]): void
  /** The listener is called when other suspects are blamed, or proven, than before. */
  onBlamed (listener: () => void): void
  /** Reads and watches what the store has until `signal` aborts. */
  start (signal: AbortSignal): void
}

export interface CrashAttributionOptions {
  peers: Peers
  hasCrashed: (address: string) => Promise<boolean>
  /** Where blamed suspects outlive a restart of all instances. @default they do not */
  store?: Pick<Store, 'transact' | 'watch'>
  /** Whether servers of the service have other software versions, and none this one. @default never */
  isReplaced?: (service: string, softwareVersion: string) => boolean
  /** Independent crashes after which a suspect is blamed; one or two may be a coincidence. @default 3 */
  crashesToBlame?: number
  /** Time for which a crash is kept, milliseconds. @default 3600000 */
  retentionMs?: number
  /** @default 256 */
  maxCrashes?: number
  /** Where metrics are registered. @default none are kept */
  registry?: Registry
  clock: Clock
  logger: Logger
}

const candidateSchema = v.object({ suspect: v.string(), teams: v.array(v.string()), sentBeforeMs: v.number(), isTrial: v.boolean(), isCleared: v.boolean() })
const crashSchema = v.object({ process: v.string(), service: v.string(), softwareVersion: v.string(), ageMs: v.number(), candidates: v.array(candidateSchema) })
const crashNotice = definePeerNotice<{ crashes: readonly CrashNotice[] }>('crashes.crashed', v.object({ crashes: v.array(crashSchema) }))
const clearedNotice = definePeerNotice<{ cleared: readonly ClearedNotice[] }>('crashes.cleared', v.object({ cleared: v.array(v.object({ process: v.string(), suspects: v.array(v.string()) })) }))

const DEFAULT_CRASHES_TO_BLAME = 3
const DEFAULT_RETENTION_MS = 3_600_000
/**
 * Stored crashes count as no older than this part of the retention. Their age is told by wall clocks, which jump; one that jumped ahead
 * would make an instance forget what is blamed, and remove it from the store.
 */
const MAX_STORED_AGE_RATIO = 0.5
/** A crash may cut many requests; those after the first are told together, at most this often, milliseconds. */
const NOTICE_INTERVAL_MS = 5
/** Records in one message: some tens of kilobytes. */
const MAX_RECORDS_PER_NOTICE = 32
/** Bounds a log line. */
const MAX_LOGGED = 8
const CLEAR: Admission = { kind: 'clear' }

/** Returns the id of a server, without the start time of its process. */
const serverOf = (process: string): string => process.replace(/@\d+$/, '')

export function createCrashAttribution (options: CrashAttributionOptions): CrashAttribution {
  const { peers, clock, logger, crashesToBlame = DEFAULT_CRASHES_TO_BLAME, retentionMs = DEFAULT_RETENTION_MS, maxCrashes, isReplaced = () => false } = options
  const records = createCrashRecords({ clock, retentionMs, frequentFrom: crashesToBlame, maxCrashes })
  const grants = createTrialGrants({ peers, clock })
  const metrics = options.registry === undefined ? undefined : createCrashMetrics(options.registry)
  const listeners: Array<() => void> = []
  let blames: ReadonlyMap<Suspect, Blame> = new Map()
  let proven: ReadonlySet<Suspect> = new Set()

  const isNeeded = ({ candidates }: CrashRecord): boolean => [...candidates.keys()].some(suspect => blames.has(suspect))
  const logChanges = (next: ReadonlyMap<Suspect, Blame>): void => {
    next.forEach(({ suspect, crashes, teams }) => {
      if (blames.get(suspect)?.crashes.length === crashes.length) return
      logger.warn('suspect-blamed', { suspect, crashes: crashes.length, servers: crashes.slice(-MAX_LOGGED).map(({ process }) => serverOf(process)), teams: teams.size, reason: 'servers crashed before an answer with it began' })
    })
    blames.forEach((_blame, suspect) => { if (!next.has(suspect)) logger.info('suspect-freed', { suspect, reason: records.has(suspect) ? 'another one explains the crashes' : 'an answer with it has begun, or its crashes are long past' }) })
  }
  const update = (): void => {
    records.prune(isNeeded)
    const next = attribute(records.all(), records.frequent(), crashesToBlame)
    // Most crashes are due to nothing that requests hold.
    if (next.size === 0 && blames.size === 0) return
    logChanges(next)
    const isChanged = [...next.keys()].join() !== [...blames.keys()].join()
    const provenBefore = proven.size
    blames = next
    proven = new Set([...next.values()].filter(blame => isProven(blame, records.all())).map(({ suspect }) => suspect))
    metrics?.blamed.set(blames.size)
    crashStore?.sync([...blames.values()])
    if (isChanged || proven.size !== provenBefore) listeners.forEach(listener => listener())
  }
  const merge = (crashes: readonly CrashNotice[]): void => {
    const news = crashes.map(crash => records.merge(crash))
    if (news.includes(true)) update()
  }
  const crashStore = options.store === undefined
    ? undefined
    : createCrashStore({
      store: options.store,
      peers,
      onStored: crashes => merge(crashes.map(crash => ({ ...crash, ageMs: Math.min(crash.ageMs, retentionMs * MAX_STORED_AGE_RATIO) }))),
      onRemoved: suspect => { if (records.clear([suspect], () => true).length > 0) update() },
      clock,
      logger
    })
  peers.listen(crashNotice, ({ crashes }) => merge(crashes))
  peers.listen(clearedNotice, ({ cleared }) => { if (records.applyCleared(cleared)) update() })
  // An instance that has restarted knows nothing, and one that was cut off has missed some.
  peers.onConnected(({ id }) => {
    const notices = records.notices()
    for (let from = 0; from < notices.length; from += MAX_RECORDS_PER_NOTICE) peers.notify(id, crashNotice, { crashes: notices.slice(from, from + MAX_RECORDS_PER_NOTICE) })
  })

  let untold: CrashNotice[] = []
  let isCollecting = false
  const tellNow = (): void => {
    isCollecting = false
    const crashes = untold
    untold = []
    if (crashes.length === 0) return
    peers.notifyAll(crashNotice, { crashes })
    isCollecting = true
    clock.schedule(NOTICE_INTERVAL_MS, tellNow)
  }
  /** What leads to a refusal is told at once, since callers may already be back elsewhere; so is a trial's, before another is granted. */
  const tell = (crash: CrashNotice): void => {
    untold.push(crash)
    const isUrgent = !isCollecting || untold.length >= MAX_RECORDS_PER_NOTICE || crash.candidates.some(({ suspect, isTrial }) => isTrial || blames.has(suspect))
    if (isUrgent) tellNow()
  }
  const blamesIn = ({ suspects }: RequestSuspects): Blame[] => blames.size === 0 ? [] : suspects.flatMap(suspect => blames.get(suspect) ?? [])
  /** Frees what is blamed for crashes that are long past. */
  const expire = (): void => { if (blames.size > 0 && records.prune(isNeeded)) update() }
  const toAccusation = (accused: readonly Blame[]): Accusation => ({
    suspects: accused.map(({ suspect }) => suspect),
    servers: [...new Set(accused.flatMap(({ crashes }) => crashes.slice(-MAX_LOGGED).map(({ process }) => serverOf(process))))].slice(0, MAX_LOGGED)
  })
  const accusationOf = (req: RequestSuspects): Accusation | undefined => {
    const accused = blamesIn(req)
    return accused.length === 0 ? undefined : toAccusation(accused)
  }

  return {
    hasCrashed: options.hasCrashed,
    accusationOf,
    isProven: req => proven.size > 0 && req.suspects.some(suspect => proven.has(suspect)),
    admit: async (req, requestId) => {
      expire()
      const accused = blamesIn(req)
      if (accused.length === 0) return CLEAR
      const reason = chooseTrial(accused, req, { crashes: records.all(), isBlamed: suspect => blames.has(suspect), isReplaced, nowMs: clock.monotonic() })
      const refused: Admission = { kind: 'refused', accusation: toAccusation(accused) }
      if (reason === undefined) return refused
      const { suspects } = refused.accusation
      const isGranted = await grants.ask(req, suspects)
      metrics?.trials.inc({ outcome: isGranted ? 'granted' : 'refused' })
      if (isGranted) logger.info('suspect-trial', { request: requestId, suspect: suspects[0], tried: suspects.length, reason })
      return isGranted ? { kind: 'trial', suspects } : refused
    },
    recordCrash: ({ service, team, suspects }, { process, softwareVersion, sentMs, brokeMs, trial }) => {
      const crash: CrashNotice = {
        process,
        service,
        softwareVersion,
        ageMs: Math.round(clock.monotonic() - brokeMs),
        candidates: suspects.map(suspect => ({ suspect, teams: [team], sentBeforeMs: Math.round(brokeMs - sentMs), isTrial: trial.includes(suspect), isCleared: false }))
      }
      metrics?.crashes.inc()
      logger.warn('server-crashed', { server: serverOf(process), softwareVersion, suspects: suspects.slice(0, MAX_LOGGED), trial: trial.length > 0, reason: 'refuses connections since it cut a request whose answer had not begun' })
      merge([crash])
      tell(crash)
    },
    recordBegun: ({ suspects }, softwareVersion) => {
      const cleared = records.clear(suspects, record => record.softwareVersion === softwareVersion || isReplaced(record.service, record.softwareVersion))
      if (cleared.length === 0) return
      peers.notifyAll(clearedNotice, { cleared })
      update()
    },
    endTrial: grants.end,
    onBlamed: listener => { listeners.push(listener) },
    start: signal => { crashStore?.start(signal) }
  }
}
