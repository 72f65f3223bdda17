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

/** Delay after a trial that failed beside other suspects of earlier crashes, milliseconds. */
const INCONCLUSIVE_DELAY_MS = 5000
/** Delay after a conclusive trial, which grows by this factor with each further one, up to the longest, milliseconds. */
const REPEAT_DELAY_MS = 120_000
const REPEAT_DELAY_FACTOR = 5
const MAX_REPEAT_DELAY_MS = 1_800_000
/** Teams under whose requests servers crashed; from this number on, the suspect is refused to all. */
const TEAMS_TO_BLAME_FOR_ALL = 2
/** Trials that may fail with an unclear result before they are as rare as those after a clear one. */
const MAX_INCONCLUSIVE_TRIALS = 2

export interface TrialPolicyOptions {
  /** Whether a server of the service has this software version; a suspect may be sound with software that has not crashed on it. */
  isVersionListed: (service: string, softwareVersion: string) => boolean
}

const trialsOf = ({ suspect, crashes }: Blame): CrashRecord[] => crashes.filter(({ candidates }) => candidates.get(suspect)!.isTrial)

/** Whether nothing else in a crash was in another one. */
function isConclusive (suspect: Suspect, crash: CrashRecord, all: readonly CrashRecord[]): boolean {
  const others = [...crash.candidates].filter(([other, { isCleared }]) => other !== suspect && !isCleared)
  return others.every(([other]) => all.every(record => record === crash || record.candidates.get(other)?.isCleared !== false))
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

/** Returns the time between the last crash and the next trial. */
function delayMsOf (blame: Blame, all: readonly CrashRecord[]): number {
  const trials = trialsOf(blame).length
  const isKnown = isProven(blame, all)
  if (trials === 0 && !isKnown) return 0
  const repeats = isKnown ? Math.max(0, trials - 1) : trials - MAX_INCONCLUSIVE_TRIALS
  return repeats < 0 ? INCONCLUSIVE_DELAY_MS : Math.min(REPEAT_DELAY_MS * REPEAT_DELAY_FACTOR ** repeats, MAX_REPEAT_DELAY_MS)
}

/** Whether the request tells the suspect from those that would explain the same crashes. */
function tellsApart (blame: Blame, blames: readonly Blame[], { suspects }: RequestSuspects): boolean {
  return blames.length === 1 || [...blame.rivals].some(rival => !suspects.includes(rival))
}

/**
 * Returns why the request may be tried as far as one of its suspects is concerned; undefined if it may not. `other-team`: servers
 * have crashed only under another team's requests, which must not keep this team from being served. `new-software`: no server has
 * the software any more that crashed.
 */
function trialReasonOf (blame: Blame, blames: readonly Blame[], req: RequestSuspects, all: readonly CrashRecord[], nowMs: number, { isVersionListed }: TrialPolicyOptions): TrialReason | undefined {
  if (!blame.teams.has(req.team) && blame.teams.size < TEAMS_TO_BLAME_FOR_ALL) return 'other-team'
  if (blame.crashes.every(crash => !isVersionListed(crash.service, crash.softwareVersion))) return 'new-software'
  const sinceMs = nowMs - blame.crashes.at(-1)!.atMs
  if (!tellsApart(blame, blames, req)) return sinceMs >= REPEAT_DELAY_MS ? 'repeat' : undefined
  const delayMs = delayMsOf(blame, all)
  if (sinceMs < delayMs) return undefined
  return delayMs === 0 ? 'first' : 'repeat'
}

/** Returns why a request with these blamed suspects may be let through; undefined if it is refused. */
export function chooseTrial (blames: readonly Blame[], req: RequestSuspects, all: readonly CrashRecord[], nowMs: number, options: TrialPolicyOptions): TrialReason | undefined {
  const reasons = blames.map(blame => trialReasonOf(blame, blames, req, all, nowMs, options))
  return reasons.includes(undefined) ? undefined : reasons[0]
}
