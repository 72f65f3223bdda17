/**
 * How long a model that nobody calls is kept, decided from its own history of gaps between uses.
 *
 * Keeping it through a gap costs accelerator time; letting it go costs whoever calls next a cold start. Without a
 * history, it is kept for as long as one cold start is worth: at most twice the cost of knowing the future
 * (ski rental). With one, the span that would have cost least over the gaps seen is taken.
 */

export interface KeepOptions {
  /** Accelerator time that sparing one cold start is worth, milliseconds. */
  coldStartWorthMs: number
  /** @default 15000 */
  leastMs?: number
  /** @default 1800000 */
  mostMs?: number
}

/** Fewer gaps than this tell nothing. */
const LEAST_GAPS = 4
const MOST_GAPS = 64
const DEFAULT_LEAST_MS = 15_000
const DEFAULT_MOST_MS = 1_800_000
/** A gap like one seen before may be a little longer. */
const MARGIN = 1.1
/** Uses closer together than this are one burst. */
const BURST_MS = 2000

export function decideKeepMs (gaps: readonly number[], options: KeepOptions): number {
  const { coldStartWorthMs, leastMs = DEFAULT_LEAST_MS, mostMs = DEFAULT_MOST_MS } = options
  if (gaps.length < LEAST_GAPS) return Math.max(leastMs, Math.min(coldStartWorthMs, mostMs))
  const candidates = [leastMs, ...gaps.map(gap => gap * MARGIN).filter(gap => gap > leastMs && gap <= mostMs)]
  const costOf = (keepMs: number): number =>
    gaps.reduce((sum, gap) => sum + (gap <= keepMs ? gap : keepMs + coldStartWorthMs), 0)
  return candidates.reduce((best, candidate) => costOf(candidate) < costOf(best) ? candidate : best)
}

/** When the next use is expected, if the gaps are regular enough to say. */
export interface Prediction {
  /** Monotonic milliseconds. */
  atMs: number
  /** How far off it may be. */
  spreadMs: number
}

const LEAST_PREDICTING_GAPS = 5
/** Standard deviation as a share of the mean, above which gaps are not called regular. */
const MOST_VARIATION = 0.15

export function predictNextUse (lastUseMs: number, gaps: readonly number[]): Prediction | undefined {
  const recent = gaps.slice(-LEAST_PREDICTING_GAPS * 2)
  if (recent.length < LEAST_PREDICTING_GAPS) return undefined
  const mean = recent.reduce((sum, gap) => sum + gap, 0) / recent.length
  const variance = recent.reduce((sum, gap) => sum + (gap - mean) ** 2, 0) / recent.length
  const deviation = Math.sqrt(variance)
  return deviation <= mean * MOST_VARIATION ? { atMs: lastUseMs + mean, spreadMs: 2 * deviation } : undefined
}

/** What is kept in the store, so that the next steward need not learn anew. Wall-clock milliseconds. */
export interface SavedHistory {
  lastUseAtMs: number
  gaps: readonly number[]
}

export interface GapHistory {
  noteUse (model: string, nowMs: number): void
  gaps (model: string): readonly number[]
  lastUseMs (model: string): number | undefined
  models (): string[]
  save (toWallMs: number): Record<string, SavedHistory>
  restore (saved: Readonly<Record<string, SavedHistory>>, toWallMs: number): void
}

interface ModelHistory {
  lastUseMs: number
  gaps: number[]
}

export function createGapHistory (): GapHistory {
  const histories = new Map<string, ModelHistory>()
  return {
    noteUse: (model, nowMs) => {
      const history = histories.get(model)
      if (history === undefined) {
        histories.set(model, { lastUseMs: nowMs, gaps: [] })
        return
      }
      const gap = nowMs - history.lastUseMs
      if (gap > BURST_MS) history.gaps = [...history.gaps, gap].slice(-MOST_GAPS)
      history.lastUseMs = Math.max(nowMs, history.lastUseMs)
    },
    gaps: model => histories.get(model)?.gaps ?? [],
    lastUseMs: model => histories.get(model)?.lastUseMs,
    models: () => [...histories.keys()],
    save: toWallMs => Object.fromEntries([...histories].map(([model, { lastUseMs, gaps }]) =>
      [model, { lastUseAtMs: Math.round(lastUseMs + toWallMs), gaps: gaps.map(Math.round) }])),
    restore: (saved, toWallMs) => Object.entries(saved)
      .filter(([model]) => !histories.has(model))
      .forEach(([model, { lastUseAtMs, gaps }]) => histories.set(model, { lastUseMs: lastUseAtMs - toWallMs, gaps: [...gaps] }))
  }
}
