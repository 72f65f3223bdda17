/** Checks whether a request may be served, by its route, key and team. */
import { Err, Ok } from '../result'
import type { Result } from '../result'
import type { ServingConfigProvider } from './servingConfigProvider'
import type { Refusal } from './refusal'
import type { CallerRequest, Route, Service, Team } from './types'

/** Retry delay, milliseconds: a process without a configuration receives one within this time, or is replaced. */
const NO_CONFIG_RETRY_AFTER_MS = 500

export interface AdmittedRequest {
  route: Route
  service: Service
  /** Undefined for an anonymous route, or where no keys are in use. */
  team: Team | undefined
  /** 0 to 9, 0 the most urgent. */
  priority: number
}

const LOWEST_PRIORITY = 9

export function admitRequest (cfg: ServingConfigProvider, host: string, path: string, caller: CallerRequest, random: () => number): Result<AdmittedRequest, Refusal> {
  const current = cfg.current()
  if (current === undefined) return Err({ reason: 'no-config', retryAfterMs: NO_CONFIG_RETRY_AFTER_MS })
  const route = cfg.findRoute(host, path)
  if (route === undefined) return Err({ reason: 'no-route' })
  const needsKey = current.teams !== undefined && !route.isAnonymous
  const team = needsKey && caller.key !== undefined ? cfg.findTeamByKey(caller.key) : undefined
  if (needsKey && team === undefined) return Err({ reason: 'unknown-key' })
  const service = cfg.findService(pickService(route, random()))
  if (service === undefined) return Err({ reason: 'no-server' })
  return Ok({ route, service, team, priority: Math.min(LOWEST_PRIORITY, team?.priority ?? route.priority) })
}

function pickService (route: Route, random: number): string {
  const total = route.services.reduce((sum, share) => sum + share.weight, 0)
  let remainingWeight = random * total
  const picked = route.services.find(share => {
    remainingWeight -= share.weight
    return remainingWeight < 0
  })
  return (picked ?? route.services.at(-1))?.service ?? ''
}

/** Returns the units of a team's allowance that a request uses. */
export function unitsOf (team: Team, caller: CallerRequest): number {
  if (team.unit === 'requests') return 1
  return caller.tokens === undefined ? team.defaultTokens : caller.tokens.prompt + caller.tokens.output
}
