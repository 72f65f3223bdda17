/** Judges what callers saw while all instances were killed and started again. */
import type { StreamCall, StreamTry } from '@magnoliabay/standins'
import type { GuaranteeResult } from './guarantees'
import { MIN_CONTINUED_RATIO, MIN_RESUMED, judgeEvents } from './streamVersions'

/** Times are Unix milliseconds. */
export interface InstanceLife {
  index: number
  address: string
  startMs: number
}

/** The store or the clock of these instances is in trouble. */
export interface Disruption {
  instances: readonly number[]
  fromMs: number
  toMs: number
}

/** An engine of the version is listed and serves. */
export interface ServingTime {
  version: string
  fromMs: number
  toMs: number
}

export interface RestartRecords {
  calls: readonly StreamCall[]
  lives: readonly InstanceLife[]
  disruptions: readonly Disruption[]
  serving: readonly ServingTime[]
  /** Since the first stream began. */
  firstKillMs: number
}

/** Values of the platform's rules. */
const CONTACT_TIMEOUT_MS = 3000
const MIN_SERVERS = 2
/** A server that is listed reaches all instances within this time; one that serves for less after a try does not count. */
const LIST_LAG_MS = 2000

interface RestartFigures {
  broken: readonly StreamCall[]
  /** Streams that were resumed at an instance in touch while servers of their version served. */
  owed: readonly StreamCall[]
  /** The same at any instance without trouble of its store or clock, also one that has just started. */
  undisturbed: readonly StreamCall[]
  /** Streams whose first try came to an instance in touch. */
  fresh: readonly StreamCall[]
  /** Streams that were sent after the first kill. */
  late: readonly StreamCall[]
}

const hasBegun = ({ eventIds }: StreamCall): boolean => eventIds.length > 0
/** Tries after the one that brought the first event. */
const resumptionsOf = ({ tries }: StreamCall): readonly StreamTry[] => {
  const first = tries.findIndex(({ status, text }) => status === 200 && text.includes('id: '))
  return first < 0 ? [] : tries.slice(first + 1)
}

function computeFigures ({ calls, lives, disruptions, serving, firstKillMs }: RestartRecords): RestartFigures {
  const lifeOf = ({ address }: StreamTry): InstanceLife | undefined => lives.find(each => each.address === address)
  const isUndisturbed = (each: StreamTry): boolean =>
    !disruptions.some(({ instances, fromMs, toMs }) => instances.includes(lifeOf(each)?.index ?? 0) && fromMs <= each.sentMs && each.sentMs - toMs < CONTACT_TIMEOUT_MS)
  const isInTouch = (each: StreamTry): boolean => isUndisturbed(each) && each.sentMs - (lifeOf(each)?.startMs ?? 0) >= CONTACT_TIMEOUT_MS
  const isServed = (version: string | undefined, { sentMs }: StreamTry): boolean =>
    serving.filter(time => time.version === version && time.fromMs <= sentMs - LIST_LAG_MS && time.toMs >= sentMs + LIST_LAG_MS).length >= MIN_SERVERS
  const isTakenUp = (call: StreamCall, isCounted: (each: StreamTry) => boolean): boolean => {
    const [version] = call.softwareVersions
    return resumptionsOf(call).some(each => isCounted(each) && isServed(version, each))
  }
  const broken = calls.filter(call => call.isResumed)
  const beganMs = Math.min(...calls.map(({ tries }) => tries[0]!.sentMs))
  return {
    broken,
    owed: broken.filter(call => isTakenUp(call, isInTouch)),
    undisturbed: broken.filter(call => isTakenUp(call, isUndisturbed)),
    fresh: calls.filter(({ tries }) => isInTouch(tries[0]!)),
    late: calls.filter(({ tries }) => tries[0]!.sentMs - beganMs > firstKillMs)
  }
}

function countReasons (calls: readonly StreamCall[]): string {
  const counts = new Map<string, number>()
  calls.forEach(({ refusal }) => {
    const reason = /"error":"([^"]+)"/.exec(refusal)?.[1] ?? (refusal.slice(0, 40) || 'no answer')
    counts.set(reason, (counts.get(reason) ?? 0) + 1)
  })
  return [...counts].map(([reason, count]) => `${reason} ${count}`).join(', ') || 'none'
}

/** Returns the figures of a run in a line. */
export function formatFigures (records: RestartRecords): string {
  const { broken, owed, late } = computeFigures(records)
  const wentOn = (calls: readonly StreamCall[]): number => calls.filter(({ hasContinued }) => hasContinued).length
  const joined = records.calls.filter(({ softwareVersions }) => softwareVersions.size > 1)
  return `${records.calls.length} streams, ${broken.length} broken off and resumed, ${wentOn(broken)} went on, ` +
    `refused: ${countReasons(broken.filter(({ hasContinued }) => !hasContinued))}; ${joined.length} joined; owed ${owed.length}, of which ${wentOn(owed)} went on; ` +
    `sent after the first kill ${late.length}, of which ${late.filter(hasBegun).length} began, refused: ${countReasons(late.filter(call => !hasBegun(call)))}`
}

/** A violation where fewer of the resumed streams went on than half of the share of new streams that began. */
function judgeResumed (resumed: readonly StreamCall[], beganRatio: number): string[] {
  const wentOn = resumed.filter(({ hasContinued }) => hasContinued).length
  const isLost = resumed.length >= MIN_RESUMED && wentOn / resumed.length < MIN_CONTINUED_RATIO * beganRatio
  return isLost ? [`${wentOn} of ${resumed.length} went on, ${(beganRatio * 100).toFixed(0)} of 100 new ones began`] : []
}

export function judgeRestart (records: RestartRecords): GuaranteeResult[] {
  const { owed, undisturbed, fresh, late } = computeFigures(records)
  const describe = ({ firstAttemptId, statuses, softwareVersions, refusal }: StreamCall): string => `the stream of ${firstAttemptId} at ${[...softwareVersions].join(' and ')} over ${statuses.join(', ')}: ${refusal}`
  const beganRatioOf = (calls: readonly StreamCall[]): number => calls.filter(hasBegun).length / Math.max(calls.length, 1)
  const onlyVersion = new Set(records.serving.map(({ version }) => version)).size === 1 ? undisturbed : []
  return [
    ...judgeEvents(records.calls, 0),
    { promise: 'streams resumed go on', checked: owed.length, violations: judgeResumed(owed, beganRatioOf(fresh)), isSafety: false },
    { promise: 'streams resumed at instances that have just started go on', checked: undisturbed.length, violations: judgeResumed(undisturbed, beganRatioOf(late)), isSafety: false },
    { promise: 'with one version all go on', checked: onlyVersion.length, violations: onlyVersion.filter(({ hasContinued }) => !hasContinued).map(describe), isSafety: false }
  ]
}
