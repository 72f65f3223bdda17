/**
 * Decides how long an idle model is kept loaded, from its own history of gaps between uses.
 *
 * Keeping it through a gap costs accelerator time; unloading it costs the next request a cold start. Without a
 * history, it is kept for as long as one cold start is worth: at most twice the cost of the optimum with known future
 * requests (ski rental). With a history, the time with the lowest cost over the recorded gaps is taken.
 */
import * as v from 'valibot'

export interface KeepAliveOptions {
  /** Accelerator time that is worth one avoided cold start, milliseconds. */
  coldStartWorthMs: number
  /** @default 15000 */
  minMs?: number
  /** @default 1800000 */
  maxMs?: number
}

/** With fewer gaps, the history is not used. */
const MIN_GAPS = 4
const MAX_GAPS = 64
const DEFAULT_MIN_MS = 15_000
const DEFAULT_MAX_MS = 1_800_000
/** A gap like a recorded one may be a little longer. */
const GAP_MARGIN_RATIO = 1.1
/** Uses separated by at most this time belong to one burst; the time between them is not recorded as a gap. */
const MAX_BURST_GAP_MS = 2000

export function decideKeepAliveMs (gaps: readonly number[], options: KeepAliveOptions): number {
  const { coldStartWorthMs, minMs = DEFAULT_MIN_MS, maxMs = DEFAULT_MAX_MS } = options
  if (gaps.length < MIN_GAPS) return Math.max(minMs, Math.min(coldStartWorthMs, maxMs))
  const candidates = [minMs, ...gaps.map(gap => gap * GAP_MARGIN_RATIO).filter(gap => gap > minMs && gap <= maxMs)]
  const costOf = (keepMs: number): number =>
    gaps.reduce((sum, gap) => sum + (gap <= keepMs ? gap : keepMs + coldStartWorthMs), 0)
  return candidates.reduce((best, candidate) => costOf(candidate) < costOf(best) ? candidate : best)
}

/** Predicted time of the next use. */
export interface Prediction {
  /** Monotonic milliseconds. */
  atMs: number
  /** The use is expected within this time before and after `atMs`, milliseconds. */
  marginMs: number
}

const MIN_PREDICTION_GAPS = 5
/** Standard deviation divided by the mean, above which gaps are not regular enough to predict the next use. */
const MAX_VARIATION_RATIO = 0.15

export function predictNextUse (lastUseMs: number, gaps: readonly number[]): Prediction | undefined {
  const recent = gaps.slice(-MIN_PREDICTION_GAPS * 2)
  if (recent.length < MIN_PREDICTION_GAPS) return undefined
  const mean = recent.reduce((sum, gap) => sum + gap, 0) / recent.length
  const variance = recent.reduce((sum, gap) => sum + (gap - mean) ** 2, 0) / recent.length
  const deviation = Math.sqrt(variance)
  return deviation <= mean * MAX_VARIATION_RATIO ? { atMs: lastUseMs + mean, marginMs: 2 * deviation } : undefined
}

/** History of a model as kept in the store for the next leader. Wall-clock milliseconds. */
export interface SavedHistory {
  lastUseAtMs: number
  gaps: readonly number[]
}

export const savedHistoriesSchema = v.record(v.string(), v.object({ lastUseAtMs: v.number(), gaps: v.array(v.number()) }))

export interface GapHistory {
  recordUse (model: string, nowMs: number): void
  gaps (model: string): readonly number[]
  lastUseMs (model: string): number | undefined
  models (): string[]
  save (wallOffsetMs: number): Record<string, SavedHistory>
  restore (saved: Readonly<Record<string, SavedHistory>>, wallOffsetMs: number): void
}

interface ModelHistory {
  lastUseMs: number
  gaps: number[]
}

export function createGapHistory (): GapHistory {
  const histories = new Map<string, ModelHistory>()
  return {
    recordUse: (model, nowMs) => {
      const history = histories.get(model)
      if (history === undefined) {
        histories.set(model, { lastUseMs: nowMs, gaps: [] })
        return
      }
      const gap = nowMs - history.lastUseMs
      if (gap > MAX_BURST_GAP_MS) history.gaps = [...history.gaps, gap].slice(-MAX_GAPS)
      history.lastUseMs = Math.max(nowMs, history.lastUseMs)
    },
    gaps: model => histories.get(model)?.gaps ?? [],
    lastUseMs: model => histories.get(model)?.lastUseMs,
    models: () => [...histories.keys()],
    save: wallOffsetMs => Object.fromEntries([...histories].map(([model, { lastUseMs, gaps }]) =>
      [model, { lastUseAtMs: Math.round(lastUseMs + wallOffsetMs), gaps: gaps.map(Math.round) }])),
    restore: (saved, wallOffsetMs) => Object.entries(saved)
      .filter(([model]) => !histories.has(model))
      .forEach(([model, { lastUseAtMs, gaps }]) => histories.set(model, { lastUseMs: lastUseAtMs - wallOffsetMs, gaps: [...gaps] }))
  }
}
