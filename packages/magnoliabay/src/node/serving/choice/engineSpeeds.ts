/**
 * Keeps the speeds of engines: what this instance observes in the streams that it relays, and what all instances together have
 * observed, as the leader's summary states it. A speed is the time that an engine takes relative to the mean of all engines.
 */
import type { Clock } from '../../clock'
import { createDecayingMean } from './decayingMean'
import type { DecayingMean } from './decayingMean'
import { createModelGaps } from './modelGaps'

/** Observations of this instance since its last report. */
export interface SpeedSample {
  server: string
  /** Sum of the logarithms of the ratios, in hundredths. */
  logSum: number
  /** Number of ratios; each counts as much as it says about the engine rather than its model. */
  count: number
}

export interface EngineSpeeds {
  /** Records the gap between two events of a stream; `fill` is the number of requests at the server for each slot. */
  recordGap (server: string, model: string, ms: number, fill?: number): void
  /** Records the time to the first event of a request that did not have to queue. */
  recordFirstEvent (server: string, ms: number, promptTokens: number): void
  /** Records the end of a stream: the time for which it occupied a slot, and the longest gap between its events. */
  recordRun (server: string, model: string, ms: number, longestGapMs: number, fill: number): void
  /** The speed now, including a slowdown that this instance observes. */
  speedOf (server: string): number
  /** The speed over some seconds. */
  usualSpeedOf (server: string): number
  /** Predicts the time to the first event at an engine of mean speed with a free slot, milliseconds. */
  firstEventMs (promptTokens: number): number
  /** Time for which a request occupies a slot at an engine of mean speed, milliseconds. */
  runMs (): number
  /** Predicts the longest gap between events of a stream at the server, milliseconds; 0 while nothing is known. */
  longestGapMs (server: string, model: string, fill: number): number
  /** Returns the observations since the last call, and discards them. */
  takeSamples (): SpeedSample[]
  /** Sets the speeds that all instances have observed; they count for `validMs`. */
  setShared (speeds: ReadonlyMap<string, number>, validMs: number): void
  shared (): ReadonlyMap<string, number>
  /** Discards what is known of a server process. */
  forget (server: string): void
}

/** Averaging times of an engine's speed, and of a slowdown, which is to be forgotten within about a second, milliseconds. */
const SPEED_AVERAGE_MS = 8000
const SLOWDOWN_AVERAGE_MS = 400
/** Samples as which the assumption counts that an engine has the usual speed. */
const PRIOR_WEIGHT = 4
/** An engine is slowed down if its last gaps are longer than usual by this ratio, in this many samples at least. */
const MIN_SLOWDOWN_LOG = Math.log(1.5)
const MIN_SLOWDOWN_WEIGHT = 2
/** A stalled connection makes one gap very long; a larger ratio counts as this one. */
const MAX_LOG_RATIO = Math.log(6)
/** Averaging time of the times to the first event and to the end, milliseconds. */
const TIMES_AVERAGE_MS = 60_000
/** Time for which a request occupies a slot until it is known, milliseconds. */
const DEFAULT_RUN_MS = 2000
/** Part of the time to the first event that does not depend on the prompt, as the number of tokens that take as long. */
const FIXED_TOKENS = 300
const HUNDREDTHS = 100

interface OwnSpeed {
  slow: DecayingMean
  fast: DecayingMean
  logSum: number
  weight: number
}

const clampLog = (log: number): number => Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, log))

export function createEngineSpeeds ({ clock }: { clock: Clock }): EngineSpeeds {
  const own = new Map<string, OwnSpeed>()
  const modelGaps = createModelGaps({ nowMs: clock.monotonic })
  const firstEventPerToken = createDecayingMean(TIMES_AVERAGE_MS)
  const runTime = createDecayingMean(TIMES_AVERAGE_MS)
  /** Logarithm of the ratio of the longest gap of a stream to the usual one, and its square. */
  const longestGapLog = createDecayingMean(TIMES_AVERAGE_MS)
  const longestGapLogSquare = createDecayingMean(TIMES_AVERAGE_MS)
  let shared: ReadonlyMap<string, number> = new Map()
  let sharedUntilMs = -Infinity

  const ownSpeedOf = (server: string): OwnSpeed => {
    const found = own.get(server) ?? { slow: createDecayingMean(SPEED_AVERAGE_MS), fast: createDecayingMean(SLOWDOWN_AVERAGE_MS), logSum: 0, weight: 0 }
    own.set(server, found)
    return found
  }
  /** Logarithm of the speed that this instance alone has observed. */
  const ownLogOf = (server: string): number => {
    const slow = own.get(server)?.slow
    if (slow === undefined) return 0
    slow.weight(clock.monotonic())
    return slow.read(0, PRIOR_WEIGHT)
  }
  const usualSpeedOf = (server: string): number =>
    clock.monotonic() < sharedUntilMs ? shared.get(server) ?? 1 : Math.exp(ownLogOf(server))
  const speedOf = (server: string): number => {
    const usual = usualSpeedOf(server)
    const fast = own.get(server)?.fast
    if (fast === undefined || fast.weight(clock.monotonic()) < MIN_SLOWDOWN_WEIGHT) return usual
    const now = fast.read(0, 0)
    // An engine that is always slow, but counts as equal, is not slowed down.
    const baseline = Math.max(Math.log(usual), ownLogOf(server))
    return now - baseline >= MIN_SLOWDOWN_LOG ? Math.exp(now) : usual
  }

  /** One standard deviation above the mean: streams that meet a short slowdown are not rare, and each of them is late. */
  const longestRatio = (): number => {
    const mean = longestGapLog.read(0, PRIOR_WEIGHT)
    const variance = Math.max(0, longestGapLogSquare.read(0, PRIOR_WEIGHT) - mean * mean)
    return Math.max(1, Math.exp(mean + Math.sqrt(variance)))
  }

  return {
    recordGap: (server, model, ms, fill = 0) => {
      const now = clock.monotonic()
      const sample = modelGaps.record(server, model, ms, fill, usualSpeedOf(server))
      const logRatio = clampLog(sample.logRatio)
      const speed = ownSpeedOf(server)
      speed.fast.add(logRatio, sample.weight > 0 ? 1 : 0, now)
      speed.slow.add(logRatio, sample.weight, now)
      speed.logSum += logRatio * sample.weight
      speed.weight += sample.weight
    },
    recordFirstEvent: (server, ms, promptTokens) => firstEventPerToken.add(ms / (speedOf(server) * (FIXED_TOKENS + promptTokens)), 1, clock.monotonic()),
    recordRun: (server, model, ms, longestGapMs, fill) => {
      const usualGapMs = modelGaps.predict(model, fill)
      runTime.add(ms / usualSpeedOf(server), 1, clock.monotonic())
      if (usualGapMs === undefined) return
      const log = clampLog(Math.log(Math.max(1, longestGapMs) / (usualGapMs * usualSpeedOf(server))))
      longestGapLog.add(log, 1, clock.monotonic())
      longestGapLogSquare.add(log * log, 1, clock.monotonic())
    },
    speedOf,
    usualSpeedOf,
    firstEventMs: promptTokens => firstEventPerToken.read(0, 0) * (FIXED_TOKENS + promptTokens),
    runMs: () => runTime.read(DEFAULT_RUN_MS, PRIOR_WEIGHT),
    longestGapMs: (server, model, fill) => {
      const usualGapMs = modelGaps.predict(model, fill) ?? 0
      return usualGapMs * Math.max(speedOf(server), usualSpeedOf(server) * longestRatio())
    },
    takeSamples: () => {
      const samples = [...own].filter(([, { weight }]) => weight > 0)
      const taken = samples.map(([server, { logSum, weight }]) => ({ server, logSum: Math.round(logSum * HUNDREDTHS), count: Math.max(1, Math.round(weight)) }))
      samples.forEach(([, speed]) => {
        speed.logSum = 0
        speed.weight = 0
      })
      return taken
    },
    setShared: (speeds, validMs) => {
      shared = speeds
      sharedUntilMs = clock.monotonic() + validMs
    },
    shared: () => clock.monotonic() < sharedUntilMs ? shared : new Map(),
    forget: server => { own.delete(server) }
  }
}
