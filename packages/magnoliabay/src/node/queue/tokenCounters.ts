/**
 * Virtual token counters: each name is charged the tokens that it is served, divided by its weight, and the name with
 * the lowest counter goes first. Names that wait are served tokens in proportion to their weights, however many
 * requests they send and however long these are.
 */

export interface TokenCounters {
  /** Marks a name as having work. What it didn't use while idle is not saved up. */
  activate (name: string): void
  /** Marks a name as idle. */
  deactivate (name: string): void
  /** Charges tokens, or refunds them when negative. */
  charge (name: string, tokens: number): void
  /** Orders names by counter, lowest first; ties by name. */
  order (names: readonly string[]): readonly string[]
}

export function createTokenCounters (weightOf: (name: string) => number): TokenCounters {
  const counters = new Map<string, number>()
  const active = new Set<string>()
  /** Lower bound of the counter of a name that becomes active while no other is. */
  let idleFloor = 0

  const valueOf = (name: string): number => counters.get(name) ?? 0
  const lowestActive = (): number => active.size === 0 ? idleFloor : Math.min(...[...active].map(valueOf))
  return {
    activate: name => {
      if (active.has(name)) return
      counters.set(name, Math.max(valueOf(name), lowestActive()))
      active.add(name)
    },
    deactivate: name => {
      if (!active.delete(name)) return
      idleFloor = Math.max(idleFloor, valueOf(name))
      // Once no name is active, the floor alone is enough.
      if (active.size === 0) counters.clear()
    },
    charge: (name, tokens) => { counters.set(name, valueOf(name) + tokens / weightOf(name)) },
    order: names => [...names].sort((left, right) => valueOf(left) - valueOf(right) || (left < right ? -1 : 1))
  }
}
