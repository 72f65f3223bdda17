/** Learns how long each engine takes to the first event of a stream, and derives from it how long a stream may be silent. */
import type { Clock } from '../../clock'
import { createDecayingSample } from './decayingSample'
import type { DecayingSample, SampleSummary } from './decayingSample'

/** Shortest timeout for a first event: within this time an engine may still be reading a long prompt. */
const MIN_FIRST_TIMEOUT_MS = 1500
/** A first event is overdue at this multiple of the mean time that the engine takes to it, */
const FIRST_TIMEOUT_MEANS = 4
/** and at this number of standard deviations above that mean. */
const FIRST_TIMEOUT_DEVIATIONS = 4
/** Later events are overdue at this multiple of the route's gap: short slowdowns make an engine 2.5 times slower. */
const LATER_TIMEOUT_GAPS = 4
/** Shortest timeout for later events: a sound engine may be silent for a second or so, and go on. */
const MIN_LATER_TIMEOUT_MS = 1500
/** Time in which samples lose most of their weight, milliseconds: queues at engines build up and empty within such times. */
const DECAY_MS = 20_000
/** With a lower decayed number of samples the next more general mean is used. */
const MIN_SAMPLE_WEIGHT = 3
/** Above this number of means those without recent samples are dropped, */
const MAX_MEANS = 1000
/** and the oldest down to this number: dropping them one by one would go through all of them for each new one. */
const MEANS_AFTER_DROP = 750
/** A mean with a lower weight has had no sample for more than four times the decay time. */
const MIN_KEPT_WEIGHT = 0.02

/** An engine process and the model that a stream uses there. */
export interface SilenceKey {
  server: string
  model: string
}

export interface StreamTargets {
  latencyObjectiveMs: number
  maxEventGapMs: number
}

export interface SilenceLimits {
  /** Records the time from sending a request to its first event, milliseconds. */
  recordFirstEvent (key: SilenceKey, elapsedMs: number): void
  /** Returns the time after sending within which the first event is due, milliseconds. */
  firstTimeoutMs (key: SilenceKey, targets: StreamTargets): number
  /** Returns the time after an event within which the next is due, milliseconds. */
  laterTimeoutMs (targets: StreamTargets): number
}

export function createSilenceLimits ({ clock }: { clock: Clock }): SilenceLimits {
  const samples = new Map<string, DecayingSample>()
  const overall = createDecayingSample(DECAY_MS)

  const dropUnused = (): void => {
    const nowMs = clock.monotonic()
    const unused = [...samples].filter(([, sample]) => sample.read(nowMs).weight < MIN_KEPT_WEIGHT)
    unused.forEach(([name]) => samples.delete(name))
    const surplus = [...samples.keys()].slice(0, Math.max(0, samples.size - MEANS_AFTER_DROP))
    surplus.forEach(name => samples.delete(name))
  }
  const sampleOf = (name: string): DecayingSample => {
    const known = samples.get(name)
    if (known !== undefined) return known
    if (samples.size >= MAX_MEANS) dropUnused()
    const created = createDecayingSample(DECAY_MS)
    samples.set(name, created)
    return created
  }
  const namesOf = ({ server, model }: SilenceKey): string[] => [`${server} ${model}`, server]
  /** Returns the summary of the model on the engine, of the engine, or of all engines: the first with enough samples. */
  const usualOf = (key: SilenceKey): SampleSummary | undefined => {
    const nowMs = clock.monotonic()
    const candidates = [...namesOf(key).map(name => samples.get(name)), overall]
    return candidates.map(sample => sample?.read(nowMs)).find(summary => summary !== undefined && summary.weight >= MIN_SAMPLE_WEIGHT)
  }

  return {
    recordFirstEvent: (key, elapsedMs) => {
      const nowMs = clock.monotonic()
      namesOf(key).forEach(name => sampleOf(name).add(elapsedMs, nowMs))
      overall.add(elapsedMs, nowMs)
    },
    firstTimeoutMs: (key, { latencyObjectiveMs }) => {
      const { mean, deviation } = usualOf(key) ?? { mean: latencyObjectiveMs, deviation: 0 }
      return Math.max(MIN_FIRST_TIMEOUT_MS, FIRST_TIMEOUT_MEANS * mean, mean + FIRST_TIMEOUT_DEVIATIONS * deviation)
    },
    laterTimeoutMs: ({ maxEventGapMs }) => Math.max(MIN_LATER_TIMEOUT_MS, LATER_TIMEOUT_GAPS * maxEventGapMs)
  }
}
