/**
 * Chooses the engine on which an adapter is loaded. Expected load: forty adapters of a few busy models, of which an
 * engine holds eight. Loading one takes milliseconds, while a request for an adapter that is not loaded is rejected.
 */

export interface LoadedAdapter {
  model: string
  adapter: string
  /** Requests a second over the fleet. */
  rate: number
  isInUse: boolean
}

export interface EngineAdapters {
  id: string
  /** Requests in flight on the engine. */
  load: number
  adapterCapacity: number
  /** Models that the engine has loaded. */
  models: readonly string[]
  adapters: readonly LoadedAdapter[]
}

export interface AdapterPlacement {
  id: string
  evict: { model: string, adapter: string } | undefined
}

/**
 * Returns the engine that has the adapter, else the least loaded one with free capacity, else one that evicts the least
 * requested adapter.
 */
export function chooseAdapterPlacement (engines: readonly EngineAdapters[], model: string, adapter: string): AdapterPlacement | undefined {
  const byLoad = [...engines].sort((left, right) => left.load - right.load)
  const withAdapter = byLoad.find(engine => engine.adapters.some(loadedAdapter => loadedAdapter.model === model && loadedAdapter.adapter === adapter))
  if (withAdapter !== undefined) return { id: withAdapter.id, evict: undefined }
  const withCapacity = byLoad.find(engine => engine.adapters.length < engine.adapterCapacity)
  if (withCapacity !== undefined) return { id: withCapacity.id, evict: undefined }
  const evictable = byLoad
    .flatMap(engine => engine.adapters.filter(loadedAdapter => !loadedAdapter.isInUse).map(loadedAdapter => ({ engine, loadedAdapter })))
    .sort((left, right) => left.loadedAdapter.rate - right.loadedAdapter.rate)
  const leastUsed = evictable[0]
  if (leastUsed === undefined) return undefined
  return { id: leastUsed.engine.id, evict: { model: leastUsed.loadedAdapter.model, adapter: leastUsed.loadedAdapter.adapter } }
}

export interface AdapterPreload {
  id: string
  model: string
  adapter: string
}

/**
 * Returns adapters to load before they are requested: for each idle engine with free capacity, one adapter of its
 * models that no engine has. An adapter loads in milliseconds, but a first request for one that is not loaded waits for
 * an order to be sent, and longer while the engine is busy.
 */
export function planAdapterPreloads (engines: readonly EngineAdapters[], idleIds: readonly string[], adaptersOf: (model: string) => readonly string[]): AdapterPreload[] {
  const loaded = new Set(engines.flatMap(engine => engine.adapters.map(loadedAdapter => `${loadedAdapter.model}/${loadedAdapter.adapter}`)))
  const byUsedCapacity = [...engines]
    .filter(engine => idleIds.includes(engine.id) && engine.adapters.length < engine.adapterCapacity)
    .sort((left, right) => left.adapters.length - right.adapters.length)
  return byUsedCapacity.flatMap(engine => {
    const missing = engine.models
      .flatMap(model => adaptersOf(model).map(adapter => ({ id: engine.id, model, adapter })))
      .find(({ model, adapter }) => !loaded.has(`${model}/${adapter}`))
    if (missing === undefined) return []
    loaded.add(`${missing.model}/${missing.adapter}`)
    return [missing]
  })
}
