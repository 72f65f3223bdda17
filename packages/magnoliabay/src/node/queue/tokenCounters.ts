/**
 * Virtual token counters: each name is charged the tokens that it is served, divided by its weight, and the
 * one with the least goes first. So those who wait are served tokens in proportion to their weights, however
 * many requests they send and however long these are.
 */

export interface TokenCounters {
  /** The name has work again. What it didn't use while it had none is not saved up. */
  activate (name: string): void
  /** The name has no work any more. */
  deactivate (name: string): void
  /** Charges tokens, or gives them back when negative. */
  charge (name: string, tokens: number): void
  /** Orders names by counter, least first; ties by name. */
  order (names: readonly string[]): readonly string[]
}

export function createTokenCounters (weightOf: (name: string) => number): TokenCounters {
  const counters = new Map<string, number>()
  const active = new Set<string>()
  /** Where somebody who comes while nobody is active begins. */
  let idleFloor = 0

  const valueOf = (name: string): number => counters.get(name) ?? 0
  const leastActive = (): number => active.size === 0 ? idleFloor : Math.min(...[...active].map(valueOf))
  return {
    activate: name => {
      if (active.has(name)) return
      counters.set(name, Math.max(valueOf(name), leastActive()))
      active.add(name)
    },
    deactivate: name => {
      if (!active.delete(name)) return
      idleFloor = Math.max(idleFloor, valueOf(name))
      // In memory only as long as it tells more than the floor.
      if (active.size === 0) counters.clear()
    },
    charge: (name, tokens) => { counters.set(name, valueOf(name) + tokens / weightOf(name)) },
    order: names => [...names].sort((left, right) => valueOf(left) - valueOf(right) || (left < right ? -1 : 1))
  }
}
