/** Describes a request to the division of its team's allowance. */
import type { CallerRequest, Route } from '../types'
import type { PartAsk, PartDecision } from './allowanceParts'

/** Callers return after a retry time of at most this part of the time that they have left. */
const RETRY_PATIENCE_RATIO = 1 / 3
/** Characters of a request's fingerprint that distinguish it among the requests of a team that were rejected in a window. */
const CALLER_CHARS = 12
/** The id of a prompt's part comes from the caller; its beginning distinguishes the sessions of a team. */
const MAX_SESSION_CHARS = 32

export interface PartAskInput {
  route: Pick<Route, 'name'>
  caller: Pick<CallerRequest, 'promptParts'>
  /** Identical when the request is sent again. */
  fingerprint: string
  /** Time until the caller's deadline, in milliseconds. */
  remainingMs: number
}

export function createPartAsk ({ route, caller, fingerprint, remainingMs }: PartAskInput): PartAsk {
  return {
    part: route.name,
    session: caller.promptParts.at(-1)?.slice(0, MAX_SESSION_CHARS),
    caller: fingerprint.slice(0, CALLER_CHARS),
    patienceMs: Math.round(remainingMs * RETRY_PATIENCE_RATIO)
  }
}

/** Returns the fields that the log line of a rejection has where the allowance is divided. */
export function toPartLogFields (part: string, decision: PartDecision | undefined): object {
  if (decision === undefined) return {}
  return { part, partClass: decision.partClass, guarantee: Math.round(decision.guarantee), partSpent: Math.round(decision.partSpent) }
}
