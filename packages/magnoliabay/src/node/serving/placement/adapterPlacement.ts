/**
 * On which engine an adapter is loaded. Pattern: forty adapters of a few busy models, of which an engine takes eight;
 * loading one takes milliseconds, while a request without it is turned back.
 */

export interface HeldAdapter {
  model: string
  adapter: string
  /** Requests a second over the fleet. */
  rate: number
  isInUse: boolean
}

export interface AdapterHolder {
  id: string
  /** Requests of the model under way there. */
  load: number
  places: number
  /** Models that it has loaded. */
  models: readonly string[]
  adapters: readonly HeldAdapter[]
}

export interface AdapterPlace {
  id: string
  evict: { model: string, adapter: string } | undefined
}

/** The engine that has it, else the least loaded with a free place, else one that gives up what is asked for least. */
export function chooseAdapterPlace (holders: readonly AdapterHolder[], model: string, adapter: string): AdapterPlace | undefined {
  const byLoad = [...holders].sort((left, right) => left.load - right.load)
  const having = byLoad.find(holder => holder.adapters.some(held => held.model === model && held.adapter === adapter))
  if (having !== undefined) return { id: having.id, evict: undefined }
  const withRoom = byLoad.find(holder => holder.adapters.length < holder.places)
  if (withRoom !== undefined) return { id: withRoom.id, evict: undefined }
  const victims = byLoad
    .flatMap(holder => holder.adapters.filter(held => !held.isInUse).map(held => ({ holder, held })))
    .sort((left, right) => left.held.rate - right.held.rate)
  const victim = victims[0]
  if (victim === undefined) return undefined
  return { id: victim.holder.id, evict: { model: victim.held.model, adapter: victim.held.adapter } }
}

export interface SpareAdapter {
  id: string
  model: string
  adapter: string
}

/**
 * Adapters that no engine has, one for each open engine with a free place and the model. An adapter takes
 * milliseconds to load, but a request that comes first waits for a round of orders, longer while its engine is busy.
 */
export function spareAdapters (holders: readonly AdapterHolder[], open: readonly string[], namesOf: (model: string) => readonly string[]): SpareAdapter[] {
  const taken = new Set(holders.flatMap(holder => holder.adapters.map(held => `${held.model}/${held.adapter}`)))
  const roomiest = [...holders]
    .filter(holder => open.includes(holder.id) && holder.adapters.length < holder.places)
    .sort((left, right) => left.adapters.length - right.adapters.length)
  return roomiest.flatMap(holder => {
    const missing = holder.models
      .flatMap(model => namesOf(model).map(adapter => ({ id: holder.id, model, adapter })))
      .find(({ model, adapter }) => !taken.has(`${model}/${adapter}`))
    if (missing === undefined) return []
    taken.add(`${missing.model}/${missing.adapter}`)
    return [missing]
  })
}
