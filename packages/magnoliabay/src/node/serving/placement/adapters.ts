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
