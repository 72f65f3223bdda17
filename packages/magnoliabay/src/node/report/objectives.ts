/** Evaluates which objectives a request counts for, and whether it met them. */
import type { ObjectiveConfig, TeamConfig } from '../config'
import type { FailureCode } from '../failures'
import type { RequestOutcome } from '../outcomes'

export type ObjectiveName = 'availability' | 'first-token' | 'cold-start' | 'within-rate'
export const OBJECTIVE_NAMES: readonly ObjectiveName[] = ['availability', 'first-token', 'cold-start', 'within-rate']

/** Measurements of an ended request. */
export interface Observation {
  team: string
  outcome: RequestOutcome['kind']
  code: FailureCode | 'ok'
  /** Milliseconds from the request to the first byte of its response; undefined if there was none. */
  firstTokenMs?: number
  /** Whether the request waited for a replica to be loaded. */
  wasCold: boolean
}

export interface ObjectiveResult {
  objective: ObjectiveName
  isGood: boolean
}

/** Failures caused by the caller. They count for no objective, so that a wrong key causes no alert. */
const CALLER_FAILURE_CODES: ReadonlySet<FailureCode | 'ok'> = new Set<FailureCode>([
  'bad_request', 'body_too_large', 'body_timeout', 'missing_key', 'invalid_key', 'key_withdrawn', 'forbidden_model',
  'unknown_model', 'unknown_service', 'not_found', 'over_allowance', 'idempotency_conflict', 'idempotency_in_progress',
  'crashes_backend', 'caller_gone'
])

/** Required fraction of good requests for each objective. */
const TARGET_BY_OBJECTIVE: Record<ObjectiveName, (objective: ObjectiveConfig) => number> = {
  availability: objective => objective.availability,
  'first-token': objective => objective.firstTokenShare,
  'cold-start': objective => objective.coldStartShare,
  'within-rate': objective => objective.withinRateShare
}

export function objectiveOf (fleet: ObjectiveConfig, team: TeamConfig | undefined): ObjectiveConfig {
  const overrides = Object.entries(team?.objective ?? {}).filter(([, value]) => value !== undefined)
  return { ...fleet, ...Object.fromEntries(overrides) }
}

export function targetOf (name: ObjectiveName, objective: ObjectiveConfig): number {
  return TARGET_BY_OBJECTIVE[name](objective)
}

/**
 * A request that was refused without running counts against `within-rate` only, one that may have run against
 * `availability` only, so that no failure burns two budgets.
 */
export function evaluateRequest (observation: Observation, objective: ObjectiveConfig): ObjectiveResult[] {
  if (CALLER_FAILURE_CODES.has(observation.code)) return []
  if (observation.outcome === 'refused-not-run') return [{ objective: 'within-rate', isGood: false }]
  const results: ObjectiveResult[] = [
    { objective: 'within-rate', isGood: true },
    { objective: 'availability', isGood: observation.outcome === 'answered' }
  ]
  if (observation.firstTokenMs === undefined) return results
  const speed: ObjectiveResult = observation.wasCold
    ? { objective: 'cold-start', isGood: observation.firstTokenMs <= objective.coldStartMs }
    : { objective: 'first-token', isGood: observation.firstTokenMs <= objective.firstTokenMs }
  return [...results, speed]
}
