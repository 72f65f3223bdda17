/**
 * Decides whether a request with blamed suspects may be let through as a trial. A suspect that is blamed wrongly has to be
 * freed by an answer that begins, and each trial of one that is blamed rightly costs a server.
 */
import type { Blame } from './attribution'
import type { CrashRecord } from './crashRecords'
import { isRequest } from './suspects'
import type { RequestSuspects, Suspect } from './suspects'

/** Why a request is let through. `first`: nobody has tried the suspect alone. `repeat`: after a while. The others: see {@link trialReasonOf}. */
export type TrialReason = 'first' | 'repeat' | 'other-team' | 'new-software'

/** Delay after a trial that failed beside other suspects of earlier crashes; it doubles with each further one, milliseconds. */
const INCONCLUSIVE_DELAY_MS = 1500
/** Delay after a conclusive trial, which grows by this factor with each further one, up to the longest, milliseconds. */
const REPEAT_DELAY_MS = 120_000
const REPEAT_DELAY_FACTOR = 5
const MAX_REPEAT_DELAY_MS = 1_800_000
/** Teams under whose requests servers crashed; from this number on, the suspect is refused to all. */
const TEAMS_TO_BLAME_FOR_ALL = 2
/** Trials that may fail with an unclear result before they are as rare as those after a clear one. */
const MAX_INCONCLUSIVE_TRIALS = 5

/** What an instance knows. */
export interface CrashView {
  crashes: readonly CrashRecord[]
  isBlamed: (suspect: Suspect) => boolean
  /** Whether servers of the service have other software versions, and none this one: a suspect may be sound with these. */
  isReplaced: (service: string, softwareVersion: string) => boolean
  /** Monotonic milliseconds. */
  nowMs: number
}

const trialsOf = ({ suspect, crashes }: Blame): CrashRecord[] => crashes.filter(({ candidates }) => candidates.get(suspect)!.isTrial)
const openIn = ({ candidates }: CrashRecord): Suspect[] => [...candidates].filter(([, { isCleared }]) => !isCleared).map(([suspect]) => suspect)

/** Whether nothing else explains a crash: all other parts are known to be sound, and its requests were in no other crash. */
function isConclusive (suspect: Suspect, crash: CrashRecord, all: readonly CrashRecord[]): boolean {
  const isRepeated = (other: Suspect): boolean => all.some(record => record !== crash && record.candidates.get(other)?.isCleared === false)
  return openIn(crash).every(other => other === suspect || (isRequest(other) && !isRepeated(other)))
}

/**
 * Whether it takes no trial to know that servers crash on the suspect: a trial has shown it, or each crash of a request that was
 * sent again. A part is shared with requests that have not crashed anything, so that it takes a trial.
 */
export function isProven (blame: Blame, all: readonly CrashRecord[]): boolean {
  const { suspect, crashes } = blame
  if (isRequest(suspect)) return crashes.every(crash => isConclusive(suspect, crash, all))
  return trialsOf(blame).some(crash => isConclusive(suspect, crash, all))
}

/** Returns the trials that count for the next one: for a request that holds no other open suspect, those that tried no other part. */
function relevantTrials (blame: Blame, isAlone: boolean): CrashRecord[] {
  const isTriedWithOthers = ({ candidates }: CrashRecord): boolean => [...candidates].some(([other, { isTrial, isCleared }]) => other !== blame.suspect && isTrial && !isCleared && !isRequest(other))
  return trialsOf(blame).filter(crash => !isAlone || !isTriedWithOthers(crash))
}

/** Returns the time between the last crash and the next trial. */
function delayMsOf (blame: Blame, isAlone: boolean, all: readonly CrashRecord[]): number {
  const trials = relevantTrials(blame, isAlone).length
  const isKnown = isProven(blame, all)
  if (trials === 0 && !isKnown) return 0
  const repeats = isKnown ? Math.max(0, trials - 1) : trials - MAX_INCONCLUSIVE_TRIALS
  return repeats < 0 ? INCONCLUSIVE_DELAY_MS * 2 ** (trials - 1) : Math.min(REPEAT_DELAY_MS * REPEAT_DELAY_FACTOR ** repeats, MAX_REPEAT_DELAY_MS)
}

/** How a request with blamed suspects would be tried. */
interface TrialPlan {
  /** Whether it holds nothing else that may be to blame. */
  isAlone: boolean
  /** Whether the result would say something: it is alone, or something that it does not hold explains each crash. */
  isTelling: boolean
}

function planTrial (blames: readonly Blame[], { suspects }: RequestSuspects, { crashes, isBlamed }: CrashView): TrialPlan {
  const open = suspects.filter(suspect => crashes.some(crash => crash.candidates.get(suspect)?.isCleared === false))
  // Each crash has requests of its own; one of them is an explanation only if it was in enough others.
  const isExplained = (crash: CrashRecord): boolean => openIn(crash).some(other => !suspects.includes(other) && (!isRequest(other) || isBlamed(other)))
  const isAlone = open.length === 1
  return { isAlone, isTelling: isAlone || blames.every(blame => blame.crashes.every(isExplained)) }
}

/**
 * Returns why the request may be tried as far as one of its suspects is concerned; undefined if it may not. `other-team`: servers
 * have crashed only under another team's requests, which must not keep this team from being served. `new-software`: no server has
 * the software any more that crashed.
 */
function trialReasonOf (blame: Blame, { isAlone, isTelling }: TrialPlan, { team }: RequestSuspects, { crashes, nowMs, isReplaced }: CrashView): TrialReason | undefined {
  if (!blame.teams.has(team) && blame.teams.size < TEAMS_TO_BLAME_FOR_ALL) return 'other-team'
  if (blame.crashes.every(crash => isReplaced(crash.service, crash.softwareVersion))) return 'new-software'
  const sinceMs = nowMs - blame.crashes.at(-1)!.atMs
  if (!isTelling) return sinceMs >= REPEAT_DELAY_MS ? 'repeat' : undefined
  const delayMs = delayMsOf(blame, isAlone, crashes)
  if (sinceMs < delayMs) return undefined
  return delayMs === 0 ? 'first' : 'repeat'
}

/** Returns why a request with these blamed suspects may be let through; undefined if it is refused. */
export function chooseTrial (blames: readonly Blame[], req: RequestSuspects, view: CrashView): TrialReason | undefined {
  const plan = planTrial(blames, req, view)
  const reasons = blames.map(blame => trialReasonOf(blame, plan, req, view))
  return reasons.includes(undefined) ? undefined : reasons[0]
}
