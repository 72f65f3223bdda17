/** Distinguishes an engine whose process died from a broken connection. */
import type { EngineClient } from '../backend/engineClient'

export type CrashCheck = (address: string) => Promise<boolean>

/**
 * Asks the engine for its state on a separate connection. The process died if nothing is listening, or if
 * the engine's incarnation has changed since the previous check.
 */
export function createCrashCheck (engines: Pick<EngineClient, 'state'>): CrashCheck {
  const incarnations = new Map<string, string>()
  return async address => {
    const state = await engines.state(address)
    if (state.err) return state.val.kind === 'not-sent'
    const previous = incarnations.get(address)
    incarnations.set(address, state.val.incarnation)
    return previous !== undefined && previous !== state.val.incarnation
  }
}
