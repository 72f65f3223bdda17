/** Those who wait, by class and team, in order of their deadlines. */
import type { WorkClass } from './workClass'

export interface Waiter {
  team: string
  model: string
  workClass: WorkClass
  /** Tokens at most: prompt and answer. */
  reservedTokens: number
  /** Monotonic milliseconds. */
  deadlineMs: number
  enteredAtMs: number
}

export interface Line<W extends Waiter> {
  add (waiter: W): void
  remove (waiter: W): boolean
  size (): number
  sizeOf (team: string): number
  teams (workClass: WorkClass): readonly string[]
  /** Waiters of one team and class, earliest deadline first. */
  of (workClass: WorkClass, team: string): readonly W[]
  all (): readonly W[]
}

export function createLine<W extends Waiter> (): Line<W> {
  const lines = new Map<string, W[]>()
  const teamSizes = new Map<string, number>()
  let size = 0

  const keyOf = (workClass: WorkClass, team: string): string => `${workClass} ${team}`
  const count = (team: string, change: number): void => {
    size += change
    const next = (teamSizes.get(team) ?? 0) + change
    if (next === 0) teamSizes.delete(team)
    else teamSizes.set(team, next)
  }
  return {
    add: waiter => {
      const key = keyOf(waiter.workClass, waiter.team)
      const line = lines.get(key) ?? []
      const later = line.findIndex(other => other.deadlineMs > waiter.deadlineMs)
      line.splice(later < 0 ? line.length : later, 0, waiter)
      lines.set(key, line)
      count(waiter.team, 1)
    },
    remove: waiter => {
      const key = keyOf(waiter.workClass, waiter.team)
      const line = lines.get(key) ?? []
      const index = line.indexOf(waiter)
      if (index < 0) return false
      line.splice(index, 1)
      if (line.length === 0) lines.delete(key)
      count(waiter.team, -1)
      return true
    },
    size: () => size,
    sizeOf: team => teamSizes.get(team) ?? 0,
    teams: workClass => [...teamSizes.keys()].filter(team => lines.has(keyOf(workClass, team))),
    of: (workClass, team) => lines.get(keyOf(workClass, team)) ?? [],
    all: () => [...lines.values()].flat()
  }
}
