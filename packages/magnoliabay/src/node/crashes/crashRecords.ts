/**
 * Keeps which suspects each crash of a server may be due to: what the requests held that it cut before their answers began.
 * All instances merge what each of them has seen, in any order and any number of times, so that a crash that ten instances
 * tell is one.
 */
import type { Clock } from '../clock'
import type { Suspect } from './suspects'

/** A suspect of one crash, as instances send it to each other. */
export interface CandidateNotice {
  suspect: Suspect
  /** Teams whose requests held it. */
  teams: readonly string[]
  /** Time from the sending of the latest of these requests to the crash, milliseconds. */
  sentBeforeMs: number
  /** Whether it was a request that was let through to try the suspect. */
  isTrial: boolean
  /** Whether an answer with the suspect has begun since the crash. */
  isCleared: boolean
}

/** One crash, as instances send it to each other. */
export interface CrashNotice {
  /** The server process that crashed. */
  process: string
  service: string
  softwareVersion: string
  /** Time since the crash, milliseconds. */
  ageMs: number
  candidates: readonly CandidateNotice[]
}

export interface Candidate {
  teams: ReadonlySet<string>
  /** When the latest request with it that the crash cut was sent, monotonic milliseconds. */
  sentMs: number
  isTrial: boolean
  isCleared: boolean
}

export interface CrashRecord {
  process: string
  service: string
  softwareVersion: string
  /** Monotonic milliseconds. */
  atMs: number
  candidates: Map<Suspect, Candidate>
}

/** Suspects that an answer has cleared, by crash. */
export interface ClearedNotice {
  process: string
  suspects: readonly Suspect[]
}

export interface CrashRecords {
  /** Returns whether anything was new. */
  merge (notice: CrashNotice): boolean
  /** Clears the suspects of the crashes for which `isCleared` holds; returns what was not clear before. */
  clear (suspects: readonly Suspect[], isCleared: (record: CrashRecord) => boolean): ClearedNotice[]
  /** Applies what an answer at another instance has cleared; returns whether anything was new. */
  applyCleared (cleared: readonly ClearedNotice[]): boolean
  /** Whether a crash that is kept may be due to the suspect. */
  has (suspect: Suspect): boolean
  /** Suspects to which enough crashes may be due. */
  frequent (): readonly Suspect[]
  all (): readonly CrashRecord[]
  notices (): CrashNotice[]
  /** Drops records that are too old, and the oldest beyond the limit, those that are needed last; returns whether there were any. */
  prune (isNeeded: (record: CrashRecord) => boolean): boolean
}

export interface CrashRecordsOptions {
  clock: Clock
  /** Time for which a crash is kept, milliseconds. */
  retentionMs: number
  /** Number of crashes from which a suspect is frequent. */
  frequentFrom: number
  /** @default 256 */
  maxCrashes?: number
}

const DEFAULT_MAX_CRASHES = 256
/** Bounds what a crash of a server with a long queue takes; what is told first is kept. */
const MAX_CANDIDATES = 128

const unionOf = <T>(one: ReadonlySet<T>, other: readonly T[]): ReadonlySet<T> => other.every(each => one.has(each)) ? one : new Set([...one, ...other])

export function createCrashRecords ({ clock, retentionMs, frequentFrom, maxCrashes = DEFAULT_MAX_CRASHES }: CrashRecordsOptions): CrashRecords {
  const records = new Map<string, CrashRecord>()
  /** Number of records in which each suspect is not cleared. */
  const openCounts = new Map<Suspect, number>()
  /** Kept as counts change, since a failure domain that loses power leaves thousands of suspects, most of them in one crash. */
  const frequent = new Set<Suspect>()

  const countOpen = (suspect: Suspect, change: number): void => {
    const next = (openCounts.get(suspect) ?? 0) + change
    if (next > 0) openCounts.set(suspect, next)
    else openCounts.delete(suspect)
    if (next >= frequentFrom) frequent.add(suspect)
    else frequent.delete(suspect)
  }
  const setCandidate = (record: CrashRecord, suspect: Suspect, next: Candidate): void => {
    const before = record.candidates.get(suspect)
    const isOpenBefore = before !== undefined && !before.isCleared
    record.candidates.set(suspect, next)
    countOpen(suspect, Number(!next.isCleared) - Number(isOpenBefore))
  }
  const recordOf = ({ process, service, softwareVersion, ageMs }: CrashNotice): CrashRecord => {
    const atMs = clock.monotonic() - ageMs
    const record = records.get(process) ?? { process, service, softwareVersion, atMs, candidates: new Map<Suspect, Candidate>() }
    records.set(process, record)
    return record
  }
  const mergeCandidate = (record: CrashRecord, sentMs: number, { suspect, teams, isTrial, isCleared }: CandidateNotice): boolean => {
    const known = record.candidates.get(suspect)
    if (known === undefined) {
      if (record.candidates.size >= MAX_CANDIDATES) return false
      setCandidate(record, suspect, { teams: new Set(teams), sentMs, isTrial, isCleared })
      return true
    }
    const next: Candidate = { teams: unionOf(known.teams, teams), sentMs: Math.max(known.sentMs, sentMs), isTrial: known.isTrial || isTrial, isCleared: known.isCleared || isCleared }
    const isNew = next.teams !== known.teams || next.sentMs > known.sentMs || next.isTrial !== known.isTrial || next.isCleared !== known.isCleared
    if (isNew) setCandidate(record, suspect, next)
    return isNew
  }
  const clearCandidates = (record: CrashRecord, suspects: readonly Suspect[]): Suspect[] => {
    const open = suspects.filter(suspect => record.candidates.get(suspect)?.isCleared === false)
    open.forEach(suspect => setCandidate(record, suspect, { ...record.candidates.get(suspect)!, isCleared: true }))
    return open
  }
  const drop = (record: CrashRecord): void => {
    record.candidates.forEach(({ isCleared }, suspect) => { if (!isCleared) countOpen(suspect, -1) })
    records.delete(record.process)
  }
  const toNotice = ({ process, service, softwareVersion, atMs, candidates }: CrashRecord): CrashNotice => ({
    process,
    service,
    softwareVersion,
    ageMs: Math.round(clock.monotonic() - atMs),
    candidates: [...candidates].map(([suspect, { teams, sentMs, isTrial, isCleared }]) => ({ suspect, teams: [...teams], sentBeforeMs: Math.round(atMs - sentMs), isTrial, isCleared }))
  })

  return {
    merge: notice => {
      if (notice.ageMs > retentionMs) return false
      const isKnown = records.has(notice.process)
      const record = recordOf(notice)
      const atMs = clock.monotonic() - notice.ageMs
      const news = notice.candidates.map(candidate => mergeCandidate(record, atMs - candidate.sentBeforeMs, candidate))
      record.atMs = Math.min(record.atMs, atMs)
      return !isKnown || news.includes(true)
    },
    clear: (suspects, isCleared) => {
      const open = suspects.filter(suspect => openCounts.has(suspect))
      if (open.length === 0) return []
      return [...records.values()]
        .filter(isCleared)
        .map(record => ({ process: record.process, suspects: clearCandidates(record, open) }))
        .filter(cleared => cleared.suspects.length > 0)
    },
    applyCleared: cleared => {
      const applied = cleared.map(({ process, suspects }) => records.has(process) ? clearCandidates(records.get(process)!, suspects) : [])
      return applied.some(suspects => suspects.length > 0)
    },
    has: suspect => openCounts.has(suspect),
    frequent: () => [...frequent],
    all: () => [...records.values()],
    notices: () => [...records.values()].map(toNotice),
    prune: isNeeded => {
      const now = clock.monotonic()
      const expired = [...records.values()].filter(({ atMs }) => now - atMs > retentionMs)
      expired.forEach(drop)
      const excess = records.size - maxCrashes
      if (excess <= 0) return expired.length > 0
      const kept = [...records.values()]
      const dropped = [...kept.filter(record => !isNeeded(record)), ...kept.filter(isNeeded)].slice(0, excess)
      dropped.forEach(drop)
      return true
    }
  }
}
