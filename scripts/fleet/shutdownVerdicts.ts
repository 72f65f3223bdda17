/** Judges what callers and servers saw while instances shut down. */
import type { SlowRun } from '@magnoliabay/standins'
import type { GuaranteeResult } from './guarantees'
import type { CallKind, Life, ShutdownCall } from './shutdownCallers'

export const GRACE_MS = 8000
/** Statuses that promise that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** A connection that closes so soon after the last byte may have closed before the request was read. */
const UNREAD_MS = 200
/** A stream at whose server work goes on is cut no earlier than this before the end of the process. */
const CUT_BEFORE_EXIT_MS = GRACE_MS / 6
/** Time since SIGTERM at which a request that no server had is refused, but for the slack. */
const LAST_REFUSAL_MS: Readonly<Record<CallKind, number>> = { read: 5800, write: 5800, tell: 2400, follow: 2400, rare: 2400 }
const SLACK_MS = 300
/** Longest time until an instance knows that it reaches no server; requests that are whole later than this before are left out. */
const DIAL_MS = 1400
const RUNS_ONCE: ReadonlySet<CallKind> = new Set<CallKind>(['write', 'tell'])

export function judgeShutdowns (calls: readonly ShutdownCall[], runs: readonly SlowRun[], lives: readonly Life[], timeoutMs: number): GuaranteeResult[] {
  const runsById = new Map<string, SlowRun[]>()
  runs.forEach(run => runsById.set(run.attemptId, [...runsById.get(run.attemptId) ?? [], run]))
  const runsOf = ({ attemptId }: ShutdownCall): readonly SlowRun[] => runsById.get(attemptId) ?? []
  const begunOf = (call: ShutdownCall): readonly SlowRun[] => runsOf(call).filter(({ begunMs }) => begunMs !== undefined)
  const wasCut = ({ life, sentMs, endedMs }: ShutdownCall): boolean => life.cuts.some(({ fromMs, toMs }) => fromMs <= endedMs && toMs >= sentMs)
  const describe = (call: ShutdownCall): string => {
    const { attemptId, kind, life, sentMs, status, isComplete, body } = call
    const since = (ms: number | undefined): string => ms === undefined ? '-' : String(ms - sentMs)
    const servers = runsOf(call).map(run => `[${run.server} arrived ${since(run.arrivedMs)} begun ${since(run.begunMs)} due ${since(run.dueMs)} ended ${since(run.endedMs)}${run.isBrokenOff ? ' broken off' : ''}]`)
    return `${attemptId} ${kind} at ${life.name}${wasCut(call) ? ' (links cut)' : ''}: ${status ?? 'no answer'}, ${isComplete ? 'whole' : 'cut'}, ${body.length} bytes ${body.slice(0, 40).split('\n')[0]}; sent ${sentMs}, ms later: whole ${since(call.wholeMs)} ended ${since(call.endedMs)} SIGTERM ${since(life.termMs)} exit ${since(life.exitMs)} servers ${servers.join('')}`
  }
  const judge = (promise: string, checked: readonly ShutdownCall[], isSafety: boolean, isViolation: (call: ShutdownCall) => boolean): GuaranteeResult =>
    ({ promise, checked: checked.length, violations: checked.filter(isViolation).map(describe), isSafety })

  const isLost = (call: ShutdownCall): boolean => {
    const { life, status, sentMs, endedMs, wholeMs, body } = call
    if (status !== undefined && call.isComplete) return false
    const isKilled = endedMs >= (life.killedMs ?? Infinity)
    const isUnread = runsOf(call).length === 0 && endedMs - wholeMs! < UNREAD_MS
    const isWorkGoingOn = begunOf(call).some(run => (run.endedMs ?? Infinity) > endedMs)
    // Its own process, or one through which its connections may have gone.
    const isProcessEnding = (wasCut(call) ? lives : [life]).some(({ exitMs = Infinity }) => exitMs - endedMs < CUT_BEFORE_EXIT_MS && exitMs >= endedMs - SLACK_MS)
    const hasTimedOut = endedMs - sentMs >= timeoutMs
    const isStreamCut = body.startsWith('id: ') && isWorkGoingOn && (isProcessEnding || hasTimedOut)
    return !isKilled && !isUnread && !isStreamCut && !runsOf(call).some(run => run.isBrokenOff)
  }
  const refused = calls.filter(({ status }) => PROMISES.has(status ?? 0))
  const lastRefusalMs = ({ kind, life: { termMs = Infinity } }: ShutdownCall): number => termMs + LAST_REFUSAL_MS[kind]
  const handedBack = refused.filter(call => call.endedMs >= (call.life.termMs ?? Infinity) && call.wholeMs! < lastRefusalMs(call) - DIAL_MS && runsOf(call).every(({ arrivedMs }) => arrivedMs >= call.life.termMs!))
  const isUndisturbed = (call: ShutdownCall): boolean =>
    !wasCut(call) && !(call.life.termMs! < call.sentMs) && call.life.signalsMs.every(ms => ms < call.sentMs || ms > call.endedMs)
  /** Reads for which a sound server is at work, and will be done in time. */
  const soundReads = calls.filter(call => call.kind === 'read' && isUndisturbed(call) &&
    runsOf(call).some(run => !run.isBrokenOff && (run.dueMs ?? Infinity) < call.sentMs + timeoutMs - SLACK_MS))
  const ended = lives.filter(({ termMs }) => termMs !== undefined)
  const late = ended.filter(({ termMs, exitMs }) => exitMs! - termMs! > GRACE_MS)
  return [
    judge('LOST: a whole request is answered or refused', calls.filter(({ wholeMs }) => wholeMs !== undefined), true, isLost),
    judge('REFUSED: what is refused has not run', refused, true, call => begunOf(call).length > 0),
    judge('TWICE: what may run once runs once', calls.filter(({ kind }) => RUNS_ONCE.has(kind)), true, call => begunOf(call).length > 1),
    { promise: 'SIGTERM ends a process in time', checked: ended.length, violations: late.map(({ name, termMs, exitMs }) => `${name} ended ${exitMs! - termMs!} ms after SIGTERM`), isSafety: false },
    judge('what no server had is refused early', handedBack, false, call => call.endedMs > lastRefusalMs(call) + SLACK_MS),
    judge('silence ends no sound read', soundReads, false, ({ status, isComplete }) => status !== 200 || !isComplete)
  ]
}
