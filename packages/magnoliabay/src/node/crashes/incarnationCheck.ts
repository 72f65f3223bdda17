/** Notices that another process runs at an engine's address than at the previous check. */
import type { EngineClient } from '../backend/engineClient'

/** Returns whether the engine's incarnation has changed since the previous check of its address. */
export function createIncarnationCheck (engines: Pick<EngineClient, 'state'>): (address: string) => Promise<boolean> {
  const incarnations = new Map<string, string>()
  return async address => {
    const state = await engines.state(address)
    if (state.err) return false
    const previous = incarnations.get(address)
    incarnations.set(address, state.val.incarnation)
    return previous !== undefined && previous !== state.val.incarnation
  }
}
