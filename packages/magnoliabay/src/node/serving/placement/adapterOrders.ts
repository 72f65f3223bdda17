/** Orders adapters on engines that have their models: those that requests wait for, and others while capacity is free. */
import { inBackground } from '../../background'
import type { FleetView } from '../fleetView'
import { chooseAdapterPlacement, planAdapterPreloads } from './adapterPlacement'
import type { EngineAdapters } from './adapterPlacement'
import type { Engine, EngineOrders } from './engineOrders'
import type { PlacementReply } from './messages'
import { MODEL_SWAP_MS } from './plan'

/** Delay after which a caller retries an adapter that could not be ordered, milliseconds. */
const ADAPTER_RETRY_DELAY_MS = 250

export interface AdapterOrdersOptions {
  orders: Pick<EngineOrders, 'listEngines' | 'loadAdapter' | 'specOf' | 'unloadAdapter'>
  fleetView: Pick<FleetView, 'demand' | 'inFlight'>
  /** Whether an engine has no order, no reservation and no backoff. */
  isIdle: (engine: Engine) => boolean
  /** Time until an engine may take an order, milliseconds. */
  remainingMs: (engine: Engine) => number
  /** Remaining time for which an engine's process wants nothing from this instance, milliseconds. */
  backoffMs: (process: string) => number
}

export interface AdapterOrders {
  /** Loads an adapter on an engine that has its model, if need be in place of one that nothing uses. */
  request (model: string, adapter: string, unavailable: ReadonlySet<string>): Promise<PlacementReply>
  /** Fills free capacity with adapters that no engine has, so that they are loaded before their first request. */
  preload (): void
}

export function createAdapterOrders ({ orders, fleetView, isIdle, remainingMs, backoffMs }: AdapterOrdersOptions): AdapterOrders {
  const hasAdapter = (tracked: Engine['tracked'], name: string): boolean =>
    tracked.models.some(loaded => loaded.adapters.some(adapter => `${loaded.name}/${adapter}` === name))
  const engineAdaptersOf = ({ process, spec, tracked }: Engine): EngineAdapters => ({
    id: process,
    load: tracked.models.reduce((sum, loaded) => sum + fleetView.inFlight(process, loaded.name), 0),
    adapterCapacity: spec.adapterCapacity,
    models: tracked.models.map(loaded => loaded.name),
    adapters: [
      ...tracked.models.flatMap(loaded => loaded.adapters.map(adapter => ({
        model: loaded.name,
        adapter,
        rate: fleetView.demand(`${loaded.name}/${adapter}`).rate,
        isInUse: fleetView.inFlight(process, `${loaded.name}/${adapter}`) > 0
      }))),
      ...tracked.loadingAdapters.filter(name => !hasAdapter(tracked, name)).map(name => ({ model: name.split('/')[0]!, adapter: name.split('/')[1] ?? '', rate: Infinity, isInUse: true }))
    ]
  })
  const takesOrder = ({ process, tracked }: Engine): boolean => tracked.acceptedOrders !== undefined && tracked.pending === undefined && backoffMs(process) === 0
  /** Reply while no engine takes the order: the time until the first one may. */
  const replyWithDelay = (engines: readonly Engine[]): PlacementReply => {
    const soonestMs = Math.min(...engines.map(remainingMs))
    return { kind: 'coming', inMs: Math.max(ADAPTER_RETRY_DELAY_MS, Number.isFinite(soonestMs) ? soonestMs : MODEL_SWAP_MS) }
  }

  return {
    preload: () => {
      const idleEngines = orders.listEngines().filter(isIdle)
      const adaptersOf = (model: string): readonly string[] => orders.specOf(model)?.adapters ?? []
      planAdapterPreloads(orders.listEngines().map(engineAdaptersOf), idleEngines.map(engine => engine.process), adaptersOf)
        .forEach(({ id, model, adapter }) => { inBackground('load-adapter', orders.loadAdapter(id, model, adapter)) })
    },
    request: async (model, adapter, unavailable) => {
      const enginesWithModel = orders.listEngines().filter(engine => !unavailable.has(engine.process) && engine.tracked.models.some(loaded => loaded.name === model))
      const placement = chooseAdapterPlacement(enginesWithModel.filter(takesOrder).map(engineAdaptersOf), model, adapter)
      if (placement === undefined) return replyWithDelay(enginesWithModel)
      if (placement.evict !== undefined && !await orders.unloadAdapter(placement.id, placement.evict.model, placement.evict.adapter)) return { kind: 'coming', inMs: ADAPTER_RETRY_DELAY_MS }
      if (!await orders.loadAdapter(placement.id, model, adapter)) return { kind: 'coming', inMs: ADAPTER_RETRY_DELAY_MS }
      const engine = orders.listEngines().find(({ process }) => process === placement.id)
      return engine === undefined ? { kind: 'unavailable' } : { kind: 'ready', server: engine.server.id }
    }
  }
}
