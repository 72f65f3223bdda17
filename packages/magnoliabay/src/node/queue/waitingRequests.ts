/** Waiting requests by class and team, in order of their deadlines. */
import type { WorkClass } from './workClass'

export interface WaitingRequest {
  team: string
  model: string
  workClass: WorkClass
  /** Upper bound of prompt and completion tokens. */
  reservedTokens: number
  /** Monotonic milliseconds. */
  deadlineMs: number
  enteredAtMs: number
}

export interface WaitingRequests<W extends WaitingRequest> {
  add (request: W): void
  remove (request: W): boolean
  size (): number
  sizeOfTeam (team: string): number
  teams (workClass: WorkClass): readonly string[]
  /** Requests of one team and class, earliest deadline first. */
  ofTeam (workClass: WorkClass, team: string): readonly W[]
  all (): readonly W[]
}

export function createWaitingRequests<W extends WaitingRequest> (): WaitingRequests<W> {
  const requestsByKey = new Map<string, W[]>()
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
    add: request => {
      const key = keyOf(request.workClass, request.team)
      const teamRequests = requestsByKey.get(key) ?? []
      const later = teamRequests.findIndex(other => other.deadlineMs > request.deadlineMs)
      teamRequests.splice(later < 0 ? teamRequests.length : later, 0, request)
      requestsByKey.set(key, teamRequests)
      count(request.team, 1)
    },
    remove: request => {
      const key = keyOf(request.workClass, request.team)
      const teamRequests = requestsByKey.get(key) ?? []
      const index = teamRequests.indexOf(request)
      if (index < 0) return false
      teamRequests.splice(index, 1)
      if (teamRequests.length === 0) requestsByKey.delete(key)
      count(request.team, -1)
      return true
    },
    size: () => size,
    sizeOfTeam: team => teamSizes.get(team) ?? 0,
    teams: workClass => [...teamSizes.keys()].filter(team => requestsByKey.has(keyOf(workClass, team))),
    ofTeam: (workClass, team) => requestsByKey.get(keyOf(workClass, team)) ?? [],
    all: () => [...requestsByKey.values()].flat()
  }
}
