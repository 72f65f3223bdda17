/** Keeps models that were loaded for waiting requests until those have run. */

/** Requests that waited are sent to the engine, and reported as in flight, within this time after the load, milliseconds. */
export const ARRIVAL_MS = 700
/**
 * A model whose requests run without a pause is no longer kept after this many durations of a request: an earlier unload
 * takes no new requests while it waits for the running ones, and its memory is idle meanwhile.
 */
const MAX_HOLD_RUNS = 4
/** Shortest time for which a model with running requests is expected to be kept, milliseconds. */
const MIN_HOLD_MS = 250

export interface FreshModels {
  /** Records which models an engine has. `isAwaited`: whether requests wait for a model. */
  update (engine: string, models: readonly string[], isAwaited: (model: string) => boolean, nowMs: number): void
  /** Returns the expected time until the requests of a model that was loaded for them have run, milliseconds; 0 if they have. */
  heldMs (engine: string, model: string, inFlight: number, runMs: number, nowMs: number): number
  retainOnly (engines: ReadonlySet<string>): void
  clear (): void
}

export function createFreshModels (): FreshModels {
  /** Time since which each engine has had its models; undefined for those that no request waited for. */
  const sinceByEngine = new Map<string, Map<string, number | undefined>>()
  return {
    update: (engine, models, isAwaited, nowMs) => {
      const known = sinceByEngine.get(engine)
      const sinceOf = (model: string): number | undefined => {
        if (known?.has(model) === true) return known.get(model)
        return isAwaited(model) ? nowMs : undefined
      }
      sinceByEngine.set(engine, new Map(models.map(model => [model, sinceOf(model)])))
    },
    heldMs: (engine, model, inFlight, runMs, nowMs) => {
      const sinceMs = sinceByEngine.get(engine)?.get(model)
      if (sinceMs === undefined) return 0
      const ageMs = nowMs - sinceMs
      if (ageMs < ARRIVAL_MS) return ARRIVAL_MS - ageMs
      const isRunning = inFlight > 0 && ageMs < ARRIVAL_MS + MAX_HOLD_RUNS * runMs
      return isRunning ? Math.max(MIN_HOLD_MS, ARRIVAL_MS + runMs - ageMs) : 0
    },
    retainOnly: engines => [...sinceByEngine.keys()].filter(engine => !engines.has(engine)).forEach(engine => sinceByEngine.delete(engine)),
    clear: () => sinceByEngine.clear()
  }
}
