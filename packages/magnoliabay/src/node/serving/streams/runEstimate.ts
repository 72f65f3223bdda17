/** Estimates how long a run still takes, and how long a move of it takes. */
import type { CallerRequest, EngineSpec, MoveSpec } from '../types'

const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1_000_000
const MS_PER_SECOND = 1000
/** A transfer to another failure domain takes this many times as long. */
const OTHER_DOMAIN_FACTOR = 2
/** With fewer gaps the largest that the route allows is used: the first events may arrive together. */
const MIN_MEASURED_GAPS = 3
/** Time for a call for a move beyond that of the transfer, milliseconds: engines answer within milliseconds. */
const CALL_TIMEOUT_MS = 1000

export interface RunProgress {
  /** Largest number of events that the run may send; undefined if the caller has not stated it. */
  maxEvents: number | undefined
  /** Ids of the first and the last event that this engine has sent; undefined before the first. */
  firstEvent: number | undefined
  lastEvent: number | undefined
  /** Time between these two events, milliseconds. */
  betweenMs: number
  /** Largest gap that the route allows, milliseconds; 0 if none is set. */
  maxGapMs: number
}

/** Returns the time until the last event at most, milliseconds; Infinity if it is unknown. */
export function estimateRemainingMs ({ maxEvents, firstEvent, lastEvent, betweenMs, maxGapMs }: RunProgress): number {
  if (maxEvents === undefined) return Infinity
  const sentHere = (lastEvent ?? 0) - (firstEvent ?? 0)
  const gapMs = sentHere >= MIN_MEASURED_GAPS ? betweenMs / sentHere : maxGapMs
  const left = Math.max(0, maxEvents - (lastEvent ?? 0))
  return maxGapMs === 0 && sentHere < MIN_MEASURED_GAPS ? Infinity : left * gapMs
}

/** Returns how long a call for a move may take, milliseconds. */
export function moveTimeoutMs (tokens: CallerRequest['tokens'], { kvTokens, slots }: EngineSpec, moves: MoveSpec, isOtherDomain: boolean): number {
  // A run of unknown size is taken as one of average size on a full engine.
  const count = tokens === undefined ? kvTokens / Math.max(1, slots) : tokens.prompt + tokens.output
  if (moves.bandwidthMbps === 0) return CALL_TIMEOUT_MS
  const transferMs = count * moves.bytesPerToken * BITS_PER_BYTE / (moves.bandwidthMbps * BITS_PER_MEGABIT) * MS_PER_SECOND
  return CALL_TIMEOUT_MS + transferMs * (isOtherDomain ? OTHER_DOMAIN_FACTOR : 1)
}
