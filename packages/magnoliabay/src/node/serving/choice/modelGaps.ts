/**
 * Learns the usual gap between events of each model and how it grows with the number of requests at an engine, so that what
 * remains of a gap is the speed of the engine. All means are of logarithms.
 */
import { createDecayingMean } from './decayingMean'
import type { DecayingMean } from './decayingMean'

/** The usual gap of a model changes little; one instance sees a rare model about once a minute, milliseconds. */
const MODEL_AVERAGE_MS = 120_000
/** Above this number of models their gaps are dropped and learned anew, which bounds memory. */
const MAX_TRACKED_MODELS = 500
/** Engines with about the same part of their slots in use are compared; above the last bound, requests queue. */
const FILL_BOUNDS = [0.25, 0.5, 0.75, 1]
/** Samples as which the assumption counts that the number of requests has no effect. */
const FILL_PRIOR_WEIGHT = 20
/** The numbers of samples of a model are halved at this sum, so that engines that have ended are forgotten. */
const MAX_COUNTED_SAMPLES = 5000
/** A model needs this many samples before its gaps say something about engines. */
const MIN_MODEL_WEIGHT = 4

export interface GapSample {
  /** Logarithm of the ratio of the gap to the usual one of the model. */
  logRatio: number
  /**
   * From 0 to below 1: 0 for a model that this instance has seen on one engine only, so that its usual gap is the gap on that
   * engine, and more the more evenly its samples are spread over engines.
   */
  weight: number
}

export interface ModelGaps {
  /** Records a gap; `speed` is the known speed of the server, and `fill` its requests per slot. */
  record (server: string, model: string, ms: number, fill: number, speed: number): GapSample
  /** Predicts the gap at an engine of mean speed; undefined while nothing is known. */
  predict (model: string, fill: number): number | undefined
}

interface ModelGap {
  mean: DecayingMean
  /** Number of samples by server. */
  samplesByServer: Map<string, number>
}

const bucketOf = (fill: number): number => {
  const index = FILL_BOUNDS.findIndex(bound => fill < bound)
  return index < 0 ? FILL_BOUNDS.length : index
}

function countSample (samplesByServer: Map<string, number>, server: string): void {
  samplesByServer.set(server, (samplesByServer.get(server) ?? 0) + 1)
  const total = [...samplesByServer.values()].reduce((sum, count) => sum + count, 0)
  if (total < MAX_COUNTED_SAMPLES) return
  samplesByServer.forEach((count, each) => count < 2 ? samplesByServer.delete(each) : samplesByServer.set(each, count / 2))
}

/** Returns the probability that two samples are of different servers. */
function spreadOf (samplesByServer: ReadonlyMap<string, number>): number {
  const counts = [...samplesByServer.values()]
  const total = counts.reduce((sum, count) => sum + count, 0)
  return 1 - counts.reduce((sum, count) => sum + (count / total) ** 2, 0)
}

export function createModelGaps ({ nowMs }: { nowMs: () => number }): ModelGaps {
  const models = new Map<string, ModelGap>()
  const all = createDecayingMean(MODEL_AVERAGE_MS)
  const fillEffects = [...FILL_BOUNDS, Infinity].map(() => createDecayingMean(MODEL_AVERAGE_MS))

  const gapOf = (model: string): ModelGap => {
    if (models.size > MAX_TRACKED_MODELS) models.clear()
    const found = models.get(model) ?? { mean: createDecayingMean(MODEL_AVERAGE_MS), samplesByServer: new Map<string, number>() }
    models.set(model, found)
    return found
  }
  const fillEffect = (fill: number): number => fillEffects[bucketOf(fill)]!.read(0, FILL_PRIOR_WEIGHT)

  return {
    record: (server, model, ms, fill, speed) => {
      const now = nowMs()
      const { mean, samplesByServer } = gapOf(model)
      const logGap = Math.log(Math.max(1, ms))
      const usual = mean.weight(now) < MIN_MODEL_WEIGHT ? undefined : mean.read(0, 0)
      const logRatio = usual === undefined ? 0 : logGap - usual - fillEffect(fill)
      const weight = usual === undefined ? 0 : spreadOf(samplesByServer)
      if (usual !== undefined) fillEffects[bucketOf(fill)]!.add(logGap - usual - Math.log(speed), 1, now)
      mean.add(logGap - fillEffect(fill) - Math.log(speed), 1, now)
      all.add(logGap - fillEffect(fill) - Math.log(speed), 1, now)
      countSample(samplesByServer, server)
      return { logRatio, weight }
    },
    predict: (model, fill) => {
      const now = nowMs()
      const mean = models.get(model)?.mean
      const usual = mean !== undefined && mean.weight(now) >= MIN_MODEL_WEIGHT ? mean : all
      return usual.weight(now) < MIN_MODEL_WEIGHT ? undefined : Math.exp(usual.read(0, 0) + fillEffect(fill))
    }
  }
}
