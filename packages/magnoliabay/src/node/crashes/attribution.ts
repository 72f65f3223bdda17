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

const NOTHING: ReadonlyMap<Suspect, Blame> = new Map()

const isOpenIn = ({ candidates }: CrashRecord, suspect: Suspect): boolean => candidates.get(suspect)?.isCleared === false

/** Returns the suspect that alone explains some crash, of several the one with most crashes. */
function findCulprit (suspects: readonly Suspect[], crashes: readonly CrashRecord[], counts: ReadonlyMap<Suspect, number>): Suspect | undefined {
  const explainingAlone = crashes.flatMap(crash => {
    const open = suspects.filter(suspect => isOpenIn(crash, suspect))
    return open.length === 1 ? open : []
  })
  return [...new Set(explainingAlone)].sort((left, right) => counts.get(right)! - counts.get(left)!)[0]
}

/**
 * Takes one suspect after the other that alone explains some crash. What is left without a crash of its own only came with
 * these, and is not blamed; what is left with some cannot be told from each other, and all of it is. `frequent`: suspects to which
 * enough crashes may be due.
 */
export function attribute (unordered: readonly CrashRecord[], frequent: readonly Suspect[], crashesToBlame: number): ReadonlyMap<Suspect, Blame> {
  if (frequent.length === 0) return NOTHING
  const crashes = [...unordered].sort((left, right) => left.atMs - right.atMs)
  const groups = new Map(frequent.map(suspect => [suspect, crashes.filter(crash => isOpenIn(crash, suspect))]))
  const counts = new Map([...groups].map(([suspect, group]) => [suspect, countIndependent(suspect, group)]))
  const toBlame = (suspect: Suspect): Blame => {
    const group = groups.get(suspect)!
    return { suspect, service: group[0]!.service, crashes: group, teams: new Set(group.flatMap(({ candidates }) => [...candidates.get(suspect)!.teams])) }
  }
  const blamed: Suspect[] = []
  let suspects = [...counts].filter(([, count]) => count >= crashesToBlame).map(([suspect]) => suspect)
  let unexplained: readonly CrashRecord[] = crashes
  for (;;) {
    const culprit = findCulprit(suspects, unexplained, counts)
    if (culprit === undefined) break
    blamed.push(culprit)
    unexplained = unexplained.filter(crash => !isOpenIn(crash, culprit))
    suspects = suspects.filter(suspect => suspect !== culprit && unexplained.some(crash => isOpenIn(crash, suspect)))
  }
  return new Map([...blamed, ...suspects].map(suspect => [suspect, toBlame(suspect)]))
}
