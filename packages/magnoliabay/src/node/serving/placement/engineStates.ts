/**
 * What the orderer knows of each engine's process: what it holds, what was ordered, how many orders it has accepted.
 * An order that nobody answered may still be carried out while the count of orders stands, so the next one carries
 * the same count: only one of the two can be accepted.
 */
import type { EngineReport } from '../engineCalls'
import type { EngineSpec, LoadedModel } from '../types'

export interface PendingOrder {
  operation: 'load' | 'unload'
  model: string
  /** Monotonic milliseconds. */
  sentMs: number
  expectedMs: number
}

export interface EngineEntry {
  process: string
  /** Orders accepted, as far as known; undefined until the engine has told. */
  orders: number | undefined
  /** It has accepted at least so many: reports that count fewer are older than what is known. */
  leastOrders: number
  models: readonly LoadedModel[]
  copies: { memory: readonly string[], disk: readonly string[] }
  /** Adapters ordered and perhaps not there yet, as `model/adapter`. */
  adaptersOnTheWay: readonly string[]
  pending: PendingOrder | undefined
  /** Monotonic milliseconds of the last report. */
  reportedMs: number
  /** Since when reports count fewer orders than are known to have been accepted. */
  staleSinceMs?: number
}

/** Reports lag by some hundred milliseconds; well beyond that, a count that is too low is no lag. */
const MAX_REPORT_LAG_MS = 2000

export interface EngineBook {
  entry (process: string): EngineEntry
  /** Takes a report over, unless it is older than what was ordered since. Returns whether it was taken. */
  takeReport (process: string, report: EngineReport, nowMs: number): boolean
  noteAccepted (process: string, order: PendingOrder): void
  /** The engine's entry shows that the order under way is done. */
  noteDone (process: string, models: readonly LoadedModel[]): void
  /** The engine's entry shows what weights it has copies of. */
  noteCopies (process: string, copies: EngineEntry['copies']): void
  noteAdapterLoaded (process: string, model: string, adapter: string): void
  noteAdapterUnloaded (process: string, model: string, adapter: string): void
  /** The count is no longer known: ask before the next order. */
  doubt (process: string): void
  isAnyPending (): boolean
  keep (processes: readonly string[]): void
  clear (): void
}

export function createEngineBook (): EngineBook {
  const entries = new Map<string, EngineEntry>()
  const of = (process: string): EngineEntry => {
    const found = entries.get(process) ?? { process, orders: undefined, leastOrders: 0, models: [], copies: { memory: [], disk: [] }, adaptersOnTheWay: [], pending: undefined, reportedMs: -Infinity }
    entries.set(process, found)
    return found
  }
  const update = (process: string, change: Partial<EngineEntry>): void => { entries.set(process, { ...of(process), ...change }) }
  const counted = (process: string, isCertain: boolean): Pick<EngineEntry, 'orders' | 'leastOrders'> => {
    const { orders, leastOrders } = of(process)
    if (orders === undefined) return { orders, leastOrders }
    return { orders: orders + 1, leastOrders: isCertain ? orders + 1 : leastOrders }
  }
  const changeAdapters = (process: string, model: string, isCertain: boolean, change: (adapters: readonly string[]) => readonly string[]): void =>
    update(process, {
      ...counted(process, isCertain),
      models: of(process).models.map(held => held.name === model ? { ...held, adapters: change(held.adapters) } : held)
    })

  return {
    entry: of,
    takeReport: (process, report, nowMs) => {
      const known = of(process)
      // Reports lag: one that has not counted an order yet does not show its effect either.
      if (report.acceptedOrders < known.leastOrders) {
        const sinceMs = known.staleSinceMs ?? nowMs
        update(process, { staleSinceMs: sinceMs, reportedMs: nowMs })
        // Longer than reports lag: the engine has started anew and counts from nothing.
        if (nowMs - sinceMs < MAX_REPORT_LAG_MS) return false
      }
      // The entry told that the order is done; the report is from before, and does not show what was loaded. Taken
      // over, it would make room on paper for a model more than the engine can hold.
      if (report.isOrderPending && known.orders !== undefined && known.pending === undefined) return false
      const isDone = !report.isOrderPending
      update(process, {
        // An order of somebody else is under way: nothing is known until it has ended.
        orders: report.isOrderPending && known.pending === undefined ? undefined : report.acceptedOrders,
        leastOrders: report.acceptedOrders,
        models: report.models,
        copies: report.copies,
        adaptersOnTheWay: report.loadingAdapters,
        pending: isDone ? undefined : known.pending,
        reportedMs: nowMs,
        staleSinceMs: undefined
      })
      return true
    },
    noteAccepted: (process, order) => {
      const { models } = of(process)
      update(process, {
        ...counted(process, true),
        pending: order,
        models: order.operation === 'unload' ? models.filter(held => held.name !== order.model) : models
      })
    },
    noteCopies: (process, copies) => update(process, { copies }),
    noteDone: (process, models) => update(process, { models, pending: undefined }),
    noteAdapterLoaded: (process, model, adapter) => changeAdapters(process, model, true, adapters => [...adapters, adapter]),
    noteAdapterUnloaded: (process, model, adapter) => changeAdapters(process, model, false, adapters => adapters.filter(held => held !== adapter)),
    doubt: process => update(process, { orders: undefined }),
    isAnyPending: () => [...entries.values()].some(entry => entry.pending !== undefined),
    keep: processes => [...entries.keys()].filter(process => !processes.includes(process)).forEach(process => entries.delete(process)),
    clear: () => entries.clear()
  }
}

const largestAdapters = new WeakMap<EngineSpec, number>()

/** Looked up for each engine and plan; going through hundreds of models each time took longer than the plan. */
function largestAdapterMb (spec: EngineSpec): number {
  const known = largestAdapters.get(spec)
  if (known !== undefined) return known
  const largest = Math.max(0, ...[...spec.models.values()].map(model => model.adapterMb))
  largestAdapters.set(spec, largest)
  return largest
}

/** Memory that an engine has left for weights, with everything charged that it holds, loads, or may still load. */
export function freeWeightsMb (entry: EngineEntry, spec: EngineSpec): number {
  const sizeOf = (model: string): number => spec.models.get(model)?.weightsMb ?? spec.weightMemoryMb
  const isPendingNew = entry.pending !== undefined && !entry.models.some(held => held.name === entry.pending!.model)
  const pendingMb = isPendingNew ? sizeOf(entry.pending!.model) : 0
  const models = entry.models.reduce((sum, held) => sum + sizeOf(held.name), 0)
  // Room for all places of adapters is kept free, so that an adapter never has to wait for weights to go.
  return spec.weightMemoryMb - models - pendingMb - largestAdapterMb(spec) * spec.adapterCapacity
}

/** Places for adapters that an engine has given away: to those it holds, and to those on their way. */
export function adapterPlacesTaken (entry: EngineEntry): number {
  const held = entry.models.flatMap(model => model.adapters.map(adapter => `${model.name}/${adapter}`))
  return new Set([...held, ...entry.adaptersOnTheWay]).size
}
