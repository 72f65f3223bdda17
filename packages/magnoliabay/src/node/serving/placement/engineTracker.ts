/**
 * State of each engine process as the leader knows it: loaded models, the pending order and the number of accepted
 * orders. An unanswered order may still be carried out while that number is unchanged, so the next order carries the
 * same number and the engine can accept only one of the two.
 */
import type { EngineReport } from '../engineCalls'
import type { EngineSpec, LoadedModel } from '../types'

export interface PendingOrder {
  operation: 'load' | 'unload'
  model: string
  /** Monotonic milliseconds. */
  sentMs: number
  /** Expected duration, milliseconds. */
  expectedMs: number
}

export interface TrackedEngine {
  process: string
  /** Number of orders accepted; undefined until the engine reports it. */
  acceptedOrders: number | undefined
  /** Lower bound on accepted orders; a report with fewer is stale. */
  minAcceptedOrders: number
  models: readonly LoadedModel[]
  copies: { memory: readonly string[], disk: readonly string[] }
  /** Adapters that were ordered and may not be loaded yet, as `model/adapter`. */
  loadingAdapters: readonly string[]
  pending: PendingOrder | undefined
  /** Time of the last report, monotonic milliseconds. */
  reportedMs: number
  /** Time since which reports count fewer orders than `minAcceptedOrders`, monotonic milliseconds. */
  staleSinceMs?: number
}

/** Reports lag by some hundred milliseconds; a count that stays too low for much longer means a restart. */
const MAX_REPORT_LAG_MS = 2000

export interface EngineTracker {
  get (process: string): TrackedEngine
  /** Applies a report unless it predates orders sent since. Returns whether it was applied. */
  applyReport (process: string, report: EngineReport, nowMs: number): boolean
  recordAccepted (process: string, order: PendingOrder): void
  /** Records that the engine's entry in the store shows the pending order as done. */
  recordDone (process: string, models: readonly LoadedModel[]): void
  /** Records the copies of weights that the engine's entry in the store lists. */
  recordCopies (process: string, copies: TrackedEngine['copies']): void
  recordAdapterLoaded (process: string, model: string, adapter: string): void
  recordAdapterUnloaded (process: string, model: string, adapter: string): void
  /** Marks the number of accepted orders as unknown, so that a report is requested before the next order. */
  forgetAcceptedOrders (process: string): void
  hasPending (): boolean
  /** Drops all engines except these. */
  retainOnly (processes: readonly string[]): void
  clear (): void
}

export function createEngineTracker (): EngineTracker {
  const trackedEngines = new Map<string, TrackedEngine>()
  const getOrCreate = (process: string): TrackedEngine => {
    const engine = trackedEngines.get(process) ?? { process, acceptedOrders: undefined, minAcceptedOrders: 0, models: [], copies: { memory: [], disk: [] }, loadingAdapters: [], pending: undefined, reportedMs: -Infinity }
    trackedEngines.set(process, engine)
    return engine
  }
  const update = (process: string, change: Partial<TrackedEngine>): void => { trackedEngines.set(process, { ...getOrCreate(process), ...change }) }
  const withOrderCounted = (process: string, isCertain: boolean): Pick<TrackedEngine, 'acceptedOrders' | 'minAcceptedOrders'> => {
    const { acceptedOrders, minAcceptedOrders } = getOrCreate(process)
    if (acceptedOrders === undefined) return { acceptedOrders, minAcceptedOrders }
    return { acceptedOrders: acceptedOrders + 1, minAcceptedOrders: isCertain ? acceptedOrders + 1 : minAcceptedOrders }
  }
  const changeAdapters = (process: string, model: string, isCertain: boolean, change: (adapters: readonly string[]) => readonly string[]): void =>
    update(process, {
      ...withOrderCounted(process, isCertain),
      models: getOrCreate(process).models.map(loaded => loaded.name === model ? { ...loaded, adapters: change(loaded.adapters) } : loaded)
    })
  /**
   * Engines write no entry when they load an adapter, so that an entry may lack one that was accepted after it was written: one
   * more than the engine holds would be ordered in its place. What is known of adapters here is newer.
   */
  const withKnownAdapters = ({ models, loadingAdapters }: TrackedEngine, listed: LoadedModel): LoadedModel => {
    const known = models.find(({ name }) => name === listed.name)
    if (known !== undefined) return { ...listed, adapters: known.adapters }
    const accepted = loadingAdapters.filter(each => each.startsWith(`${listed.name}/`)).map(each => each.slice(listed.name.length + 1))
    return { ...listed, adapters: [...new Set([...listed.adapters, ...accepted])] }
  }

  return {
    get: getOrCreate,
    applyReport: (process, report, nowMs) => {
      const current = getOrCreate(process)
      // A report that has not counted an order does not show its effect either.
      if (report.acceptedOrders < current.minAcceptedOrders) {
        const sinceMs = current.staleSinceMs ?? nowMs
        update(process, { staleSinceMs: sinceMs, reportedMs: nowMs })
        // Beyond the lag of reports, the engine has restarted and counts from zero.
        if (nowMs - sinceMs < MAX_REPORT_LAG_MS) return false
      }
      // The entry already showed the order as done, so the report is older and lacks the loaded model. Applying it
      // would leave free memory in the accounts for one model more than the engine can hold.
      if (report.isOrderPending && current.acceptedOrders !== undefined && current.pending === undefined) return false
      const isDone = !report.isOrderPending
      update(process, {
        // An order of another instance is pending: the number is unknown until it has ended.
        acceptedOrders: report.isOrderPending && current.pending === undefined ? undefined : report.acceptedOrders,
        minAcceptedOrders: report.acceptedOrders,
        models: report.models,
        copies: report.copies,
        loadingAdapters: report.loadingAdapters,
        pending: isDone ? undefined : current.pending,
        reportedMs: nowMs,
        staleSinceMs: undefined
      })
      return true
    },
    recordAccepted: (process, order) => {
      const { models } = getOrCreate(process)
      update(process, {
        ...withOrderCounted(process, true),
        pending: order,
        models: order.operation === 'unload' ? models.filter(loaded => loaded.name !== order.model) : models
      })
    },
    recordCopies: (process, copies) => update(process, { copies }),
    recordDone: (process, models) => update(process, { models: models.map(listed => withKnownAdapters(getOrCreate(process), listed)), pending: undefined }),
    recordAdapterLoaded: (process, model, adapter) => {
      changeAdapters(process, model, true, adapters => [...adapters, adapter])
      const { models, loadingAdapters } = getOrCreate(process)
      // The engine has accepted it, so it has the model, though no entry or report has shown it yet.
      if (!models.some(({ name }) => name === model)) update(process, { loadingAdapters: [...loadingAdapters, `${model}/${adapter}`] })
    },
    recordAdapterUnloaded: (process, model, adapter) => changeAdapters(process, model, false, adapters => adapters.filter(loaded => loaded !== adapter)),
    forgetAcceptedOrders: process => update(process, { acceptedOrders: undefined }),
    hasPending: () => [...trackedEngines.values()].some(engine => engine.pending !== undefined),
    retainOnly: processes => [...trackedEngines.keys()].filter(process => !processes.includes(process)).forEach(process => trackedEngines.delete(process)),
    clear: () => trackedEngines.clear()
  }
}

const largestAdapterMbBySpec = new WeakMap<EngineSpec, number>()

/**
 * Cached by spec: it is needed for each engine and plan, and scanning hundreds of models each time took longer than the
 * plan.
 */
function largestAdapterMb (spec: EngineSpec): number {
  const cached = largestAdapterMbBySpec.get(spec)
  if (cached !== undefined) return cached
  const largest = Math.max(0, ...[...spec.models.values()].map(model => model.adapterMb))
  largestAdapterMbBySpec.set(spec, largest)
  return largest
}

/** Returns an engine's free memory for weights, after all models that it has loaded, is loading or may still load. */
export function freeWeightsMb (engine: TrackedEngine, spec: EngineSpec): number {
  const sizeOf = (model: string): number => spec.models.get(model)?.weightsMb ?? spec.weightMemoryMb
  const isPendingNew = engine.pending !== undefined && !engine.models.some(loaded => loaded.name === engine.pending!.model)
  const pendingMb = isPendingNew ? sizeOf(engine.pending!.model) : 0
  const models = engine.models.reduce((sum, loaded) => sum + sizeOf(loaded.name), 0)
  // Memory for the full adapter capacity is reserved, so that an adapter never waits for weights to be unloaded.
  return spec.weightMemoryMb - models - pendingMb - largestAdapterMb(spec) * spec.adapterCapacity
}

/** Returns how many adapters an engine has loaded or is loading. */
export function usedAdapterCapacity (engine: TrackedEngine): number {
  const loaded = engine.models.flatMap(model => model.adapters.map(adapter => `${model.name}/${adapter}`))
  return new Set([...loaded, ...engine.loadingAdapters]).size
}
