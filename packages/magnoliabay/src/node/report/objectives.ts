/** Which objectives a request counts for, and whether it kept to them. */
import type { ObjectiveConfig, TeamConfig } from '../config'
import type { FailureCode } from '../failures'
import type { RequestOutcome } from '../outcomes'

export type ObjectiveName = 'availability' | 'first-token' | 'cold-start' | 'within-rate'
export const OBJECTIVE_NAMES: readonly ObjectiveName[] = ['availability', 'first-token', 'cold-start', 'within-rate']

/** One ended request. */
export interface Observation {
  team: string
  outcome: RequestOutcome['kind']
  code: FailureCode | 'ok'
  /** Milliseconds from the request to the first byte of its answer; undefined when there was none. */
  firstTokenMs?: number
  /** Whether the request had to wait for a replica to be loaded. */
  wasCold: boolean
}

export interface ObjectiveResult {
  objective: ObjectiveName
  isGood: boolean
}

/** Refusals that the caller brought about. They count for no objective: nobody is woken for a wrong key. */
const CALLERS_OWN: ReadonlySet<FailureCode | 'ok'> = new Set<FailureCode>([
  'bad_request', 'body_too_large', 'body_timeout', 'missing_key', 'invalid_key', 'key_withdrawn', 'forbidden_model',
  'unknown_model', 'unknown_service', 'not_found', 'over_allowance', 'idempotency_conflict', 'idempotency_in_progress',
  'crashes_backend', 'caller_gone'
])

/** Share of requests that each objective asks for. */
const TARGETS: Record<ObjectiveName, (objective: ObjectiveConfig) => number> = {
  availability: objective => objective.availability,
  'first-token': objective => objective.firstTokenShare,
  'cold-start': objective => objective.coldStartShare,
  'within-rate': objective => objective.withinRateShare
}

export function objectiveOf (fleet: ObjectiveConfig, team: TeamConfig | undefined): ObjectiveConfig {
  const own = Object.entries(team?.objective ?? {}).filter(([, value]) => value !== undefined)
  return { ...fleet, ...Object.fromEntries(own) }
}

export function targetOf (name: ObjectiveName, objective: ObjectiveConfig): number {
  return TARGETS[name](objective)
}

/**
 * A request that was refused unrun counts against `within-rate` only, one that failed after it was sent
 * against `availability` only: no failure burns two budgets.
 */
export function judge (seen: Observation, objective: ObjectiveConfig): ObjectiveResult[] {
  if (CALLERS_OWN.has(seen.code)) return []
  if (seen.outcome === 'refused-not-run') return [{ objective: 'within-rate', isGood: false }]
  const verdicts: ObjectiveResult[] = [
    { objective: 'within-rate', isGood: true },
    { objective: 'availability', isGood: seen.outcome === 'answered' }
  ]
  if (seen.firstTokenMs === undefined) return verdicts
  const speed: ObjectiveResult = seen.wasCold
    ? { objective: 'cold-start', isGood: seen.firstTokenMs <= objective.coldStartMs }
    : { objective: 'first-token', isGood: seen.firstTokenMs <= objective.firstTokenMs }
  return [...verdicts, speed]
}
