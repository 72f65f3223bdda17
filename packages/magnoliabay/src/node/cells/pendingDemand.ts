/**
 * What is waited for: all demand for one model, from any number of instances, is one want. It lapses when
 * nobody has repeated it for a while, so that nothing is loaded for callers who have left.
 */

export interface Want {
  model: string
  sinceMs: number
  /** When the most urgent who waits gives up, monotonic milliseconds. */
  deadlineMs: number
  weight: number
  waiting: number
  lapsesMs: number
  /** Adapters of the model that are waited for. */
  adapters: Set<string>
  /** Nobody waits: a use is expected. */
  isAhead: boolean
  /** Not tried again before, monotonic milliseconds. */
  notBeforeMs: number
}

export interface WantRequest {
  model: string
  adapters: readonly string[]
  waiting: number
  patienceMs: number
  weight: number
  isAhead?: boolean
}

/** Entry instances repeat their demand more often than this. */
const LAPSE_MS = 3000

export interface Wants {
  add (req: WantRequest, nowMs: number): Want
  remove (model: string): void
  get (model: string): Want | undefined
  /** Those that stand, most urgent first. */
  ordered (nowMs: number, expectedMs: (want: Want) => number): Want[]
}

export function createWants (): Wants {
  const wants = new Map<string, Want>()
  const lapse = (nowMs: number): void => {
    const lapsed = [...wants.values()].filter(want => want.lapsesMs < nowMs)
    lapsed.forEach(want => wants.delete(want.model))
  }
  return {
    add: (req, nowMs) => {
      lapse(nowMs)
      const known = wants.get(req.model)
      const want: Want = {
        model: req.model,
        sinceMs: known?.sinceMs ?? nowMs,
        deadlineMs: Math.min(known?.deadlineMs ?? Infinity, nowMs + req.patienceMs),
        weight: Math.max(known?.weight ?? 0, req.weight),
        waiting: Math.max(known?.waiting ?? 0, req.waiting),
        lapsesMs: nowMs + LAPSE_MS,
        adapters: known?.adapters ?? new Set(),
        isAhead: (known?.isAhead ?? true) && req.isAhead === true,
        notBeforeMs: known?.notBeforeMs ?? 0
      }
      if (want.deadlineMs <= nowMs) want.deadlineMs = nowMs + req.patienceMs
      req.adapters.forEach(adapter => want.adapters.add(adapter))
      wants.set(req.model, want)
      return want
    },
    remove: model => { wants.delete(model) },
    get: model => wants.get(model),
    ordered: (nowMs, expectedMs) => {
      lapse(nowMs)
      return [...wants.values()]
        .filter(want => want.notBeforeMs <= nowMs)
        .sort((left, right) => compareUrgency(left, right, nowMs, expectedMs))
    }
  }
}

/**
 * Those who can still be served in time come first, by the time that they have left to begin, shortened by
 * their weight; then those who will be late anyway; then what nobody waits for yet. A long load counts against
 * a want, but the less the more wait for it: else the large model that everybody calls is loaded last.
 */
function compareUrgency (left: Want, right: Want, nowMs: number, expectedMs: (want: Want) => number): number {
  const rank = (want: Want): number => want.isAhead ? 2 : want.deadlineMs - nowMs < expectedMs(want) ? 1 : 0
  const slack = (want: Want): number => (want.deadlineMs - want.sinceMs) / want.weight + want.sinceMs + expectedMs(want) / Math.max(1, want.waiting)
  return rank(left) - rank(right) || slack(left) - slack(right)
}
