/** Tells an engine whose process died from a connection that merely broke. */
import type { EngineClient } from '../backend/engineClient'

export type CrashCheck = (address: string) => Promise<boolean>

/**
 * Asks on a connection of its own: nobody listening, or a process that has started anew since it was last
 * asked, means that the one before has died.
 */
export function createCrashCheck (engines: Pick<EngineClient, 'state'>): CrashCheck {
  const incarnations = new Map<string, string>()
  return async address => {
    const answer = await engines.state(address)
    if (answer.err) return answer.val.kind === 'not-sent'
    const before = incarnations.get(address)
    incarnations.set(address, answer.val.incarnation)
    return before !== undefined && before !== answer.val.incarnation
  }
}
