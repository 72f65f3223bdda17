/**
 * Decides which suspects crashes are due to. A part or request that crashes servers never has an answer that begins, and is
 * in each crash that it caused; what only came with it is cleared by the first answer that begins. What has not been cleared
 * is told from the rest by the crashes that nothing else explains.
 */
import type { CrashRecord } from './crashRecords'
import type { Suspect } from './suspects'

/** Why requests with a suspect are refused. */
export interface Blame {
  suspect: Suspect
  service: string
  /** Other suspects that would explain some of the same crashes; none where it is the only explanation of one. */
  rivals: ReadonlySet<Suspect>
  /** The crashes, oldest first. */
  crashes: readonly CrashRecord[]
  /** Teams under whose requests servers crashed. */
  teams: ReadonlySet<string>
}

/** Tolerance for the time that messages take, milliseconds: a request may be sent in the moment in which a crash is told. */
const TIME_TOLERANCE_MS = 50

/**
 * Counts crashes that are independent of each other: those whose request was sent after the crash counted before. Servers of
 * a failure domain that lose power together cut requests that were all sent before, and count once.
 */
function countIndependent (suspect: Suspect, crashes: readonly CrashRecord[]): number {
  let lastMs = -Infinity
  return crashes.filter(({ atMs, candidates }) => {
    if (candidates.get(suspect)!.sentMs < lastMs - TIME_TOLERANCE_MS) return false
    lastMs = atMs
    return true
  }).length
}

type CrashesBySuspect = ReadonlyMap<Suspect, readonly CrashRecord[]>

function groupBySuspect (records: readonly CrashRecord[]): CrashesBySuspect {
  const groups = new Map<Suspect, CrashRecord[]>()
  records.forEach(record => record.candidates.forEach(({ isCleared }, suspect) => {
    if (isCleared) return
    const group = groups.get(suspect) ?? []
    groups.set(suspect, group)
    group.push(record)
  }))
  return groups
}

/** Returns the suspects with enough crashes, and how many each has. */
function countCrashes (records: readonly CrashRecord[], crashesToBlame: number): { counts: ReadonlyMap<Suspect, number>, groups: CrashesBySuspect } {
  const groups = groupBySuspect(records)
  const counts = new Map<Suspect, number>()
  groups.forEach((crashes, suspect) => {
    const count = crashes.length < crashesToBlame ? 0 : countIndependent(suspect, crashes)
    if (count >= crashesToBlame) counts.set(suspect, count)
  })
  return { counts, groups }
}

const isOpenIn = ({ candidates }: CrashRecord, suspect: Suspect): boolean => candidates.get(suspect)?.isCleared === false

function teamsIn (suspect: Suspect, crashes: readonly CrashRecord[]): ReadonlySet<string> {
  return new Set(crashes.flatMap(({ candidates }) => [...candidates.get(suspect)!.teams]))
}

/**
 * Takes one suspect after the other, the one with most crashes first, that alone explains some crash; what else was in its
 * crashes is not blamed for them. Of those that are left, none can be told from its rivals, and all are blamed.
 */
export function attribute (unordered: readonly CrashRecord[], crashesToBlame: number): ReadonlyMap<Suspect, Blame> {
  const blamed = new Map<Suspect, Blame>()
  const blame = (suspect: Suspect, crashes: readonly CrashRecord[], rivals: ReadonlySet<Suspect>): void => {
    blamed.set(suspect, { suspect, service: crashes[0]!.service, rivals, crashes, teams: teamsIn(suspect, crashes) })
  }
  let records = [...unordered].sort((left, right) => left.atMs - right.atMs)
  for (;;) {
    const { counts, groups } = countCrashes(records, crashesToBlame)
    if (counts.size === 0) return blamed
    const soleIn = records.flatMap(record => {
      const open = [...counts.keys()].filter(suspect => isOpenIn(record, suspect))
      return open.length === 1 ? open : []
    })
    const [culprit] = [...new Set(soleIn)].sort((left, right) => counts.get(right)! - counts.get(left)!)
    if (culprit === undefined) {
      counts.forEach((_count, suspect) => {
        const crashes = groups.get(suspect)!
        const rivals = [...counts.keys()].filter(other => other !== suspect && crashes.some(record => isOpenIn(record, other)))
        blame(suspect, crashes, new Set(rivals))
      })
      return blamed
    }
    blame(culprit, groups.get(culprit)!, new Set())
    records = records.filter(record => !isOpenIn(record, culprit))
  }
}
